import tap from 'tap';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends, type Backends} from '@banyandrum/dispatch/backends.js';
import {
  combineLimits,
  createColdLimits,
  type ColdLimits,
} from '@banyandrum/dispatch/cold-limits.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

/** What a cold server bears, in requests per second. */
const COLD_PER_SECOND = 1.6;
const COLD_MS = 3_000;
/** Requests that a cold server may get in any second: 1.6 x 1.5 + 8. */
const MAX_PER_SECOND = 10.4;
const STEP_MS = 5;

function serverInfo(coldUntil: number): ServerInfo {
  return {
    ...{id: 's1', service: 'desks', address: '10.0.0.1:80', dataCentre: 'a'},
    ...{slots: 2, isLeaving: false, coldUntil},
  };
}

interface Fixture {
  readonly clock: ManualClock;
  readonly backends: Backends;
  /** Age of what is known of the server, in ms. */
  knownAgeMs: number;
  createLimits(): ColdLimits;
}

function setUp(coldMs: number): Fixture {
  const clock = createManualClock(1_000);
  const backends = createBackends(clock);
  backends.update([serverInfo(coldMs && clock.now() + coldMs)]);
  const random = createRandom(1);
  const fixture: Fixture = {
    ...{clock, backends, knownAgeMs: 0},
    createLimits: () =>
      createColdLimits({
        ...{clock, backends, random},
        coldPerSecondOf: () => COLD_PER_SECOND,
        coldMsOf: () => COLD_MS,
        knownAt: () => clock.now() - fixture.knownAgeMs,
        emit: () => undefined,
      }),
  };
  return fixture;
}

/** Most arrivals in any second. */
function maxPerSecond(arrivals: readonly number[]): number {
  const counts = arrivals.map(
    from => arrivals.filter(at => at >= from && at < from + 1_000).length,
  );
  return Math.max(0, ...counts);
}

void tap.test('a leader sends a cold server what it bears', async t => {
  const {clock, createLimits} = setUp(COLD_MS);
  const limits = createLimits();
  const arrivals: number[] = [];
  for (let passed = 0; passed < COLD_MS - STEP_MS; passed += STEP_MS) {
    if (limits.hasToken('s1')) {
      limits.takeToken('s1');
      arrivals.push(clock.now());
    }
    await clock.advance(STEP_MS);
  }
  t.ok(arrivals.length >= 5, `${arrivals.length} requests use the rate`);
  t.ok(maxPerSecond(arrivals) <= 3, `${maxPerSecond(arrivals)} in a second`);
  await clock.advance(STEP_MS);
  t.equal(limits.limitOf('s1'), null, 'warm again');
  t.equal(limits.count(), 0);
});

// Guards against routers without a leader that each ramp up a cold server alone.
for (const routers of [1, 12, 77, 195]) {
  void tap.test(`${routers} routers without a leader`, async t => {
    const {clock, createLimits} = setUp(COLD_MS);
    const all = Array.from({length: routers}, () => createLimits());
    const arrivals: number[] = [];
    for (let passed = 0; passed < COLD_MS - STEP_MS; passed += STEP_MS) {
      for (const limits of all) {
        if (limits.takeShareToken('s1', routers)) arrivals.push(clock.now());
      }
      await clock.advance(STEP_MS);
    }
    const most = maxPerSecond(arrivals);
    t.ok(most <= MAX_PER_SECOND, `${most} requests in a second`);
  });
}

// Guards against a server that is cold again without a restart.
void tap.test('a server that turns cold again is limited again', async t => {
  const {clock, backends, createLimits} = setUp(0);
  const limits = createLimits();
  t.equal(limits.limitOf('s1'), null);
  backends.update([serverInfo(clock.now() + COLD_MS)]);
  t.equal(limits.limitOf('s1'), COLD_PER_SECOND);
  t.equal(limits.count(), 1);
  await clock.advance(COLD_MS);
  t.equal(limits.limitOf('s1'), null);
});

// Guards against a server that turns cold under load and gets the tokens of its
// limit beside the requests that it is at.
void tap.test('requests at a server that turns cold count', async t => {
  const {clock, backends, createLimits} = setUp(0);
  const limits = createLimits();
  backends.get('s1')!.allocatedSlots = 4;
  backends.update([serverInfo(clock.now() + COLD_MS)]);
  t.notOk(limits.hasToken('s1'));
  await clock.advance(950);
  t.notOk(limits.hasToken('s1'));
  await clock.advance(100);
  t.ok(limits.hasToken('s1'), 'after a second, however many they are');
});

