import tap from 'tap';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {toServerEntry} from '@banyandrum/dispatch/server-entry.js';
import {
  createPartVersions,
  digestHeld,
  type HeldDigests,
} from '@banyandrum/gateway/held-state.js';
import type {ServedTables} from '@banyandrum/gateway/key-owners.js';
import type {Leadership} from '@banyandrum/gateway/leadership.js';
import {
  createStateBroadcaster,
  createSubscriber,
} from '@banyandrum/gateway/link-broadcaster.js';
import type {WireConfig} from '@banyandrum/gateway/link-config.js';
import {
  LINK_SERVICE,
  type StateMessage,
} from '@banyandrum/gateway/link-messages.js';
import {digestServers} from '@banyandrum/gateway/link-state.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const CONFIG = {
  ...{version: 3, cursor: 17, limits: {}, hosts: [], services: []},
} as unknown as WireConfig;

function serverAt(at: number, coldUntil = 0): ServerInfo {
  return {
    ...{id: `s${at}`, service: 'holds', address: `10.2.0.${at}:8022`},
    ...{dataCentre: 'a', slots: 2, isLeaving: false, coldUntil},
  };
}

function tablesOf(last: string): ServedTables {
  return new Map([
    [
      'holds',
      [
        {from: 0, to: 999, server: 's0'},
        {from: 1_000, to: 65_535, server: last},
      ],
    ],
  ]);
}

/** A leader, and what it first sends to a follower with what that names. */
interface Leader {
  setTables(tables: ServedTables): void;
  list(servers: readonly ServerInfo[]): void;
  /** Sends the state to all, as at a heartbeat; time passes. */
  beat(): Promise<void>;
  firstState(listDigest: string | null, held: HeldDigests | null): StateMessage;
}

function startLeader(): Leader {
  const clock = createManualClock();
  const list = createServerList(clock, () => undefined, 2_000);
  let cursor = 0;
  let tables = tablesOf('s1');
  let version = 1;
  const broadcaster = createStateBroadcaster({
    ...{clock, list},
    suspects: {rows: () => []},
    limits: {rows: () => [['s1', 5]]},
    leadership: {
      tables: () => tables,
      version: () => `v${version}`,
    } as unknown as Leadership,
    room: {processors: 1, linkMbps: 1_000},
    configPosition: () => ({cursor: 17, version: 3, evacuated: []}),
    ...{config: () => CONFIG, configAgeMs: () => 0, contactAgeMs: () => 0},
  });
  return {
    setTables(next) {
      tables = next;
      version++;
    },
    list(servers) {
      const changes = servers.map(
        server =>
          ({
            kind: 'listed',
            server: toServerEntry(server, clock.now()),
          }) as const,
      );
      list.applyRead({kind: 'read', isWhole: true, changes, cursor: ++cursor});
    },
    async beat() {
      const none = [] as const;
      broadcaster.send(none, none);
      await clock.advance(2_000);
    },
    firstState(listDigest, held) {
      const written: Buffer[] = [];
      const subscriber = createSubscriber({
        write: ({bytes}) => written.push(bytes),
      });
      Object.assign(subscriber, {listDigest, held, awaitsHello: false});
      broadcaster.send([subscriber], [subscriber]);
      const {responseDeserialize} = LINK_SERVICE.follow;
      return responseDeserialize(written[0]!) as StateMessage;
    },
  };
}

const SERVERS = [serverAt(0), serverAt(1), serverAt(2)];
const HELD = digestHeld({
  ...{tables: tablesOf('s1'), config: CONFIG},
  ...{limits: [['s1', 5]], suspects: []},
});

// Guards against full states for each return to a leader that is late.
void tap.test('a follower that has all is sent none of it', async t => {
  const leader = startLeader();
  leader.list(SERVERS);
  const state = leader.firstState(digestServers(SERVERS), HELD);
  t.same([state.tables, state.list, state.config], [null, null, null]);
  t.equal(state.limits, undefined);
  t.same(state.kept, ['tables', 'config', 'limits', 'suspects']);
});

void tap.test('what changed meanwhile is sent alone', async t => {
  const leader = startLeader();
  leader.list(SERVERS);
  await leader.beat();
  leader.setTables(tablesOf('s2'));
  leader.list([serverAt(0), serverAt(1), {...serverAt(2), isLeaving: true}]);
  await leader.beat();
  const state = leader.firstState(digestServers(SERVERS), HELD);
  t.same(state.tables, {holds: [[1_000, 65_535, 's2']]});
  t.equal(state.list?.isWhole, false);
  t.same(
    state.list?.put.map(({id}) => id),
    ['s2'],
  );
});

// Guards against a server that turned cold while the follower was away: its
// digest is the same.
void tap.test('a server that turned cold is sent', async t => {
  const leader = startLeader();
  leader.list(SERVERS);
  await leader.beat();
  const cold = serverAt(2, 7_000);
  leader.list([serverAt(0), serverAt(1), cold]);
  const {list} = leader.firstState(digestServers(SERVERS), HELD);
  const put = [{...toServerEntry(cold, 0), coldMs: 5_000}];
  t.same(list, {isWhole: false, put, gone: []});
});

// Guards against a follower that never learns of a cold server, since the leader
// lists it as cold from the first on and the digest is the same.
void tap.test('a server that was cold before the leader is sent', async t => {
  const leader = startLeader();
  leader.list([serverAt(0), serverAt(1), serverAt(2, 7_000)]);
  await leader.beat();
  const {list} = leader.firstState(digestServers(SERVERS), HELD);
  t.same(
    list?.put.map(({id, coldMs}) => [id, coldMs]),
    [['s2', 5_000]],
  );
});

void tap.test('one of an earlier version is sent all', async t => {
  const leader = startLeader();
  leader.list(SERVERS);
  const state = leader.firstState(null, null);
  t.equal(state.tables?.['holds']?.length, 2);
  t.equal(state.list?.isWhole, true);
  t.same([state.config, state.limits], [CONFIG, [['s1', 5]]]);
  t.equal(state.kept, undefined);
});

void tap.test('one with unknown parts is sent these', async t => {
  const leader = startLeader();
  leader.list(SERVERS);
  const held = {...HELD, tables: 'x', limits: 'x'};
  const state = leader.firstState('x', held);
  t.equal(state.tables?.['holds']?.length, 2);
  t.equal(state.list?.isWhole, true);
  t.same([state.config, state.limits], [null, [['s1', 5]]]);
  t.same(state.kept, ['config', 'suspects']);
});

void tap.test('old versions are forgotten', async t => {
  const versions = createPartVersions(({id}: {id: string}) => id, 2);
  for (const id of ['a', 'b', 'c']) versions.add({id});
  t.equal(versions.find('a'), null);
  t.same(versions.find('b'), {id: 'b'});
  t.equal(versions.find(null), null);
});
