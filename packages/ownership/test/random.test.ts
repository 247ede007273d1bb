import tap from 'tap';
import {LOG} from './support/fake-log.js';
import {isolate, viewOf} from './support/scene.js';
import type {FakeCluster} from './support/world.js';
import {createFakeCluster} from './support/world.js';

const HOSTS = ['a', 'b', 'c', 'd'];
const CELLS = ['holds/0', 'holds/1'];
const SEEDS = [1, 2, 3, 4];
const STEPS = 150;
const MAX_STEP_MS = 800;
const MAX_FAULTS = 4;
/** Two clocks differ by less than the 1 % that the rules allow for. */
const RATES = [0.9955, 1, 1.002, 1.0045];
const SETTLE_MS = 20_000;

// Callers must never be served by two owners, whatever fails in whatever
// order: links cut one way, processes paused, lost and started anew, the log
// refusing, losing replies and taking appends late, up to four of these at
// once. When everything is well again, every cell must be led again.
for (const seed of SEEDS) {
  void tap.test(`random faults, seed ${seed}`, async t => {
    const random = createRandom(seed);
    const checksFences = seed % 2 === 0;
    const world = createFakeCluster({
      ...{hosts: HOSTS, cells: CELLS.length, random, checksFences},
      ...{rates: RATES, changeMs: 200},
    });
    world.network.latency = () => 1 + Math.floor(random() * 30);
    await world.clock.advance(3000);
    await injectFaults(world, random);
    t.strictSame(world.violations, []);
    await world.clock.advance(SETTLE_MS);
    t.strictSame(world.violations, [], 'nor when all is well again');
    for (const cell of CELLS) t.ok(world.activeLeader(cell), `${cell} is led again`);
    t.ok(world.leaders.length > 2 * CELLS.length, 'leadership did change');
  });
}

/** Starts and ends faults at random; all are over in the end. */
async function injectFaults(world: FakeCluster, random: () => number): Promise<void> {
  const ongoing: (() => void)[] = [];
  for (let step = 0; step < STEPS; step++) {
    const starts = random() * MAX_FAULTS > ongoing.length;
    if (starts) ongoing.push(pick(random, FAULTS)(world, random));
    else ongoing.splice(Math.floor(random() * ongoing.length), 1)[0]?.();
    await world.clock.advance(random() * MAX_STEP_MS);
    if (world.violations.length > 0) return;
  }
  for (const mend of ongoing) mend();
}

/** Brings a fault about; yields how to end it. */
type Fault = (world: FakeCluster, random: () => number) => () => void;

const FAULTS: readonly Fault[] = [
  cutLink,
  cutLink,
  isolatePair,
  (world, random) => isolate(world, [pick(random, HOSTS)]),
  pause,
  killProcess,
  (world, random) => {
    world.start(pick(random, HOSTS));
    return () => {};
  },
  world => {
    world.faults.refuses = true;
    return () => void (world.faults.refuses = false);
  },
  world => {
    world.faults.losesReplies = true;
    return () => void (world.faults.losesReplies = false);
  },
  (world, random) => {
    world.faults.appendDelay = () =>
      random() < 0.5 ? 0 : Math.floor(random() * 6000);
    return () => void (world.faults.appendDelay = () => 0);
  },
  faultAtNextAppend,
  faultAtNextAppend,
  faultAtNextAppend,
];

/**
 * The worst moment for most faults: a claim is in the log, and hardly anybody
 * knows. Faults at random times hardly ever meet it.
 */
function faultAtNextAppend(world: FakeCluster, random: () => number): () => void {
  let mend = (): void => {};
  world.faults.onAppend = host => {
    world.faults.onAppend = () => {};
    const isOfClaimant = random() < 0.5;
    const faults = [isolatePair, pause, killProcess, cutLink];
    mend = isOfClaimant
      ? isolate(world, [host, pick(random, HOSTS)])
      : pick(random, faults)(world, random);
  };
  return () => {
    world.faults.onAppend = () => {};
    mend();
  };
}

/** Two that hear each other, but neither the log nor the others. */
function isolatePair(world: FakeCluster, random: () => number): () => void {
  const view = viewOf(world, pick(random, CELLS));
  const isInRole = random() < 0.7 && view !== null && view.standby !== null;
  const pair = isInRole
    ? [view.leader.host, view.standby.host]
    : [pick(random, HOSTS), pick(random, HOSTS)];
  return isolate(world, pair);
}

function pause(world: FakeCluster, random: () => number): () => void {
  const {process} = world.router(pick(random, HOSTS));
  process.pause();
  return () => process.resume();
}

function killProcess(world: FakeCluster, random: () => number): () => void {
  const host = pick(random, HOSTS);
  world.router(host).process.kill();
  return () => {
    if (!world.router(host).process.isAlive()) world.start(host);
  };
}

function cutLink(world: FakeCluster, random: () => number): () => void {
  const nodes = [...HOSTS, LOG];
  const from = pick(random, nodes);
  const to = pick(random, nodes);
  world.network.cut(from, to);
  return () => world.network.restore(from, to);
}

function pick<T>(random: () => number, items: readonly T[]): T {
  return items[Math.floor(random() * items.length)] as T;
}

/** A seeded generator (mulberry32), the same numbers every run. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
