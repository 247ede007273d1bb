import tap from 'tap';
import type {Backend} from '@banyandrum/dispatch/backend.js';
import {
  createColdCheck,
  type ColdCheck,
} from '@banyandrum/gateway/cold-check.js';
import type {ServiceConfig} from '@banyandrum/routing/config.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

interface Rig {
  readonly clock: ManualClock;
  readonly check: ColdCheck;
  /** Servers that were asked. */
  readonly asked: string[];
  /** Servers that count as cold, with their times in ms. */
  readonly cold: (readonly [string, number])[];
  /** Servers that count as warm, with the times as of which they do, in ms. */
  readonly warm: (readonly [string, number])[];
  /** Time as of which the servers are known, in ms; it is 10,000 at the start. */
  knownAt: number;
  senders: number;
  /** Header fields of each answer. */
  fields: ReadonlyMap<string, string> | null;
}

const SERVICE: ServiceConfig = {
  ...{name: 'desks', maxConnections: 10, isKeyed: false},
  ...{coldMs: 3_000, coldPerSecond: 1.6, healthPath: '/health'},
};

function startRig(service: ServiceConfig = SERVICE): Rig {
  const clock = createManualClock(10_000);
  const rig = {
    ...{clock, asked: [] as string[], cold: [] as [string, number][]},
    warm: [] as [string, number][],
    ...{knownAt: 9_100, senders: 1},
    fields: new Map([['cold-ms', '2100']]) as Rig['fields'],
  };
  const check = createColdCheck({
    ...{clock, names: {coldMs: 'cold-ms'}, serviceConfig: () => service},
    listReadMs: () => 400,
    async askHealth({info}) {
      rig.asked.push(info.id);
      return rig.fields;
    },
    knownAt: () => rig.knownAt,
    senders: () => rig.senders,
    noteCold: (server, coldMs) => rig.cold.push([server, coldMs]),
    noteWarm: (server, asOf) => rig.warm.push([server, asOf]),
  });
  return Object.assign(rig, {check});
}

function serverOf(id: string, coldUntil = 0): Backend {
  const info = {id, service: 'desks'};
  return {info, serviceMs: 100, coldUntil} as unknown as Backend;
}

// Guards against a server that turns cold while the store is down, and crashes.
void tap.test('a server that answers late is asked', async t => {
  const {check, asked, cold, clock} = startRig();
  check.noteAnswer(serverOf('s1'), 140);
  t.same(asked, [], 'as usual');
  check.noteAnswer(serverOf('s1'), 190);
  check.noteAnswer(serverOf('s1'), 190);
  await clock.advance(1);
  t.same(asked, ['s1'], 'once');
  t.same(cold, [['s1', 2_100]]);
  await clock.advance(390);
  check.noteAnswer(serverOf('s1'), 190);
  t.same(asked, ['s1'], 'not before the list should have been read');
  await clock.advance(10);
  check.noteAnswer(serverOf('s1'), 190);
  t.same(asked, ['s1', 's1'], 'and again later');
});

void tap.test('it is not asked for what is known or of no use', async t => {
  const rig = startRig();
  rig.knownAt = 9_300;
  rig.check.noteAnswer(serverOf('s1'), 190);
  t.same(rig.asked, [], 'its entry tells');
  rig.knownAt = 9_100;
  rig.check.noteAnswer(serverOf('s1', 11_000), 190);
  t.same(rig.asked, [], 'it is cold');
  for (const service of [
    {...SERVICE, coldPerSecond: null},
    {...SERVICE, healthPath: undefined} as unknown as ServiceConfig,
  ]) {
    const other = startRig(service);
    other.check.noteAnswer(serverOf('s1'), 190);
    t.same(other.asked, []);
  }
});

// Guards against load by checks while all servers are slow.
void tap.test('few servers are asked at a time', async t => {
  const {check, asked} = startRig();
  for (let at = 0; at < 30; at++) check.noteAnswer(serverOf(`s${at}`), 190);
  t.equal(asked.length, 8);
});

for (const text of [null, '', '0', '-5', 'soon', '1e9', '999999999']) {
  void tap.test(`an answer that shows no cold time: ${text}`, async t => {
    const rig = startRig();
    rig.fields = text === null ? null : new Map([['cold-ms', text]]);
    rig.check.noteAnswer(serverOf('s1'), 190);
    await rig.clock.advance(1);
    t.same([rig.asked, rig.cold], [['s1'], []]);
  });
}

function sendRequests(check: ColdCheck, backend: Backend, count: number): void {
  for (let at = 0; at < count; at++) check.noteRequest(backend);
}

// Guards against a server that turns cold while a read of the list gets no answer:
// on a busy machine the times of its answers tell nothing.
void tap.test('a server is asked after a few requests', async t => {
  const {check, asked, cold, clock} = startRig();
  sendRequests(check, serverOf('s1'), 5);
  t.same(asked, []);
  check.noteRequest(serverOf('s1'));
  t.same(asked, ['s1']);
  await clock.advance(1);
  t.same(cold, [['s1', 2_100]]);
  t.equal(check.asked(), 1);
  sendRequests(check, serverOf('s1'), 20);
  t.same(asked, ['s1'], 'once in 50 ms');
  await clock.advance(49);
  check.noteRequest(serverOf('s1'));
  t.same(asked, ['s1', 's1']);
});

