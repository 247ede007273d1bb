import tap from 'tap';
import type {SlotRequest} from '@banyandrum/dispatch/slots.js';
import type {Leadership} from '@banyandrum/gateway/leadership.js';
import {
  HEARTBEAT_MS,
  LINK_SERVICE,
  type FollowerMessage,
  type LeaderMessage,
  type StateMessage,
} from '@banyandrum/gateway/link-messages.js';
import {
  createSubscriber,
  createStateBroadcaster,
} from '@banyandrum/gateway/link-broadcaster.js';
import type {WireConfig} from '@banyandrum/gateway/link-config.js';
import type {Candidate} from '@banyandrum/gateway/host-capacity.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import {MAX_KEY, type ServedRange} from '@banyandrum/ranges/table.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const {follow} = LINK_SERVICE;

const PLACE: SlotRequest = {
  ...{id: '9c41d07be2a35f68', service: 'wubo73a', key: 48_211, priority: 2},
  ...{leftMs: 1_874.382_917, aimLeftMs: 374.382_917, askedMs: 0, excluded: []},
  dataCentre: 'prince-george',
};

/** The message as the leader decodes it. */
function sentToLeader(message: FollowerMessage): FollowerMessage {
  return follow.requestDeserialize(follow.requestSerialize(message));
}

/** The message as a follower decodes it. */
function sentToFollower(message: LeaderMessage): LeaderMessage {
  return follow.responseDeserialize(follow.responseSerialize(message));
}

// Guards the size of the messages per slot, which was 325 bytes before. Two
// thirds of the routers are in other data centres than the leader, and
// operators pay for traffic between data centres, so it must be small compared
// with the request.
void tap.test('messages that place a request take few bytes', async t => {
  const bytes =
    follow.requestSerialize({kind: 'ask', ask: 81_234, place: PLACE}).length +
    follow.responseSerialize({
      ...{kind: 'reply', ask: 81_234},
      reply: {kind: 'granted', server: 'i-7f3a91c2'},
    }).length +
    follow.requestSerialize({
      ...{kind: 'end', ask: 81_234, how: 'answered', tookMs: 187},
    }).length;
  t.comment(`${bytes} bytes`);
  t.ok(bytes <= 160, `${bytes} bytes`);
});

// Guards against routers that place requests by the wrong caller, or take a hash
// for a server that must not be chosen.
void tap.test('origin of a request and slowdown of its server', async t => {
  const origin = {kind: 51_200, caller: 3_405_691_582};
  const place = {...PLACE, ...origin, excluded: ['i-1', 'i-2']};
  const arrived = sentToLeader({kind: 'ask', ask: 7, place});
  t.match(arrived, {place: {...origin, excluded: ['i-1', 'i-2']}});
  const end = {kind: 'end', ask: 7, how: 'answered', tookMs: 187} as const;
  t.same(sentToLeader(end), end);
  t.same(sentToLeader({...end, slowdown: 2.9}), {...end, slowdown: 2.9});
});

void tap.test('messages are decoded as they were sent', async t => {
  const ask = {kind: 'ask', ask: 7, place: PLACE} as const;
  const {id, service, key, priority, leftMs, aimLeftMs} = PLACE;
  const arrived = sentToLeader(ask);
  const place = {id, service, key, priority};
  t.match(arrived, {kind: 'ask', ask: 7, place});
  if (arrived.kind !== 'ask') return;
  t.ok(Math.abs(arrived.place.leftMs - leftMs) <= 1);
  t.ok(Math.abs(arrived.place.aimLeftMs - aimLeftMs) <= 1);
  const keyless = {...PLACE, key: null, excluded: ['i-1', 'i-2']};
  t.match(sentToLeader({kind: 'ask', ask: 8, place: keyless}), {
    place: {key: null, excluded: ['i-1', 'i-2']},
  });
  for (const how of [
    ...(['answered', 'failed', 'refused'] as const),
    ...(['lost', 'unreached', 'cancelled'] as const),
  ]) {
    const end = {kind: 'end', ask: 9, how, tookMs: 3} as const;
    t.same(sentToLeader(end), end);
  }
  for (const reply of [
    {kind: 'granted', server: 'i-1'},
    {kind: 'refused', retryAfterMs: 200, isUnheld: true},
    {kind: 'unavailable'},
  ] as const) {
    const message = {kind: 'reply', ask: 10, reply} as const;
    t.same(sentToFollower(message), message);
  }
  const replaced = {kind: 'replaced', server: 'i-1'} as const;
  t.same(sentToLeader(replaced), replaced);
  t.same(sentToFollower({kind: 'lead'}), {kind: 'lead'});
});

