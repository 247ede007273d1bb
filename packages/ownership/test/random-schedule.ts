/** Random faults and changes, the same ones for the same seed. */
import type {FakeServer, OrderFate} from './fake-servers.js';
import {
  type Fixture,
  type TestLeader,
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
interface Scene {
  readonly fixture: Fixture;
  readonly random: Random;
  readonly checksFences: boolean;
  readonly former: TestLeader[];
  led: TestLeader;
  epoch: number;
}

type Action = (scene: Scene) => void | Promise<void>;

const NAMES = ['a', 'b', 'c', 'd'];
const HOT_KEYS = ['ward-1', 'ward-2', 'ward-3'];
const HEAL_MS = 12_000;

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
  const led = fixture.startLeader();
  const scene: Scene = {
    fixture,
    random,
    checksFences,
    former: [],
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
  await fixture.advance(HEAL_MS);
  const {shards} = scene.led.leader.describe();
  const result: ScheduleResult = {
    violations: [...fixture.violations],
    served: scene.led.owners().size,
    shards: shards.length,
    leaders: scene.epoch,
  };
  for (const each of [...scene.former, scene.led]) await fixture.stop(each);
  return result;
}

const ACTIONS: readonly Action[] = [
  disturbOrders,
  disturbOrders,
  freezeOrThaw,
  freezeOrThaw,
  restart,
  breakOrMend,
  drainOrNot,
  drainOrNot,
  listOrNot,
  heatUp,
  heatUp,
  refuseOrRecord,
  pauseLeader,
  cutOff,
  takeOver,
  stopAsPlanned,
];

function pick({fixture, random}: Scene): FakeServer {
  return fixture.fakes.get(NAMES[random(NAMES.length)] ?? 'a');
}

function disturbOrders(scene: Scene): void {
  const {random, checksFences} = scene;
  const part = random(3) * 20;
  pick(scene).fate = () =>
    random(100) < part ? randomFate(random, checksFences) : {};
}

/**
 * A server that doesn't check fences gets a second copy only of an order that
 * it never answered: nothing between it and the leader repeats an answered one.
 */
function randomFate(random: Random, checksFences: boolean): OrderFate {
  const ackLost = random(3) === 0;
  const copies = checksFences || ackLost;
  return {
    lost: random(4) === 0,
    ackLost,
    delayMs: random(2) === 0 ? random(2500) : 0,
    ...(copies && random(3) === 0 ? {copyAfterMs: random(2500)} : {}),
  };
}

/** One server gets no orders of the newest leader; a former one's go on. */
function cutOff(scene: Scene): void {
  const {epoch} = scene;
  pick(scene).fate = ({fence}) => ({lost: fence.epoch >= epoch});
}

function freezeOrThaw(scene: Scene): void {
  const server = pick(scene);
  if (server.frozen) server.thaw();
  else server.frozen = true;
}

function restart(scene: Scene): void {
  pick(scene).restart();
}

function breakOrMend(scene: Scene): void {
  const server = pick(scene);
  server.down = !server.down;
}

function drainOrNot(scene: Scene): void {
  const {name} = pick(scene);
  const {drains} = scene.fixture;
  if (!drains.delete(name)) drains.add(name);
}

function listOrNot(scene: Scene): void {
  const {name} = pick(scene);
  const {fixture} = scene;
  const rest = fixture.servers.filter(server => server.name !== name);
  const isListed = rest.length < fixture.servers.length;
  fixture.servers = isListed ? rest : [...rest, toServer(name)];
}

function heatUp({fixture, random}: Scene): void {
  const hot = HOT_KEYS.filter(() => random(2) === 0);
  fixture.load = createLoad(
    hot.map(key => ({key, rate: 50, busy: 1 + random(3)})),
  );
}

function refuseOrRecord({led}: Scene): void {
  led.authority.records = !led.authority.records;
}

async function pauseLeader({fixture, led, random}: Scene): Promise<void> {
  led.process.pause();
  led.authority.until = fixture.clock.now() + 1000;
  await fixture.advance(20 * random(150));
  led.process.resume();
  led.authority.until = Infinity;
}

/** The old leader goes on, perhaps paused, until its authority ends. */
function takeOver(scene: Scene): void {
  const {fixture, random, led} = scene;
  const table = random(3) === 0 ? null : led.recorded();
  const left = random(1000);
  led.authority.records = false;
  led.authority.until = fixture.clock.now() + left;
  if (random(2) === 0) led.process.pause();
  scene.former.push(led);
  const over = Math.max(...scene.former.map(each => each.authority.until));
  const cleared = new Promise<void>(resolve => {
    fixture.clock.after(over - fixture.clock.now(), resolve);
  });
  scene.led = fixture.startLeader({epoch: ++scene.epoch, table, cleared});
}

async function stopAsPlanned(scene: Scene): Promise<void> {
  const {fixture, led} = scene;
  led.authority.until = fixture.clock.now();
  const table = await fixture.stop(led);
  // Those before it may still act: it can clear no more than itself.
  const over = Math.max(0, ...scene.former.map(each => each.authority.until));
  const cleared = new Promise<void>(resolve => {
    fixture.clock.after(over - fixture.clock.now(), resolve);
  });
  scene.led = fixture.startLeader({epoch: ++scene.epoch, table, cleared});
}

function heal({fixture, former, led}: Scene): void {
  for (const each of former) each.process.resume();
  led.authority.records = true;
  fixture.drains.clear();
  fixture.servers = NAMES.map(toServer);
  for (const server of fixture.fakes.servers.values()) {
    server.fate = () => ({});
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