// Guards against questions beside the reads of a list that is on time.
void tap.test('no server is asked while the list is on time', async t => {
  const rig = startRig();
  rig.knownAt = 9_500;
  sendRequests(rig.check, serverOf('s1'), 8);
  t.same(rig.asked, []);
  await rig.clock.advance(1);
  rig.check.noteRequest(serverOf('s1'));
  t.same(rig.asked, ['s1'], 'the requests since the last read count');
});

void tap.test('requests before the last read do not count', async t => {
  const rig = startRig();
  sendRequests(rig.check, serverOf('s1'), 5);
  await rig.clock.advance(600);
  rig.knownAt = 10_050;
  sendRequests(rig.check, serverOf('s1'), 5);
  t.same(rig.asked, []);
  rig.check.noteRequest(serverOf('s1'));
  t.same(rig.asked, ['s1']);
});

// Guards against a server that turns cold between a read of the list and its answer,
// which is late, and gets as many requests again.
void tap.test('requests between a read and its answer count', async t => {
  const rig = startRig();
  sendRequests(rig.check, serverOf('s1'), 3);
  await rig.clock.advance(600);
  rig.knownAt = 9_990;
  sendRequests(rig.check, serverOf('s1'), 2);
  t.same(rig.asked, []);
  rig.check.noteRequest(serverOf('s1'));
  t.same(rig.asked, ['s1']);
});

// Guards against routers without a leader that each send as many requests as one
// router may.
for (const [senders, count] of [
  [3, 2],
  [6, 1],
  [77, 1],
  [Infinity, 1],
] as const) {
  void tap.test(`${senders} routers without a leader`, async t => {
    const rig = startRig();
    rig.senders = senders;
    sendRequests(rig.check, serverOf('s1'), count - 1);
    t.same(rig.asked, []);
    rig.check.noteRequest(serverOf('s1'));
    t.same(rig.asked, ['s1']);
  });
}

// Guards against a limit that outlasts the cold time while the store is down.
void tap.test('a server that may still be cold is asked at once', async t => {
  const rig = startRig();
  rig.fields = new Map([['cold-ms', '0']]);
  rig.check.noteRequest(serverOf('s1', 9_500));
  await rig.clock.advance(1);
  t.same([rig.asked, rig.cold], [['s1'], []]);
  t.same(rig.warm, [['s1', 10_000]], 'as of the question');
  rig.check.noteRequest(serverOf('s2', 12_000));
  t.same(
    rig.asked,
    ['s1', 's2'],
    'one that is cold, as it may become so again',
  );
});

// Guards against servers that never say whether they are cold, and count as warm.
void tap.test('an answer without the header is no news', async t => {
  const rig = startRig();
  rig.fields = new Map();
  rig.check.noteRequest(serverOf('s1', 9_500));
  await rig.clock.advance(1);
  t.same(rig.warm, []);
  rig.fields = new Map([['cold-ms', '300']]);
  rig.check.noteRequest(serverOf('s2', 9_500));
  await rig.clock.advance(1);
  rig.fields = new Map();
  await rig.clock.advance(50);
  rig.check.noteRequest(serverOf('s1', 9_500));
  await rig.clock.advance(1);
  t.same(rig.warm, [['s1', 10_052]], 'one of its kind has sent it');
});

// Guards against the requests that waited for slots of a leader that is lost, and
// are all sent to a server that turned cold before any of its answers came.
void tap.test('a server that is asked gets no more meanwhile', async t => {
  const rig = startRig();
  rig.knownAt = 9_990;
  sendRequests(rig.check, serverOf('s1'), 8);
  t.notOk(rig.check.isAwaited('s1'));
  rig.check.noteRequest(serverOf('s1'));
  t.same(rig.asked, ['s1'], 'also while the list is on time');
  t.ok(rig.check.isAwaited('s1'));
  t.notOk(rig.check.isAwaited('s2'));
  await rig.clock.advance(1);
  t.notOk(rig.check.isAwaited('s1'));
});

// Guards against servers without a health endpoint that get few requests while the
// store is down.
void tap.test('a server that gave no answer is not waited for', async t => {
  const rig = startRig();
  rig.fields = null;
  sendRequests(rig.check, serverOf('s1'), 6);
  t.ok(rig.check.isAwaited('s1'));
  await rig.clock.advance(50);
  sendRequests(rig.check, serverOf('s1'), 6);
  t.same(rig.asked, ['s1', 's1']);
  t.notOk(rig.check.isAwaited('s1'));
});

// Guards against requests that are forgotten as another server is asked, during an
// outage of the store that is longer than a server's state is kept.
void tap.test('requests count after a long outage', async t => {
  const rig = startRig();
  rig.knownAt = -60_000;
  sendRequests(rig.check, serverOf('s1'), 5);
  sendRequests(rig.check, serverOf('s2'), 6);
  t.ok(rig.check.isAwaited('s2'));
  rig.check.noteRequest(serverOf('s1'));
  t.same(rig.asked, ['s2', 's1']);
});

// Guards against a question for each burst of a cold server's limit.
void tap.test(
  'a cold server is not asked while the list is on time',
  async t => {
    const rig = startRig();
    rig.knownAt = 9_990;
    sendRequests(rig.check, serverOf('s1', 12_000), 5);
    t.same(rig.asked, []);
  },
);