// Guards the size of a heartbeat, which each follower gets five times per
// second. When heartbeats repeated known state they had 445 bytes, and with 195
// routers were a large part of the traffic between data centres.
void tap.test('a heartbeat without changes is small', async t => {
  const clock = createManualClock();
  const list = createServerList(clock, () => undefined, 2_000);
  list.applyRead({kind: 'read', isWhole: true, changes: [], cursor: 12_345});
  const leadership = {
    tables: () => new Map(),
    version: () => 'v1',
  } as unknown as Leadership;
  const broadcaster = createStateBroadcaster({
    suspects: {rows: () => []},
    limits: {rows: () => []},
    ...{clock, list, leadership, room: {processors: 1, linkMbps: 100}},
    configPosition: () => ({cursor: 12, version: 3, evacuated: []}),
    config: () => ({}) as WireConfig,
    configAgeMs: () => 17.4,
    contactAgeMs: () => 120.6,
  });
  const written: Buffer[] = [];
  const subscribers = ['kitimat', 'houston', 'terrace', 'smithers'].map(
    (dataCentre, i) => {
      const subscriber = createSubscriber({
        write: ({bytes}) => written.push(bytes),
      });
      subscriber.candidate = candidate(i, dataCentre);
      return subscriber;
    },
  );
  broadcaster.send(subscribers, subscribers);
  const firstState = decodeState(written.at(-1)!);
  t.equal(firstState.deputies?.length, 3, 'the first names who leads next');
  broadcaster.onHeartbeat(subscribers);
  broadcaster.send(subscribers, subscribers);
  t.equal(
    decodeState(written.at(-1)!).deputies,
    null,
    'nothing about unchanged deputies',
  );
  t.ok(written.at(-1)!.length <= 190, `${written.at(-1)!.length} bytes`);
  subscribers.shift();
  broadcaster.send(subscribers, subscribers);
  t.equal(
    decodeState(written.at(-1)!).deputies?.length,
    3,
    'others are to lead next now',
  );
});

function candidate(i: number, dataCentre: string): Candidate {
  const address = `10.1.${i}.18:7200`;
  return {address, dataCentre, room: {processors: 1.35, linkMbps: 140}};
}

function decodeState(bytes: Buffer): StateMessage {
  return follow.responseDeserialize(bytes) as StateMessage;
}

// Guards against frequent table updates to many routers, which must not cost
// more traffic than the requests. As busy keys move between 200 servers, each
// of 195 routers gets the changes only for times without a leader. Before the
// limit, each got 10 updates in 10 s.
void tap.test('many routers get changed tables less often', async t => {
  const clock = createManualClock();
  const list = createServerList(clock, () => undefined, 2_000);
  let version = 0;
  const tables = (): Map<string, readonly ServedRange[]> =>
    new Map([['rounds', [{from: 0, to: MAX_KEY, server: `s${version}`}]]]);
  const leadership = {
    tables,
    version: () => `v${version}`,
  } as unknown as Leadership;
  const broadcaster = createStateBroadcaster({
    suspects: {rows: () => []},
    limits: {rows: () => []},
    ...{clock, list, leadership, room: {processors: 1, linkMbps: 100}},
    ...{configPosition: () => null, config: () => null},
    ...{configAgeMs: () => 0, contactAgeMs: () => 0},
  });
  let updates = 0;
  let lastServer = '';
  const subscribers = Array.from({length: 194}, (_, i) => {
    const write = ({bytes}: {bytes: Buffer}): void => {
      const rows = decodeState(bytes).tables?.['rounds'];
      if (i > 0 || rows === undefined) return;
      updates++;
      lastServer = rows[0]![2]!;
    };
    const subscriber = createSubscriber({write});
    subscriber.candidate = candidate(i, 'houston');
    return subscriber;
  });
  for (let passed = 0; passed < 10_000; passed += HEARTBEAT_MS) {
    version++;
    broadcaster.onHeartbeat(subscribers);
    broadcaster.send(subscribers, subscribers);
    await clock.advance(HEARTBEAT_MS);
  }
  t.ok(updates <= 4, `${updates} updates`);
  await clock.advance(3_000);
  broadcaster.send(subscribers, subscribers);
  t.equal(lastServer, `s${version}`, 'the last change is sent');
});
