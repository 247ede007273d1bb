/** Random faults and changes, reproducible by seed. */
import type {FakeServer, OrderFaults} from './fake-servers.js';
import {
  type Fixture,
  type TestLeader,
  createFixture,
  createLoad,
  toServer,
} from './lease-fixture.js';

/** Result of a schedule. */
export interface ScheduleResult {
  readonly violations: readonly string[];
  /** Number of shards that can be served after all faults have ended. */
  readonly served: number;
  /** Number of all shards. */
  readonly shards: number;
  readonly leaders: number;
}

type Random = (below: number) => number;

/** State that the actions of a schedule work on. */
interface ScheduleState {
  readonly fixture: Fixture;
  readonly random: Random;
  readonly checksFences: boolean;
  readonly formerLeaders: TestLeader[];
  led: TestLeader;
  epoch: number;
}

type Action = (state: ScheduleState) => void | Promise<void>;

const NAMES = ['a', 'b', 'c', 'd'];
const HOT_KEYS = ['ward-1', 'ward-2', 'ward-3'];
const RECOVERY_MS = 12_000;

/** Runs a schedule of `steps` actions, then ends all faults. */
export async function runSchedule(
  seed: number,
  checksFences: boolean,
  steps: number,
): Promise<ScheduleResult> {
  const random = createRandom(seed);
  const clockRates = new Map(
    NAMES.map(name => [name, 0.99 + random(21) / 1000]),
  );
  const fixture = createFixture({
    names: NAMES,
    checksFences,
    paceOf: name => clockRates.get(name) ?? 1,
  });
  const led = fixture.startLeader();
  const state: ScheduleState = {
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
    await action?.(state);
    await fixture.advance(20 * random(30));
  }
  heal(state);
  await fixture.advance(RECOVERY_MS);
  const {shards} = state.led.leader.describe();
  const result: ScheduleResult = {
    violations: [...fixture.violations],
    served: state.led.owners().size,
    shards: shards.length,
    leaders: state.epoch,
  };
  for (const each of [...state.formerLeaders, state.led])
    await fixture.stop(each);
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

function setOrderFaults(state: ScheduleState): void {
  const {random, checksFences} = state;
  const percent = random(3) * 20;
  pickServer(state).faultsFor = () =>
    random(100) < percent ? randomFaults(random, checksFences) : {};
}

/**
 * A server that doesn't check fences gets a duplicate only of a lease call
 * whose answer was lost: nothing between it and the leader repeats a call that
 * was answered.
 */
function randomFaults(random: Random, checksFences: boolean): OrderFaults {
  const ackLost = random(3) === 0;
  const mayDuplicate = checksFences || ackLost;
  return {
    lost: random(4) === 0,
    ackLost,
    delayMs: random(2) === 0 ? random(2500) : 0,
    ...(mayDuplicate && random(3) === 0
      ? {duplicateAfterMs: random(2500)}
      : {}),
  };
}

/** Drops lease calls to one server from the newest leader only. */
function cutOffNewestLeader(state: ScheduleState): void {
  const {epoch} = state;
  pickServer(state).faultsFor = ({fence}) => ({lost: fence.epoch >= epoch});
}

function toggleFrozen(state: ScheduleState): void {
  const server = pickServer(state);
  if (server.frozen) server.thaw();
  else server.frozen = true;
}

function restart(state: ScheduleState): void {
  pickServer(state).restart();
}

function toggleDown(state: ScheduleState): void {
  const server = pickServer(state);
  server.down = !server.down;
}

function toggleDrain(state: ScheduleState): void {
  const {name} = pickServer(state);
  const {drains} = state.fixture;
  if (!drains.delete(name)) drains.add(name);
}

function toggleListed(state: ScheduleState): void {
  const {name} = pickServer(state);
  const {fixture} = state;
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

async function pauseLeader({
  fixture,
  led,
  random,
}: ScheduleState): Promise<void> {
  led.process.pause();
  led.authority.until = fixture.clock.now() + 1000;
  await fixture.advance(20 * random(150));
  led.process.resume();
  led.authority.until = Infinity;
}

/** Starts a new leader; the old one runs or pauses until its authority ends. */
function takeOver(state: ScheduleState): void {
  const {fixture, random, led} = state;
  const table = random(3) === 0 ? null : led.recorded();
  const remainingMs = random(1000);
  led.authority.records = false;
  led.authority.until = fixture.clock.now() + remainingMs;
  if (random(2) === 0) led.process.pause();
  state.formerLeaders.push(led);
  const authorityEnd = Math.max(
    ...state.formerLeaders.map(each => each.authority.until),
  );
  const cleared = new Promise<void>(resolve => {
    fixture.clock.after(authorityEnd - fixture.clock.now(), resolve);
  });
  state.led = fixture.startLeader({epoch: ++state.epoch, table, cleared});
}

async function handOverAsPlanned(state: ScheduleState): Promise<void> {
  const {fixture, led} = state;
  led.authority.until = fixture.clock.now();
  const table = await fixture.stop(led);
  // Leaders before it may still act: its end clears only itself.
  const authorityEnd = Math.max(
    0,
    ...state.formerLeaders.map(each => each.authority.until),
  );
  const cleared = new Promise<void>(resolve => {
    fixture.clock.after(authorityEnd - fixture.clock.now(), resolve);
  });
  state.led = fixture.startLeader({epoch: ++state.epoch, table, cleared});
}

function heal({fixture, formerLeaders, led}: ScheduleState): void {
  for (const each of formerLeaders) each.process.resume();
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
