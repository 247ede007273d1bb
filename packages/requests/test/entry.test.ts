import tap from 'tap';
import {failure, type Failure} from '@banyandrum/base/failure.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {ServiceRequest} from '@banyandrum/base/request.js';
import type {View} from '@banyandrum/config/state.js';
import {createEntry, type Entry} from '@banyandrum/requests/entry.js';
import type {LeaderQueue} from '@banyandrum/requests/queue.js';
import {createPeerHandler} from '@banyandrum/requests/peer-handler.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import {queueBench} from './bench.js';
import {
  ANSWER,
  RULES,
  request,
  router,
  settle,
  told,
  watch,
  type Outcome,
} from './fakes.js';

interface Bench {
  readonly clock: ReturnType<typeof createManualClock>;
  readonly entry: Entry;
  /** Hosts to which requests were sent. */
  readonly sent: string[];
  setView(leader: Incarnation | null): void;
  /** Makes this process lead if the view names it. */
  startLeading(): void;
}

type Send = (to: Incarnation, req: ServiceRequest) => Outcome;

function bench(send: Send, retryPercent = 10): Bench {
  const clock = createManualClock();
  const sent: string[] = [];
  const listeners = new Set<() => void>();
  let view: View | null = null;
  let local: LeaderQueue | null = null;
  let epoch = 1;
  const entry = createEntry({
    self: router('me'),
    topology: name => (name === 'holds' ? {shards: 16, cells: 1} : null),
    leaderOf: () => view,
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    localLeader: () => local,
    async send(to, req) {
      sent.push(to.host);
      return send(to, req);
    },
    rules: () => ({...RULES, limits: {...RULES.limits, retryPercent}}),
    clock,
    random: () => 0.5,
  });
  const setView = (leader: Incarnation | null): void => {
    const cell = 'holds/0';
    view = leader && {
      cell,
      epoch: epoch++,
      leader,
      standby: null,
      unsettled: [],
    };
    for (const listener of listeners) listener();
  };
  const startLeading = (): void => {
    const {queue, client} = queueBench();
    client.answersAtOnce = true;
    local = queue;
  };
  return {clock, entry, sent, setView, startLeading};
}

void tap.test('a request finds the next leader', async t => {
  // The leader is lost before the request was written, so it waits for the
  // successor's view and is answered there.
  const b = bench(to => (to.host === 'a' ? Err(notWritten()) : Ok(ANSWER)), 0);
  b.setView(router('a'));
  const seen = watch(b.entry.handle(request({deadline: 9000, once: true})));
  await b.clock.advance(2000);
  t.equal(told(seen), 'waiting');
  b.setView(router('b'));
  await settle();
  t.equal(told(seen), 'ok');
  t.same(b.sent, ['a', 'b']);
});

void tap.test('without a leader the wait is bounded', async t => {
  const b = bench(() => Ok(ANSWER));
  const seen = watch(b.entry.handle(request({deadline: 60_000})));
  const early = watch(b.entry.handle(request({deadline: 800})));
  await b.clock.advance(1000);
  t.equal(told(early), 'not-run no-leader');
  await b.clock.advance(4100);
  t.equal(told(seen), 'not-run no-leader');
  t.ok(seen.outcome?.err && seen.outcome.val.retryAfterMs);
});

void tap.test('a request waits until the new leader is ready', async t => {
  // The view already names this process, which may not act yet.
  const b = bench(() => Ok(ANSWER), 0);
  b.setView(router('me'));
  const seen = watch(b.entry.handle(request({deadline: 4000, once: true})));
  await b.clock.advance(1500);
  t.equal(told(seen), 'waiting');
  b.startLeading();
  await b.clock.advance(30);
  t.equal(told(seen), 'ok');
  t.same(b.sent, [], 'nothing went to another router');
});

void tap.test('a caller may cancel while there is no leader', async t => {
  const b = bench(() => Ok(ANSWER));
  const caller = new AbortController();
  const {signal} = caller;
  const seen = watch(b.entry.handle(request({deadline: 4000, signal})));
  await b.clock.advance(100);
  caller.abort();
  await settle();
  t.equal(told(seen), 'not-run cancelled');
});

void tap.test(
  'a leader that never answers does not block the caller',
  async t => {
    // The caller learns shortly after its deadline that the request may have run.
    const clock = createManualClock();
    const entry = createEntry({
      self: router('me'),
      topology: () => ({shards: 16, cells: 1}),
      leaderOf: cell => {
        const leader = router('a');
        return {cell, epoch: 1, leader, standby: null, unsettled: []};
      },
      subscribe: () => () => {},
      localLeader: () => null,
      send: () => new Promise(() => {}),
      rules: () => RULES,
      clock,
      random: () => 0.5,
    });
    const seen = watch(entry.handle(request({deadline: 1000})));
    await clock.advance(1300);
    t.equal(told(seen), 'may-have-run deadline');
  },
);

