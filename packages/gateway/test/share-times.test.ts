import tap from 'tap';
import {
  createSubscriber,
  createStateBroadcaster,
  type Subscriber,
} from '@banyandrum/gateway/link-broadcaster.js';
import type {Leadership} from '@banyandrum/gateway/leadership.js';
import {
  HEARTBEAT_MS,
  LINK_SERVICE,
  type StateMessage,
} from '@banyandrum/gateway/link-messages.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import {createTimeModel} from '@banyandrum/service-times/time-model.js';
import type {TimeModel} from '@banyandrum/service-times/time-model.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

const FOLLOWERS = 20;
const DEPUTIES = 3;

interface Follower extends Subscriber {
  readonly stream: Subscriber['stream'] & {writableLength: number};
  /** States that had rows of times. */
  readonly received: StateMessage[];
}

interface Harness {
  readonly clock: ManualClock;
  readonly model: TimeModel;
  readonly followers: readonly Follower[];
  /** Sends heartbeats for the time, in ms. */
  run(ms: number): Promise<void>;
  record(server: string, tookMs: number): void;
}

function createFollower(at: number): Follower {
  const received: StateMessage[] = [];
  const {responseDeserialize} = LINK_SERVICE.follow;
  const stream = {
    writableLength: 0,
    write({bytes}: {bytes: Buffer}) {
      const message = responseDeserialize(bytes) as StateMessage;
      if (message.times !== undefined) received.push(message);
    },
  };
  const subscriber = createSubscriber(stream);
  const candidate = {
    ...{address: `10.1.0.${at}:7200`, dataCentre: `dc${at % 3}`},
    room: {processors: 1 + at, linkMbps: 100},
  };
  return {...subscriber, candidate, stream, received};
}

function setUp(isOn = true): Harness {
  const clock = createManualClock(1_000);
  const model = createTimeModel({clock});
  const broadcaster = createStateBroadcaster({
    ...{clock, list: createServerList(clock, () => undefined, 2_000)},
    ...{suspects: {rows: () => []}, limits: {rows: () => []}},
    leadership: {
      tables: () => new Map(),
      version: () => 'v1',
    } as unknown as Leadership,
    room: {processors: 1, linkMbps: 100},
    ...{configPosition: () => null, config: () => null},
    ...{configAgeMs: () => 0, contactAgeMs: () => 0},
    ...(isOn && {times: model}),
  });
  const followers = Array.from({length: FOLLOWERS}, (_, at) =>
    createFollower(at),
  );
  return {
    ...{clock, model, followers},
    async run(ms) {
      for (let at = 0; at < ms; at += HEARTBEAT_MS) {
        broadcaster.onHeartbeat(followers);
        broadcaster.send(followers, followers);
        await clock.advance(HEARTBEAT_MS);
      }
    },
    record: (server, tookMs) =>
      model.record({service: 'a', kind: 7, server, tookMs, slowdown: null}),
  };
}

// Guards against a leader that sends the rows of all servers to all followers,
// and against a deputy that is seconds behind.
void tap.test('deputies get changed rows', async t => {
  const {followers, model, record, run, clock} = setUp();
  for (let each = 0; each < 400; each++) record(`s${each % 4}`, 100);
  await run(1_200);
  const deputies = followers.filter(({received}) => received.length > 0);
  t.equal(deputies.length, DEPUTIES);
  const [deputy] = deputies;
  const successor = createTimeModel({clock});
  const merge = (): void =>
    deputy!.received.forEach(({times}) => successor.merge(times!));
  merge();
  const usualMs = model.usualMs('a', 7, 's1')!;
  t.ok(Math.abs(successor.usualMs('a', 7, 's1')! / usualMs - 1) < 0.05);
  // Without changes nothing is sent.
  const count = deputy!.received.length;
  await run(3_000);
  t.equal(deputy!.received.length, count);
  // Only the server that became slower, and the means that it changed.
  for (let each = 0; each < 60; each++) record('s1', 300);
  await run(HEARTBEAT_MS);
  t.equal(deputy!.received.length, count + 1);
  const changed = deputy!.received.at(-1)!.times!.filter(([of]) => of === 'v');
  t.same(
    changed.map(([, server]) => server),
    ['s1'],
  );
  merge();
  const ratio = successor.usualMs('a', 7, 's1')! / usualMs;
  t.ok(ratio > 2, `${ratio}`);
});

// Guards against more bytes than a slow link carries: rows that wait in a buffer
// would delay the slots of requests, and be old when they arrive.
void tap.test('at most once a second, and never queued', async t => {
  const {followers, record, run} = setUp();
  record('s1', 100);
  await run(HEARTBEAT_MS * 2);
  const deputies = followers.filter(({received}) => received.length > 0);
  const [busy, idle] = deputies;
  busy!.stream.writableLength = 1;
  for (let second = 0; second < 10; second++) {
    for (let each = 0; each < 5; each++) {
      for (let more = 0; more < 30; more++)
        record(`s${second}`, 50 + second * 60);
      await run(HEARTBEAT_MS);
    }
  }
  t.equal(busy!.received.length, 1);
  t.ok(idle!.received.length >= 9 && idle!.received.length <= 11);
  busy!.stream.writableLength = 0;
  await run(HEARTBEAT_MS);
  t.equal(busy!.received.length, 2);
  const servers = busy!.received[1]!.times!.filter(([of]) => of === 'v');
  t.equal(servers.length, 10);
});

// Guards against bytes that a deployment pays for without using them.
void tap.test('without request times no rows are sent', async t => {
  const {followers, record, run} = setUp(false);
  record('s1', 100);
  await run(3_000);
  t.ok(followers.every(({received}) => received.length === 0));
});
