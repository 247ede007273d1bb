import tap from 'tap';
import {sleep} from '@banyandrum/base/clock.js';
import {Ok} from '@banyandrum/base/result.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import {EMPTY_STATE} from '@banyandrum/config/fold.js';
import type {View} from '@banyandrum/config/state.js';
import type {AuthorityHolder} from '@banyandrum/ownership/authority-holder.js';
import {createAuthorityHolder} from '@banyandrum/ownership/authority-holder.js';
import {runConsentLoop} from '@banyandrum/ownership/consent.js';
import type {OwnershipContext} from '@banyandrum/ownership/context.js';
import type {ShardTable} from '@banyandrum/ownership/table.js';
import {createStandby} from '@banyandrum/ownership/standby.js';
import {toTableMessage} from '@banyandrum/ownership/control.js';
import {deriveTiming} from '@banyandrum/ownership/timing.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const LEADER: Incarnation = {
  ...{host: 'a', address: 'a:1', boot: '1', dataCentre: 'dc-a'},
};
const STANDBY: Incarnation = {
  ...{host: 'b', address: 'b:1', boot: '2', dataCentre: 'dc-b'},
};
const VIEW: View = {
  cell: 'holds/0',
  epoch: 5,
  leader: LEADER,
  standby: STANDBY,
  unsettled: [],
};
const RESPONSE_DELAY_MS = 200;

// The standby's response takes 200 ms. The leader may act for `authorityMs`
// after its request, not after the response: the standby may have withdrawn
// right after it responded, and its successor waits from the withdrawal on.
void tap.test('consent counts from when it was asked for', async t => {
  const ctx = createContext(LEADER);
  const holder = createAuthorityHolder(ctx, VIEW);
  const requestedAt: number[] = [];
  const abort = new AbortController();
  void runConsentLoop(
    {
      ctx: {
        ...ctx,
        peers: {
          ...ctx.peers,
          ask: async () => {
            requestedAt.push(ctx.clock.now());
            await sleep(ctx.clock, RESPONSE_DELAY_MS);
            const granted = ['holds/0'];
            return Ok({granted, leaving: false} as never);
          },
        },
      },
      membership: {markLeaving: () => {}} as never,
      leadership: {activeTenures: () => [tenureOf(holder)]} as never,
      doubt: () => {},
      noteUnreached: () => {},
    },
    STANDBY,
    abort.signal,
  );
  await ctx.clock.advance(1100);
  t.ok(holder.mayAct());
  abort.abort();
  const end = (requestedAt.at(-1) ?? 0) + ctx.timing.authorityMs;
  await ctx.clock.advance(end - ctx.clock.now() - 1);
  t.ok(holder.mayAct(), 'until authorityMs after the request');
  await ctx.clock.advance(1);
  t.notOk(holder.mayAct(), 'but no longer');
});

// Tables may arrive late, twice, or after the withdrawal. The standby must take
// over from the newest table that it has acknowledged.
const tables = [
  {name: 'the first table', sent: [1], stored: true, kept: 1},
  {name: 'a newer one', sent: [1, 2], stored: true, kept: 2},
  {name: 'an older one, late', sent: [2, 1], stored: false, kept: 2},
  {name: 'the same one again', sent: [2, 2], stored: true, kept: 2},
  {name: 'another one of that version', sent: [2, -2], stored: false, kept: 2},
  {name: 'one of another epoch', sent: [1], epoch: 4, stored: false, kept: 0},
  {
    name: 'one from another incarnation',
    sent: [1],
    boot: '9',
    stored: false,
    kept: 0,
  },
  {name: 'one after the withdrawal', sent: [1, 0, 2], stored: false, kept: 1},
];

for (const {name, sent, stored, kept, epoch = 5, boot = '1'} of tables) {
  void tap.test(`standby: ${name}`, t => {
    const standby = createStandby(createContext(STANDBY), {
      isLeaving: () => false,
      isUnreached: () => false,
      onWithdrawn: () => {},
      onNewerEpoch: () => {},
    });
    const from = {...LEADER, boot};
    let isStored = false;
    for (const version of sent) {
      if (version === 0) standby.withdraw('holds/0', 5);
      else
        isStored = standby.storeTable(from, createTableMessage(version, epoch));
    }
    t.equal(isStored, stored);
    t.equal(standby.role('holds/0', 5)?.table?.version ?? 0, kept);
    t.end();
  });
}

/** Creates a table message; a negative version has other entries. */
function createTableMessage(
  version: number,
  epoch: number,
): ReturnType<typeof toTableMessage> {
  const shard = version > 0 ? '1' : '2';
  const entry = {shard, state: 'free', server: null, next: null} as const;
  const table: ShardTable = {
    ...{cell: 'holds/0', epoch, version: Math.abs(version)},
    ...{entries: [entry], fences: new Map()},
  };
  return toTableMessage(table);
}

function tenureOf(holder: AuthorityHolder): object {
  return {holder, viewKnownSince: () => 0, isCleared: () => true};
}

function createContext(self: Incarnation) {
  const clock = createManualClock();
  const state = {...EMPTY_STATE, views: new Map([[VIEW.cell, VIEW]])};
  return {
    ...{self, clock},
    store: {
      current: () => state,
      confirmedAt: () => -Infinity,
    } as unknown as OwnershipContext['store'],
    peers: {} as OwnershipContext['peers'],
    log: createSilentLogger(),
    timing: deriveTiming(EMPTY_STATE.rules.timing),
    pauses: {resumedAt: () => -Infinity},
    random: () => 0.5,
    signal: new AbortController().signal,
  };
}
