import tap from 'tap';
import {findRange} from '@banyandrum/ranges/table.js';
import type {FaultRates} from './fake-cluster.js';
import type {TestEvent} from './harness.js';
import {
  simulatePlacement,
  SLOWNESS,
  type PlacementOutcome,
  type PlacementState,
} from './simulate-placement.js';

const SLOW = SLOWNESS[2];
const FAST = SLOWNESS[0];
/** Requests per second for the hot key: more than a slow server can process. */
const HOT_RATES = [14, 25] as const;
const SEEDS = [1, 2, 3, 4] as const;
const STEP_MS = 50;
const UTILIZATION = 0.4;
/** Time within which the key must have moved, in ms. */
const MAX_MOVE_MS = 2_000;
/** The same with lost calls: a lease that a lost grant may begin, and a plan. */
const MAX_MOVE_WITH_FAULTS_MS = 8_000;
/** Part of a server's usual rate that may be left for its other keys. */
const MAX_OTHERS_SHARE = 0.5;

/** A server that had the hot key. */
interface KeyOwner {
  readonly id: string;
  readonly slowness: number;
  /** Time since the key became hot, in ms. */
  readonly sinceMs: number;
}

interface HotKeyOutcome extends PlacementOutcome {
  readonly owners: readonly KeyOwner[];
  /** Logged moves of the key by latency. */
  readonly placed: readonly TestEvent[];
  /** Rates of the other keys at the key's first server, per second. */
  readonly othersBefore: number;
  readonly othersAfter: number;
}

/** Makes a key hot that is at a server of this slowness. */
async function playHotKey(
  seed: number,
  perSecond: number,
  slowness: number,
  faults: Partial<FaultRates> = {},
): Promise<HotKeyOutcome> {
  let placed: readonly TestEvent[] = [];
  const owners: KeyOwner[] = [];
  let key = -1;
  let due = 0;
  let othersBefore = 0;
  let othersAfter = 0;
  const onStep = (state: PlacementState, sinceMs: number): void => {
    if (sinceMs < 0) return;
    const {harness, leader, servers} = state;
    const served = leader.serviceLeader.served();
    if (key < 0) {
      const slow = servers.filter(each => each.slowness === slowness);
      const range = served.find(({server}) =>
        slow.some(({id}) => id === server),
      )!;
      key = Math.floor((range.from + range.to) / 2);
      Object.assign(harness.cluster.faultRates, faults);
      othersBefore = othersOf(state, range.server!, key);
    }
    for (due += (perSecond * STEP_MS) / 1_000; due >= 1; due--)
      state.request(key);
    const {server: id} = findRange(served, key)!;
    const server = servers.find(each => each.id === id);
    if (server === undefined) return;
    if (owners.at(-1)?.id !== id)
      owners.push({id: server.id, slowness: server.slowness, sinceMs});
    othersAfter = othersOf(state, owners[0]!.id, key);
    placed = harness.events.filter(
      ({event, fields}) =>
        event === 'range-placed' && fields.from === key && fields.to === key,
    );
  };
  const outcome = await simulatePlacement({
    ...{seed, utilization: UTILIZATION, byLatency: true, onStep},
    ...{warmUpMs: 10_000, measuredMs: 20_000},
  });
  return {...outcome, owners, placed, othersBefore, othersAfter};
}

/** Requests per second for a server's keys but one. */
function othersOf(
  {leader}: PlacementState,
  server: string,
  key: number,
): number {
  const {load, served} = leader.serviceLeader;
  return served()
    .filter(range => range.server === server)
    .map(range => {
      const hasKey = range.from <= key && key <= range.to;
      const ownRate = hasKey ? load.rateOf({from: key, to: key}) : 0;
      return load.rateOf(range) - ownRate;
    })
    .reduce((sum, rate) => sum + rate, 0);
}

// Guards against a hot key that stays at a slow server as its requests never
// stop, and against one that moves back and forth.
for (const perSecond of HOT_RATES) {
  void tap.test(`a key with ${perSecond} requests a second`, async t => {
    for (const seed of SEEDS) {
      const {owners, placed, violations, late, requests} = await playHotKey(
        ...[seed, perSecond, SLOW],
      );
      const text = owners
        .map(({id, slowness, sinceMs}) => `${id} (${slowness}) ${sinceMs} ms`)
        .join(', ');
      t.comment(`seed ${seed}: ${late} of ${requests} late; ${text}`);
      t.equal(owners.length, 2, 'it moves once');
      t.equal(owners.at(-1)!.slowness, FAST);
      t.ok(owners.at(-1)!.sinceMs <= MAX_MOVE_MS, 'soon');
      t.same(violations, []);
      t.equal(placed.length, 1, 'the move is logged');
      t.equal(placed[0]!.fields.why, 'hot-key');
      t.ok(Number(placed[0]!.fields.savedPerSecond) > 0);
    }
  });
}

// Guards against two owners of a hot key that moves while calls are lost or late,
// and against a key that stays for long after a move that could not begin.
void tap.test('a hot key has one owner when calls fail', async t => {
  const faults = {late: 0.03, unanswered: 0.03, unsaved: 0.1};
  for (const seed of SEEDS) {
    const {owners, violations} = await playHotKey(seed, 25, SLOW, faults);
    t.comment(`seed ${seed}: ${owners.map(({sinceMs}) => sinceMs).join(', ')}`);
    t.same(violations, []);
    t.ok(owners[1]!.sinceMs <= MAX_MOVE_WITH_FAULTS_MS, 'it moves');
  }
});

// Guards against other keys that wait for slots behind those of a hot key, which
// has no faster server to move to.
void tap.test('other keys leave the server of a hot key', async t => {
  for (const seed of SEEDS) {
    const outcome = await playHotKey(seed, 25, FAST);
    const {owners, othersBefore, othersAfter} = outcome;
    t.equal(owners.length, 1, 'the hot key stays');
    const share = othersAfter / othersBefore;
    t.comment(
      `seed ${seed}: ${othersBefore.toFixed(1)}, ${othersAfter.toFixed(1)}`,
    );
    t.ok(
      share < MAX_OTHERS_SHARE,
      `${share.toFixed(2)} of the others are left`,
    );
  }
});
