import tap from 'tap';
import {findRange} from '@banyandrum/ranges/table.js';
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
  /** Rates of the other keys at the key's first server, per second. */
  readonly othersBefore: number;
  readonly othersAfter: number;
}

/** Makes a key hot that is at a server of this slowness. */
async function playHotKey(
  seed: number,
  perSecond: number,
  slowness: number,
  byLatency: boolean,
): Promise<HotKeyOutcome> {
  const owners: KeyOwner[] = [];
  let key = -1;
  let due = 0;
  let othersBefore = 0;
  let othersAfter = 0;
  const onStep = (state: PlacementState, sinceMs: number): void => {
    if (sinceMs < 0) return;
    const {leader, servers} = state;
    const served = leader.serviceLeader.served();
    if (key < 0) {
      const slow = servers.filter(each => each.slowness === slowness);
      const range = served.find(({server}) =>
        slow.some(({id}) => id === server),
      )!;
      key = Math.floor((range.from + range.to) / 2);
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
  };
  const outcome = await simulatePlacement({
    ...{seed, utilization: UTILIZATION, byLatency, onStep},
    ...{warmUpMs: 10_000, measuredMs: 20_000},
  });
  return {...outcome, owners, othersBefore, othersAfter};
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
      const {owners, violations, late, requests} = await playHotKey(
        ...[seed, perSecond, SLOW, true],
      );
      const text = owners
        .map(({id, slowness, sinceMs}) => `${id} (${slowness}) ${sinceMs} ms`)
        .join(', ');
      t.comment(`seed ${seed}: ${late} of ${requests} late; ${text}`);
      t.equal(owners.length, 2, 'it moves once');
      t.equal(owners.at(-1)!.slowness, FAST);
      t.ok(owners.at(-1)!.sinceMs <= MAX_MOVE_MS, 'soon');
      t.same(violations, []);
    }
  });
}

// Guards against other keys that wait for slots behind those of a hot key, which
// has no faster server to move to.
void tap.test('other keys leave the server of a hot key', async t => {
  for (const seed of SEEDS) {
    const outcome = await playHotKey(seed, 25, FAST, true);
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
