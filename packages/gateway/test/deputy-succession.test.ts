import tap from 'tap';
import {
  createDeputySuccession,
  type DeputySuccession,
} from '@banyandrum/gateway/deputy-succession.js';
import type {HostState} from '@banyandrum/gateway/probe-host.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const LEADER = '10.0.0.1:7200';
const DEPUTIES = ['10.0.0.2:7200', '10.0.0.3:7200', '10.0.0.4:7200'];
const ROOM = {processors: 1, linkMbps: 100};

/** What a deputy finds after the leader is lost at 0. */
interface Conditions {
  readonly self?: string;
  /** What a probe of the leader finds at this time, in ms. */
  state(now: number): HostState;
  /** When another router tells that it has no leader either, in ms. */
  readonly witnessAt?: number;
  /** From when on the platform answers, in ms. */
  readonly answersFrom?: number;
  /** When the leader is followed again, in ms. */
  readonly followedAt?: number;
}

/** Returns when the deputy is due first, in ms; null within 10 s. */
async function dueAfter(conditions: Conditions): Promise<number | null> {
  const {witnessAt = Infinity, answersFrom = -Infinity} = conditions;
  const clock = createManualClock(100_000);
  const start = clock.now();
  const elapsed = (): number => clock.now() - start;
  let dueAt: number | null = null;
  const succession: DeputySuccession = createDeputySuccession({
    clock,
    emit: () => undefined,
    self: conditions.self ?? DEPUTIES[0]!,
    deputies: () =>
      DEPUTIES.map(address => ({address, room: ROOM, dataCentre: 'a'})),
    hasLeader: () => elapsed() >= (conditions.followedAt ?? Infinity),
    contactAgeMs: () => (elapsed() >= answersFrom ? 100 : Infinity),
    leaderlessNeighbourAgeMs: () =>
      elapsed() >= witnessAt ? elapsed() - witnessAt : Infinity,
    probe: async () => conditions.state(elapsed()),
    onDue() {
      if (succession.isDue()) dueAt ??= elapsed();
    },
  });
  succession.noteLeaderLost(LEADER);
  while (elapsed() < 10_000) await clock.advance(10);
  return dueAt;
}

// Guards against keys that wait for the group to remove a leader whose process
// has ended, which takes a second and longer after an outage of the store.
void tap.test('a leader that has ended is succeeded at once', async t => {
  t.equal(await dueAfter({state: () => 'refused'}), 0);
  const back = await dueAfter({
    state: now => (now < 500 ? 'refused' : 'open'),
    answersFrom: 3_000,
  });
  t.equal(back, 3_000, 'its next process does not lead');
});

void tap.test('deputies succeed in the order of their rank', async t => {
  const dueAt = await Promise.all(
    DEPUTIES.map(self => dueAfter({self, state: () => 'refused'})),
  );
  t.same(dueAt, [0, 400, 800]);
  const other: Conditions = {self: '10.0.0.9:7200', state: () => 'refused'};
  t.equal(await dueAfter(other), null, 'no deputy');
});

// Guards against a change of leader because one router can't reach the leader.
void tap.test('a silent leader needs another witness', async t => {
  const state = (): HostState => 'silent';
  t.equal(await dueAfter({state}), null);
  t.equal(
    await dueAfter({state, witnessAt: -50}),
    null,
    'from before the loss',
  );
  t.equal(await dueAfter({state, witnessAt: 200}), 200);
});

// Guards against a change of leader because the leader is late or suspended.
void tap.test('a leader whose host accepts connections is kept', async t => {
  t.equal(await dueAfter({state: () => 'open', witnessAt: 0}), null);
  const healed = await dueAfter({
    state: now => (now < 900 ? 'silent' : 'open'),
    witnessAt: 1_000,
  });
  t.equal(healed, null);
  t.equal(await dueAfter({state: () => 'refused', followedAt: 0}), null);
});

// Guards against deputies that begin together as an outage of the store ends.
void tap.test('ranks count from the return of the platform', async t => {
  const dueAt = await Promise.all(
    DEPUTIES.map(self =>
      dueAfter({self, state: () => 'refused', answersFrom: 4_500}),
    ),
  );
  t.same(dueAt, [4_500, 4_900, 5_300]);
});
