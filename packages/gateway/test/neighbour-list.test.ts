import tap from 'tap';
import type {ServerListRead} from '@banyandrum/gateway/platform.js';
import {
  createSession,
  handleMessage,
  type FollowerState,
  type LinkStream,
} from '@banyandrum/gateway/link-session.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const EMPTY_LIST = {
  ...{kind: 'read', isWhole: true, changes: [], cursor: 7},
} as const satisfies ServerListRead;

/** Returns the list's age after a neighbour's answer, and what was noted. */
async function answer(list: {cursor: number; ageMs: number} | undefined) {
  const clock = createManualClock(1_000);
  const servers = createServerList(clock, () => undefined, 2_000);
  servers.applyRead(EMPTY_LIST);
  await clock.advance(1_000);
  const session = createSession({} as LinkStream, '10.1.0.4:7520', clock.now());
  await clock.advance(40);
  session.heardAt = clock.now();
  const cfg = {list: servers} as unknown as FollowerState;
  handleMessage(cfg, session, {
    ...{kind: 'elsewhere', leader: null},
    ...(list !== undefined && {list}),
  });
  return {
    ageMs: Math.round(servers.ageMs()),
    isConfirmed: session.neighbourListAt === clock.now(),
  };
}

// Guards against a list that seems newer than it is: the time on the way counts.
void tap.test('a neighbour at the same position confirms it', async t => {
  t.same(await answer({cursor: 7, ageMs: 100}), {
    ageMs: 140,
    isConfirmed: true,
  });
});

// Guards against changes that this router would never read.
void tap.test('a neighbour at another position confirms nothing', async t => {
  const unchanged = {ageMs: 1_040, isConfirmed: false};
  t.same(await answer({cursor: 8, ageMs: 100}), unchanged);
  t.same(await answer({cursor: 6, ageMs: 100}), unchanged);
});

// Guards against a failure beside routers of an earlier version.
void tap.test('an answer without a position is accepted', async t => {
  t.same(await answer(undefined), {ageMs: 1_040, isConfirmed: false});
});

// Guards against an old confirmation that makes the list older.
void tap.test('an older confirmation changes no age', async t => {
  t.equal((await answer({cursor: 7, ageMs: 5_000})).ageMs, 1_040);
});
