/** Random faults and changes, the same ones for the same seed. */
import type {FakeServer, OrderFaults} from './fake-servers.js';
import {
  type Fixture,
  type Led,
  createFixture,
  createLoad,
  toServer,
} from './lease-fixture.js';

/** What a schedule came to. */
export interface ScheduleResult {
  readonly violations: readonly string[];
  /** Shards that can be served, and all shards, after everything healed. */
  readonly served: number;
  readonly shards: number;
  readonly leaders: number;
}

type Random = (below: number) => number;

/** What the actions of a schedule work on. */
interface ScheduleState {
  readonly fixture: Fixture;
  readonly random: Random;
  readonly checksFences: boolean;
  readonly formerLeaders: Led[];
  led: Led;
  epoch: number;
}

type Action = (scene: ScheduleState) => void | Promise<void>;

const NAMES = ['a', 'b', 'c', 'd'];
const HOT_KEYS = ['ward-1', 'ward-2', 'ward-3'];
const RECOVERY_MS = 12_000;

/** Runs a schedule of `steps` actions, heals everything, and looks. */
export async function runSchedule(
  seed: number,
  checksFences: boolean,
  steps: number,
): Promise<ScheduleResult> {
  const random = createRandom(seed);
  const paces = new Map(NAMES.map(name => [name, 0.99 + random(21) / 1000]));
  const fixture = createFixture({
    names: NAMES,
    checksFences,
    paceOf: name => paces.get(name) ?? 1,
  });
  const led = fixture.lead();
  const scene: ScheduleState = {
    fixture,
    random,
    checksFences,
    formerLeaders: [],
    led,
    epoch: 1,
  };
  await fixture.advance(3000);
  for (let step = 0; step < steps; step++) {
    const action = ACTIONS[random(ACTIONS.length)];
    await action?.(scene);
    await fixture.advance(20 * random(30));
  }
  heal(scene);
  await fixture.advance(RECOVERY_MS);
  const {shards} = scene.led.leader.describe();
  const result: ScheduleResult = {
    violations: [...fixture.violations],
    served: scene.led.owners().size,
    shards: shards.length,
    leaders: scene.epoch,
  };
  for (const each of [...scene.formerLeaders, scene.led]) await fixture.stop(each);
  return result;
}

const ACTIONS: readonly Action[] = [
  setOrderFaults,
  setOrderFaults,
  toggleFrozen,
  toggleFrozen,
  restart,
  toggleDown,
  toggleDrain,
  toggleDrain,
  toggleListed,
  changeHotKeys,
  changeHotKeys,
  toggleRecording,
  pauseLeader,
  cutOffNewestLeader,
  takeOver,
  handOverAsPlanned,
];

function pickServer({fixture, random}: ScheduleState): FakeServer {
  return fixture.fakes.get(NAMES[random(NAMES.length)] ?? 'a');
}

function setOrderFaults(scene: ScheduleState): void {
  const {random, checksFences} = scene;
  const part = random(3) * 20;
  pickServer(scene).faultsFor = () =>
    random(100) < part ? randomFaults(random, checksFences) : {};
}

/**
 * A server that doesn't check fences gets a second copy only of an order that
 * it never answered: nothing between it and the leader repeats an answered one.
 */
function randomFaults(random: Random, checksFences: boolean): OrderFaults {
  const ackLost = random(3) === 0;
  const copies = checksFences || ackLost;
  return {
    lost: random(4) === 0,
    ackLost,
    delayMs: random(2) === 0 ? random(2500) : 0,
    ...(copies && random(3) === 0 ? {duplicateAfterMs: random(2500)} : {}),
  };
}

/** One server gets no orders of the newest leader; a former one's go on. */
function cutOffNewestLeader(scene: ScheduleState): void {
  const {epoch} = scene;
  pickServer(scene).faultsFor = ({fence}) => ({lost: fence.epoch >= epoch});
}

function toggleFrozen(scene: ScheduleState): void {
  const server = pickServer(scene);
  if (server.frozen) server.thaw();
  else server.frozen = true;
}

function restart(scene: ScheduleState): void {
  pickServer(scene).restart();
}

function toggleDown(scene: ScheduleState): void {
  const server = pickServer(scene);
  server.down = !server.down;
}

function toggleDrain(scene: ScheduleState): void {
  const {name} = pickServer(scene);
  const {drains} = scene.fixture;
  if (!drains.delete(name)) drains.add(name);
}

function toggleListed(scene: ScheduleState): void {
  const {name} = pickServer(scene);
  const {fixture} = scene;
  const rest = fixture.servers.filter(server => server.name !== name);
  const isListed = rest.length < fixture.servers.length;
  fixture.servers = isListed ? rest : [...rest, toServer(name)];
}

function changeHotKeys({fixture, random}: ScheduleState): void {
  const hot = HOT_KEYS.filter(() => random(2) === 0);
  fixture.load = createLoad(
    hot.map(key => ({key, rate: 50, busy: 1 + random(3)})),
  );
}

function toggleRecording({led}: ScheduleState): void {
  led.authority.records = !led.authority.records;
}

async function pauseLeader({fixture, led, random}: ScheduleState): Promise<void> {
  led.process.pause();
  led.authority.until = fixture.clock.now() + 1000;
  await fixture.advance(20 * random(150));
  led.process.resume();
  led.authority.until = Infinity;
}

/** The old leader goes on, perhaps paused, until its authority ends. */
function takeOver(scene: ScheduleState): void {
  const {fixture, random, led} = scene;
  const table = random(3) === 0 ? null : led.recorded();
  const left = random(1000);
  led.authority.records = false;
  led.authority.until = fixture.clock.now() + left;
  if (random(2) === 0) led.process.pause();
  scene.formerLeaders.push(led);
  const over = Math.max(...scene.formerLeaders.map(each => each.authority.until));
  const cleared = new Promise<void>(resolve => {
    fixture.clock.after(over - fixture.clock.now(), resolve);
  });
  scene.led = fixture.lead({epoch: ++scene.epoch, table, cleared});
}

async function handOverAsPlanned(scene: ScheduleState): Promise<void> {
  const {fixture, led} = scene;
  led.authority.until = fixture.clock.now();
  const table = await fixture.stop(led);
  // Those before it may still act: it can clear no more than itself.
  const over = Math.max(0, ...scene.formerLeaders.map(each => each.authority.until));
  const cleared = new Promise<void>(resolve => {
    fixture.clock.after(over - fixture.clock.now(), resolve);
  });
  scene.led = fixture.lead({epoch: ++scene.epoch, table, cleared});
}

function heal({fixture, formerLeaders: former, led}: ScheduleState): void {
  for (const each of former) each.process.resume();
  led.authority.records = true;
  fixture.drains.clear();
  fixture.servers = NAMES.map(toServer);
  for (const server of fixture.fakes.servers.values()) {
    server.faultsFor = () => ({});
    server.down = false;
    if (server.frozen) server.thaw();
  }
}

function createRandom(seed: number): Random {
  let state = seed;
  return below => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return Math.floor((state / 2 ** 32) * below);
  };
}