// Guards against a server that turns cold, is known as cold late, and gets a token
// beside the requests that it has answered since.
void tap.test('requests that a server has answered count', async t => {
  const {clock, backends, createLimits} = setUp(0);
  const limits = createLimits();
  limits.takeToken('s1');
  await clock.advance(100);
  backends.update([serverInfo(clock.now() + COLD_MS)]);
  t.notOk(limits.hasToken('s1'));
  await clock.advance(950);
  t.notOk(limits.hasToken('s1'));
  await clock.advance(100);
  t.ok(limits.hasToken('s1'), 'after a second, however many they were');
});

// Guards against a server that was idle and gets nothing as its data centre returns.
void tap.test('requests that were long ago do not count', async t => {
  const {clock, backends, createLimits} = setUp(0);
  const limits = createLimits();
  t.ok(limits.takeShareToken('s1', 3));
  limits.takeToken('s1');
  await clock.advance(1_000);
  backends.update([serverInfo(clock.now() + COLD_MS)]);
  t.ok(limits.hasToken('s1'));
});

// Guards against a server that turns cold a second time under load and gets the
// tokens that it earned after its first cold time.
void tap.test('requests at a server count each time it turns cold', async t => {
  const {clock, backends, createLimits} = setUp(COLD_MS);
  const limits = createLimits();
  t.ok(limits.hasToken('s1'));
  await clock.advance(COLD_MS + 1_000);
  t.ok(limits.hasToken('s1'), 'warm');
  backends.get('s1')!.allocatedSlots = 4;
  backends.update([serverInfo(clock.now() + COLD_MS)]);
  t.notOk(limits.hasToken('s1'));
});

// Guards against a server that turns cold again as its cold time ends, and gets the
// requests of a warm one since a read of its entry got no answer.
void tap.test('a limit holds until the server is known as warm', async t => {
  const fixture = setUp(COLD_MS);
  const {clock, createLimits} = fixture;
  fixture.knownAgeMs = 60;
  const limits = createLimits();
  await clock.advance(COLD_MS);
  t.equal(limits.limitOf('s1'), COLD_PER_SECOND, 'known as of 60 ms before');
  t.equal(limits.count(), 1);
  await clock.advance(59);
  t.equal(limits.limitOf('s1'), COLD_PER_SECOND);
  await clock.advance(1);
  t.equal(limits.limitOf('s1'), null, 'known as of the end');
  t.equal(limits.count(), 0);
});

// Guards against a warm server that gets few requests for as long as the store is
// down.
void tap.test('a limit without news ends', async t => {
  const fixture = setUp(COLD_MS);
  fixture.knownAgeMs = 60_000;
  const limits = fixture.createLimits();
  await fixture.clock.advance(2 * COLD_MS - 1);
  t.equal(limits.limitOf('s1'), COLD_PER_SECOND);
  await fixture.clock.advance(1);
  t.equal(limits.limitOf('s1'), null, 'a second cold time would have ended');
});

void tap.test('an evacuated server counts as cold when it is back', async t => {
  const {clock, backends, createLimits} = setUp(0);
  const limits = createLimits();
  const timing = {ownedKeysMs: 2_000, coldMsOf: () => COLD_MS};
  backends.setEvacuated(new Set(['a']), timing);
  t.equal(limits.limitOf('s1'), null, 'not while it gets nothing');
  await clock.advance(500);
  backends.setEvacuated(new Set(), timing);
  t.equal(limits.limitOf('s1'), COLD_PER_SECOND);
  await clock.advance(COLD_MS);
  t.equal(limits.limitOf('s1'), null);
});

void tap.test(
  'combined limits: the lower one, and a token of both',
  async t => {
    const {clock, createLimits} = setUp(COLD_MS);
    const reported = createServerLimits({clock, emit: () => undefined});
    const limits = combineLimits(reported, createLimits());
    t.equal(limits.limitOf('s1'), COLD_PER_SECOND);
    reported.mergeFromLeader([['s1', 0.5]]);
    t.equal(limits.limitOf('s1'), 0.5);
    t.ok(limits.hasToken('s1'));
    limits.takeToken('s1');
    t.notOk(limits.hasToken('s1'));
  },
);