// Guards against an entry that waits until the deadline for a newer view while
// the new leader isn't ready yet and answers `moved`.
void tap.test('a new leader that is not ready is tried again', async t => {
  let isLeading = false;
  const {clock, entry, setView} = bench(() =>
    isLeading ? Ok(ANSWER) : Err(failure('not-run', 'moved', '')),
  );
  setView(router('b'));
  const req = request({once: true, deadline: 5000});
  const seen = watch(entry.handle(req));
  await clock.advance(1500);
  t.equal(told(seen), 'waiting');
  isLeading = true;
  await clock.advance(100);
  t.equal(told(seen), 'ok');
});

void tap.test(
  'a request from another router is not forwarded again',
  async t => {
    const {queue, client} = queueBench();
    client.answersAtOnce = true;
    const led: readonly (LeaderQueue | null)[] = [queue, null];
    const answers: string[] = [];
    for (const localLeader of led) {
      const handle = createPeerHandler({
        topology: name => (name === 'holds' ? {shards: 16, cells: 1} : null),
        localLeader: () => localLeader,
      });
      for (const service of ['holds', 'beds']) {
        const seen = watch(handle(request({service})));
        await settle();
        answers.push(told(seen));
      }
    }
    t.same(answers, [
      'ok',
      'not-run unknown-service',
      'not-run moved',
      'not-run unknown-service',
    ]);
  },
);

interface RetryCase {
  readonly name: string;
  readonly failed: Failure;
  readonly once?: boolean;
  readonly streamed?: 'untouched' | 'touched';
  readonly percent?: number;
  readonly attempts: number;
  readonly told: string;
}

const RETRY_CASES: readonly RetryCase[] = [
  {
    name: 'moved, once',
    failed: failure('not-run', 'moved', ''),
    once: true,
    attempts: 2,
    told: 'ok',
  },
  {
    name: 'moved, streamed and unread',
    failed: failure('not-run', 'moved', ''),
    streamed: 'untouched',
    attempts: 2,
    told: 'ok',
  },
  {
    name: 'moved, streamed and partly read',
    failed: failure('not-run', 'moved', ''),
    streamed: 'touched',
    attempts: 1,
    told: 'not-run moved',
  },
  {
    name: 'lost after the write, once',
    failed: failure('may-have-run', 'connection-lost', ''),
    once: true,
    attempts: 1,
    told: 'may-have-run connection-lost',
  },
  {
    name: 'lost after the write, idempotent',
    failed: failure('may-have-run', 'connection-lost', ''),
    attempts: 2,
    told: 'ok',
  },
  {
    name: 'lost after the write, no budget',
    failed: failure('may-have-run', 'truncated', ''),
    percent: 0,
    attempts: 1,
    told: 'may-have-run truncated',
  },
  {
    name: 'overloaded',
    failed: failure('not-run', 'overloaded', '', 300),
    attempts: 1,
    told: 'not-run overloaded',
  },
];

void tap.test('retries depend on the verdict', async t => {
  for (const c of RETRY_CASES) {
    let attempts = 0;
    const b = bench((_, req) => {
      if (c.streamed === 'touched') void firstPiece(req);
      return attempts++ === 0 ? Err(c.failed) : Ok(ANSWER);
    }, c.percent);
    b.setView(router('a'));
    const over = c.streamed ? {body: pieces()} : {};
    const once = c.once ?? false;
    const seen = watch(b.entry.handle(request({once, ...over})));
    await b.clock.advance(900);
    t.equal(told(seen), c.told, c.name);
    t.equal(attempts, c.attempts, c.name);
  }
});

void tap.test('a later not-run does not hide an earlier write', async t => {
  // The first attempt was written and its answer lost; the second was refused.
  const answers: Outcome[] = [
    Err(failure('may-have-run', 'connection-lost', '')),
    Err(failure('not-run', 'overloaded', '', 300)),
  ];
  const b = bench(() => answers.shift() ?? Ok(ANSWER));
  b.setView(router('a'));
  const seen = watch(b.entry.handle(request()));
  await b.clock.advance(500);
  t.equal(told(seen), 'may-have-run overloaded');
});

function notWritten(): Failure {
  return failure('not-run', 'connection-lost', 'connection refused');
}

async function* pieces(): AsyncGenerator<Uint8Array> {
  yield new Uint8Array(1);
}

async function firstPiece(req: ServiceRequest): Promise<void> {
  if (req.body instanceof Uint8Array) return;
  await req.body[Symbol.asyncIterator]().next();
}
