import tap from 'tap';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {toServerEntry} from '@banyandrum/dispatch/server-entry.js';
import type {Leadership} from '@banyandrum/gateway/leadership.js';
import {
  HEARTBEAT_MS,
  LEADER_TIMEOUT_MS,
} from '@banyandrum/gateway/link-messages.js';
import {applyList, digestServers} from '@banyandrum/gateway/link-state.js';
import {
  createSubscriber,
  createStateBroadcaster,
  type Subscriber,
} from '@banyandrum/gateway/link-broadcaster.js';
import type {ServerListChange} from '@banyandrum/gateway/platform.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import type {ServedRange} from '@banyandrum/ranges/table.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const FOLLOWERS = 77;
const SERVERS = 296;
const LINK_MBPS = 10;
const LINK_BYTES_PER_MS = (LINK_MBPS * 1_000) / 8;

const LIST: readonly ServerInfo[] = Array.from({length: SERVERS}, (_, i) => ({
  ...{id: `i-${i.toString(16).padStart(10, '0')}`, service: 'wubo73a'},
  ...{address: `10.2.${i >> 6}.${i & 63}:8022`, dataCentre: 'maninagar'},
  ...{slots: 4, isLeaving: false, coldUntil: 0},
}));
const RANGES: readonly ServedRange[] = LIST.map(({id}, i) => ({
  ...{from: i * 200, to: i * 200 + 199, server: id},
}));
const LEADERSHIP = {
  tables: () => new Map([['jemi29c', RANGES]]),
  version: () => 'v1',
} as unknown as Leadership;

interface Observed {
  /** The longest time that a router was without a message, in ms. */
  readonly longestGapMs: number;
  /** When the last router had received the full state, in ms. */
  readonly fullStateMs: number;
}

/** The changes of a list that contains all servers. */
function listAll(): readonly ServerListChange[] {
  return LIST.map(server => ({
    kind: 'listed',
    server: toServerEntry(server, 0),
  }));
}

/** Simulates that all routers connect at once to a leader with a slow link. */
async function connectAtOnce(digest: string | null): Promise<Observed> {
  const clock = createManualClock();
  const list = createServerList(clock, () => undefined, 2_000);
  const changes = listAll();
  list.applyRead({kind: 'read', isWhole: true, changes, cursor: 1_000});
  const broadcaster = createStateBroadcaster({
    suspects: {rows: () => []},
    limits: {rows: () => []},
    ...{clock, list, leadership: LEADERSHIP},
    room: {processors: 1, linkMbps: LINK_MBPS},
    configPosition: () => null,
    config: () => null,
    configAgeMs: () => 0,
    contactAgeMs: () => 0,
  });
  let linkFreeAt = 0;
  let longestGapMs = 0;
  const subscribers = Array.from({length: FOLLOWERS}, (_, i): Subscriber => {
    let lastReceivedAt = 0;
    const write = ({bytes}: {bytes: Buffer}): void => {
      linkFreeAt =
        Math.max(linkFreeAt, clock.now()) + bytes.length / LINK_BYTES_PER_MS;
      longestGapMs = Math.max(longestGapMs, linkFreeAt - lastReceivedAt);
      lastReceivedAt = linkFreeAt;
    };
    const subscriber = createSubscriber({write});
    subscriber.candidate = {
      ...{address: `10.1.0.${i}:7200`, dataCentre: 'naroda'},
      room: {processors: 0.27, linkMbps: LINK_MBPS},
    };
    subscriber.listDigest = digest;
    return subscriber;
  });
  for (const subscriber of subscribers)
    broadcaster.send([subscriber], subscribers);
  while (subscribers.some(({lastSent}) => lastSent === null)) {
    await clock.advance(HEARTBEAT_MS);
    broadcaster.onHeartbeat(subscribers);
    broadcaster.send(subscribers, subscribers);
  }
  return {longestGapMs, fullStateMs: linkFreeAt};
}

// Guards against followers that time out when all 77 connect at once to a new
// leader with a 10 Mbit/s link. Sending each the full server list and all
// tables took 5 MB, four seconds of that link; they left after 0.6 s and
// reconnected for the same. No leader kept its followers, others started terms,
// and callers of keyed services were rejected for half a minute. The log of
// that day shows 18 terms in 33 s, `leader-left` 90 to 135 times in 2 s and at
// most 45 followers; over real connections 3 of 77 followed after 3 s, and 224
// had left.
void tap.test('routers keep a leader behind a slow link', async t => {
  const {longestGapMs, fullStateMs} = await connectAtOnce(digestServers(LIST));
  t.ok(longestGapMs < LEADER_TIMEOUT_MS, `no message for ${longestGapMs} ms`);
  t.ok(fullStateMs < 3_000, `full state after ${fullStateMs} ms`);
});

// The same for routers that have just started and know no server yet.
void tap.test('routers that know nothing keep it as well', async t => {
  const {longestGapMs, fullStateMs} = await connectAtOnce(null);
  t.ok(longestGapMs < LEADER_TIMEOUT_MS, `no message for ${longestGapMs} ms`);
  t.ok(fullStateMs < 9_000, `full state after ${fullStateMs} ms`);
});

// Two routers that read the list at different times must compute the same
// digest.
void tap.test('a list is identified by its entries alone', async t => {
  t.equal(digestServers([...LIST].reverse()), digestServers(LIST));
  const [first, ...others] = LIST;
  t.not(
    digestServers([{...first!, isLeaving: true}, ...others]),
    digestServers(LIST),
  );
});

// Guards against a follower that gets the cursor after a removal without the
// removal itself. If some reads of the leader fail, it keeps a removed server
// for two more seconds. A follower that adopted the cursor then and led next
// granted keys to that server for good: 377 grants in 17 s of a soak test, each
// answered by another instance at the address, while the keys stayed unserved.
void tap.test('what was removed is sent with its cursor', async t => {
  const clock = createManualClock(10_000);
  const list = createServerList(clock, () => undefined, 2_000);
  const [removedServer, ...others] = LIST;
  const changes = listAll();
  list.applyRead({kind: 'read', isWhole: true, changes, cursor: 17});
  const broadcaster = createStateBroadcaster({
    suspects: {rows: () => []},
    limits: {rows: () => []},
    ...{clock, list, leadership: LEADERSHIP},
    room: {processors: 1, linkMbps: 1_000},
    configPosition: () => null,
    config: () => null,
    configAgeMs: () => 0,
    contactAgeMs: () => 0,
  });
  let received: readonly ServerInfo[] = [];
  let cursor: number | null = null;
  const subscriber = createSubscriber({
    write({bytes}) {
      const state = JSON.parse(bytes.toString());
      if (state.list !== null) received = applyList(received, state.list, 0);
      cursor = state.listCursor;
    },
  });
  subscriber.awaitsHello = false;
  broadcaster.send([subscriber], [subscriber]);
  t.same([received.length, cursor], [SERVERS, 17]);
  list.applyRead({kind: 'failed', detail: 'status 503'});
  const removed = {kind: 'removed', id: removedServer!.id} as const;
  list.applyRead({
    kind: 'read',
    isWhole: false,
    changes: [removed],
    cursor: 18,
  });
  t.ok(list.has(removedServer!.id), 'kept by the leader during the grace time');
  broadcaster.send([subscriber], [subscriber]);
  t.equal(cursor, 18);
  t.same(received.length, others.length, 'but not sent to followers');
});
