import tap from 'tap';
import type {PlaceAsk} from '@banyandrum/dispatch/places.js';
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
} from '@banyandrum/gateway/link-telling.js';
import type {WireConfig} from '@banyandrum/gateway/link-config.js';
import type {Candidate} from '@banyandrum/gateway/host-capacity.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import {MAX_KEY, type ServedRange} from '@banyandrum/ranges/table.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const {follow} = LINK_SERVICE;

const PLACE: PlaceAsk = {
  ...{id: '9c41d07be2a35f68', service: 'wubo73a', key: 48_211, priority: 2},
  ...{leftMs: 1_874.382_917, aimLeftMs: 374.382_917, askedMs: 0, excluded: []},
  dataCentre: 'prince-george',
};

/** As it arrives at the leader. */
function sent(message: FollowerMessage): FollowerMessage {
  return follow.requestDeserialize(follow.requestSerialize(message));
}

/** As it arrives at a router. */
function told(message: LeaderMessage): LeaderMessage {
  return follow.responseDeserialize(follow.responseSerialize(message));
}

// Two thirds of the routers stand in other data centres than the leader, and
// bytes between them are paid for by whoever runs the deployment. What a
// request's place costs must stay small beside the request.
// Before: 325 bytes a place.
void tap.test('a place takes few bytes', async t => {
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

void tap.test('messages arrive as they were sent', async t => {
  const ask = {kind: 'ask', ask: 7, place: PLACE} as const;
  const {id, service, key, priority, leftMs, aimLeftMs} = PLACE;
  const arrived = sent(ask);
  const place = {id, service, key, priority};
  t.match(arrived, {kind: 'ask', ask: 7, place});
  if (arrived.kind !== 'ask') return;
  t.ok(Math.abs(arrived.place.leftMs - leftMs) <= 1);
  t.ok(Math.abs(arrived.place.aimLeftMs - aimLeftMs) <= 1);
  const again = {...PLACE, key: null, excluded: ['i-1', 'i-2']};
  t.match(sent({kind: 'ask', ask: 8, place: again}), {
    place: {key: null, excluded: ['i-1', 'i-2']},
  });
  for (const how of [
    ...(['answered', 'failed', 'refused'] as const),
    ...(['lost', 'unreached', 'cancelled'] as const),
  ]) {
    const end = {kind: 'end', ask: 9, how, tookMs: 3} as const;
    t.same(sent(end), end);
  }
  for (const reply of [
    {kind: 'granted', server: 'i-1'},
    {kind: 'refused', retryAfterMs: 200, isUnheld: true},
    {kind: 'unavailable'},
  ] as const) {
    const message = {kind: 'reply', ask: 10, reply} as const;
    t.same(told(message), message);
  }
  const replaced = {kind: 'replaced', server: 'i-1'} as const;
  t.same(sent(replaced), replaced);
  t.same(told({kind: 'lead'}), {kind: 'lead'});
});

// Five times a second each router is shown that the leader is there. With 195
// routers a heartbeat that repeats what they know was a good part of all bytes
// between the data centres. Before: 445 bytes.
void tap.test('a heartbeat without news is brief', async t => {
  const clock = createManualClock();
  const list = createServerList(clock, () => undefined, 2_000);
  list.applyRead({kind: 'read', isWhole: true, changes: [], cursor: 12_345});
  const leadership = {
    tables: () => new Map(),
    version: () => 'v1',
  } as unknown as Leadership;
  const teller = createStateBroadcaster({
    suspects: {rows: () => []},
    limits: {rows: () => []},
    ...{clock, list, leadership, room: {processors: 1, linkMbps: 100}},
    configCursor: () => 12,
    config: () => ({}) as WireConfig,
    configAgeMs: () => 17.4,
    contactAgeMs: () => 120.6,
  });
  const written: Buffer[] = [];
  const listeners = ['kitimat', 'houston', 'terrace', 'smithers'].map(
    (dataCentre, at) => {
      const listener = createSubscriber({
        write: ({bytes}) => written.push(bytes),
      });
      listener.candidate = candidate(at, dataCentre);
      return listener;
    },
  );
  teller.send(listeners, listeners);
  const first = read(written.at(-1)!);
  t.equal(first.deputies?.length, 3, 'the first tells who leads next');
  teller.onHeartbeat(listeners);
  teller.send(listeners, listeners);
  t.equal(read(written.at(-1)!).deputies, null, 'nothing new of them');
  t.ok(written.at(-1)!.length <= 190, `${written.at(-1)!.length} bytes`);
  listeners.shift();
  teller.send(listeners, listeners);
  t.equal(read(written.at(-1)!).deputies?.length, 3, 'others lead next now');
});

function candidate(at: number, dataCentre: string): Candidate {
  const address = `10.1.${at}.18:7200`;
  return {address, dataCentre, room: {processors: 1.35, linkMbps: 140}};
}

function read(bytes: Buffer): StateMessage {
  return follow.responseDeserialize(bytes) as StateMessage;
}

// Busy keys move between 200 servers, and each of 195 routers is told of all
// that changed, for the time in which it might hear no leader. That must not
// cost more than the requests do. Before: 10 times in 10 s.
void tap.test('many routers are told of tables less often', async t => {
  const clock = createManualClock();
  const list = createServerList(clock, () => undefined, 2_000);
  let version = 0;
  const tables = (): Map<string, readonly ServedRange[]> =>
    new Map([['rounds', [{from: 0, to: MAX_KEY, server: `s${version}`}]]]);
  const leadership = {
    tables,
    version: () => `v${version}`,
  } as unknown as Leadership;
  const teller = createStateBroadcaster({
    suspects: {rows: () => []},
    limits: {rows: () => []},
    ...{clock, list, leadership, room: {processors: 1, linkMbps: 100}},
    ...{configCursor: () => null, config: () => null},
    ...{configAgeMs: () => 0, contactAgeMs: () => 0},
  });
  let told = 0;
  let last = '';
  const listeners = Array.from({length: 194}, (_, at) => {
    const write = ({bytes}: {bytes: Buffer}): void => {
      const rows = read(bytes).tables?.['rounds'];
      if (at > 0 || rows === undefined) return;
      told++;
      last = rows[0]![2]!;
    };
    const listener = createSubscriber({write});
    listener.candidate = candidate(at, 'houston');
    return listener;
  });
  for (let passed = 0; passed < 10_000; passed += HEARTBEAT_MS) {
    version++;
    teller.onHeartbeat(listeners);
    teller.send(listeners, listeners);
    await clock.advance(HEARTBEAT_MS);
  }
  t.ok(told <= 4, `${told} times`);
  await clock.advance(3_000);
  teller.send(listeners, listeners);
  t.equal(last, `s${version}`, 'and of the last change');
});
