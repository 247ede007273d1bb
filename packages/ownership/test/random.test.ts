import tap from 'tap';
import {LOG} from './support/fake-log.js';
import {isolate, viewOf} from './support/cell-harness.js';
import type {FakeCluster} from './support/fake-cluster.js';
import {createFakeCluster} from './support/fake-cluster.js';

const HOSTS = ['a', 'b', 'c', 'd'];
const CELLS = ['holds/0', 'holds/1'];
const SEEDS = [1, 2, 3, 4];
const STEPS = 150;
const MAX_STEP_MS = 800;
const MAX_FAULTS = 4;
/** Any two clocks differ by less than the 1 % drift that the rules allow. */
const RATES = [0.9955, 1, 1.002, 1.0045];
const SETTLE_MS = 20_000;

// Callers must never be served by two owners, whatever fails in any order:
// links cut in one direction, processes paused, killed and restarted, and a log
// that refuses appends, loses replies or applies appends late, with up to four
// faults at once. After all faults have ended, every cell must have a leader.
for (const seed of SEEDS) {
  void tap.test(`random faults, seed ${seed}`, async t => {
    const random = createRandom(seed);
    const checksFences = seed % 2 === 0;
    const cluster = createFakeCluster({
      ...{hosts: HOSTS, cells: CELLS.length, random, checksFences},
      ...{rates: RATES, changeMs: 200},
    });
    cluster.network.latency = () => 1 + Math.floor(random() * 30);
    await cluster.clock.advance(3000);
    await injectFaults(cluster, random);
    t.strictSame(cluster.violations, []);
    await cluster.clock.advance(SETTLE_MS);
    t.strictSame(
      cluster.violations,
      [],
      'none after the faults have ended either',
    );
    for (const cell of CELLS)
      t.ok(cluster.activeLeader(cell), `${cell} has a leader again`);
    t.ok(cluster.leaders.length > 2 * CELLS.length, 'leadership did change');
  });
}

/** Starts and ends faults at random, then ends those that remain. */
async function injectFaults(
  cluster: FakeCluster,
  random: () => number,
): Promise<void> {
  const ongoing: (() => void)[] = [];
  for (let step = 0; step < STEPS; step++) {
    const starts = random() * MAX_FAULTS > ongoing.length;
    if (starts) ongoing.push(pick(random, FAULTS)(cluster, random));
    else ongoing.splice(Math.floor(random() * ongoing.length), 1)[0]?.();
    await cluster.clock.advance(random() * MAX_STEP_MS);
    if (cluster.violations.length > 0) return;
  }
  for (const end of ongoing) end();
}

/** Starts a fault; returns a function that ends it. */
type Fault = (cluster: FakeCluster, random: () => number) => () => void;

const FAULTS: readonly Fault[] = [
  cutLink,
  cutLink,
  isolatePair,
  (cluster, random) => isolate(cluster, [pick(random, HOSTS)]),
  pause,
  killProcess,
  (cluster, random) => {
    cluster.start(pick(random, HOSTS));
    return () => {};
  },
  cluster => {
    cluster.faults.refuses = true;
    return () => void (cluster.faults.refuses = false);
  },
  cluster => {
    cluster.faults.losesReplies = true;
    return () => void (cluster.faults.losesReplies = false);
  },
  (cluster, random) => {
    cluster.faults.appendDelay = () =>
      random() < 0.5 ? 0 : Math.floor(random() * 6000);
    return () => void (cluster.faults.appendDelay = () => 0);
  },
  faultAtNextAppend,
  faultAtNextAppend,
  faultAtNextAppend,
];

/**
 * Starts a fault at the worst moment for most faults: a claim has just been
 * appended to the log, and few routers know. Faults at random times rarely
 * coincide with that.
 */
function faultAtNextAppend(
  cluster: FakeCluster,
  random: () => number,
): () => void {
  let endFault = (): void => {};
  cluster.faults.onAppend = host => {
    cluster.faults.onAppend = () => {};
    const isOfClaimant = random() < 0.5;
    const faults = [isolatePair, pause, killProcess, cutLink];
    endFault = isOfClaimant
      ? isolate(cluster, [host, pick(random, HOSTS)])
      : pick(random, faults)(cluster, random);
  };
  return () => {
    cluster.faults.onAppend = () => {};
    endFault();
  };
}

/** Isolates two routers, connected to each other, from all other nodes. */
function isolatePair(cluster: FakeCluster, random: () => number): () => void {
  const view = viewOf(cluster, pick(random, CELLS));
  const isInRole = random() < 0.7 && view !== null && view.standby !== null;
  const pair = isInRole
    ? [view.leader.host, view.standby.host]
    : [pick(random, HOSTS), pick(random, HOSTS)];
  return isolate(cluster, pair);
}

function pause(cluster: FakeCluster, random: () => number): () => void {
  const {process} = cluster.router(pick(random, HOSTS));
  process.pause();
  return () => process.resume();
}

function killProcess(cluster: FakeCluster, random: () => number): () => void {
  const host = pick(random, HOSTS);
  cluster.router(host).process.kill();
  return () => {
    if (!cluster.router(host).process.isAlive()) cluster.start(host);
  };
}

function cutLink(cluster: FakeCluster, random: () => number): () => void {
  const nodes = [...HOSTS, LOG];
  const from = pick(random, nodes);
  const to = pick(random, nodes);
  cluster.network.cut(from, to);
  return () => cluster.network.restore(from, to);
}

function pick<T>(random: () => number, items: readonly T[]): T {
  return items[Math.floor(random() * items.length)] as T;
}

/** Creates a seeded random number generator (mulberry32). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
