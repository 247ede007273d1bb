import tap from 'tap';
import {failure, type Failure} from '@banyandrum/base/failure.js';
import {queueBench} from './bench.js';
import {settle, told, type FakeCell} from './fakes.js';

interface FaultCase {
  readonly name: string;
  /** Outcomes at the server in order; later requests succeed. */
  readonly faults: readonly Failure[];
  readonly once?: boolean;
  /** Whether the body is streamed and partly read before a refusal. */
  readonly partlyRead?: boolean;
  readonly sent: number;
  readonly told: string;
}

const SHED = failure('not-run', 'overloaded', '', 30);
const FENCED = failure('not-run', 'fenced', '');
const UNREACHED = failure('not-run', 'connection-lost', '');

const FAULT_CASES: readonly FaultCase[] = [
  {
    name: 'the server sheds load, twice',
    faults: [SHED, SHED],
    once: true,
    sent: 3,
    told: 'ok',
  },
  {
    name: 'the server has just restarted and owns nothing yet',
    faults: [FENCED, FENCED],
    once: true,
    sent: 3,
    told: 'ok',
  },
  {
    name: 'another fence is in force',
    faults: [FENCED, FENCED, FENCED, FENCED, FENCED, FENCED],
    sent: 5,
    told: 'not-run fenced',
  },
  {
    name: 'the server cannot be reached for a moment',
    faults: [UNREACHED, UNREACHED, UNREACHED],
    once: true,
    sent: 4,
    told: 'ok',
  },
  {
    name: 'the connection breaks after the write',
    faults: [failure('may-have-run', 'connection-lost', '')],
    sent: 1,
    told: 'may-have-run connection-lost',
  },
  {
    name: 'the answer is cut short',
    faults: [failure('ran', 'truncated', '')],
    sent: 1,
    told: 'ran truncated',
  },
  {
    name: 'the deadline had passed on arrival',
    faults: [failure('not-run', 'deadline', '')],
    sent: 1,
    told: 'not-run deadline',
  },
  {
    name: 'a streamed body is gone when the server sheds',
    faults: [SHED],
    partlyRead: true,
    sent: 1,
    told: 'not-run overloaded',
  },
];

void tap.test('faults of a server, by verdict', async t => {
  for (const c of FAULT_CASES) {
    const b = queueBench({slots: 1});
    const body = c.partlyRead ? pieces() : new Uint8Array(3);
    const seen = b.ask({once: c.once ?? false, body});
    await settle();
    for (const [i, fault] of c.faults.entries()) {
      const sent = b.client.sent[i];
      if (sent === undefined) break;
      if (c.partlyRead) await readSome(sent.dispatch.req.body);
      await sent.fail(fault);
      await b.clock.advance(200);
    }
    await b.client.sent[c.faults.length]?.answer();
    t.equal(told(seen), c.told, c.name);
    t.equal(b.client.sent.length, c.sent, `${c.name}: times sent`);
  }
});

void tap.test('a refused request keeps its position', async t => {
  // The first request, refused for lack of capacity, is sent again before those
  // that arrived after it.
  const b = queueBench({slots: 1});
  b.ask({id: 'first'});
  b.ask({id: 'second'});
  await settle();
  await b.client.sent[0]?.fail(SHED);
  t.equal(b.client.sent.length, 1, 'the hint of 30 ms is kept');
  await b.clock.advance(40);
  t.equal(b.client.sent[1]?.dispatch.req.id, 'first');
});

void tap.test('a client that never settles loses no slot', async t => {
  // The caller gets a verdict in bounded time: it may have run, unless it was
  // never allowed to be written.
  const cases = [
    {write: true, throws: false, told: 'may-have-run deadline'},
    {write: false, throws: false, told: 'not-run deadline'},
    {write: true, throws: true, told: 'may-have-run internal'},
    {write: false, throws: true, told: 'not-run internal'},
  ];
  for (const c of cases) {
    const b = queueBench({
      slots: 1,
      send: (_, dispatch) => {
        if (c.write) dispatch.mayWrite();
        return c.throws
          ? Promise.reject(new Error('broken'))
          : new Promise(() => {});
      },
    });
    const seen = b.ask();
    await b.clock.advance(1300);
    t.equal(told(seen), c.told);
    t.equal(b.queue.snapshot().servers[0]?.inFlight, 0);
  }
});

void tap.test(
  'without fence checks, a request never outlives the lease',
  async t => {
    // The server may lose the shard when the lease ends and doesn't check fences,
    // so deadlines end with the lease. Without a lease nothing is sent.
    const b = queueBench({slots: 2});
    b.led.checksFences = false;
    b.led.leaseEnd = 700;
    b.ask({deadline: 5000});
    await settle();
    const dispatch = b.client.sent[0]?.dispatch;
    t.equal(dispatch?.req.deadline, 700);
    t.same(dispatch?.serverDeadline, {boot: 's1', ms: 700});
    t.same(dispatch?.serverStartBy, {boot: 's1', ms: 700});
    await b.clock.advance(701);
    t.equal(dispatch?.mayWrite(), false);
    b.ask({deadline: 5000});
    await b.clock.advance(50);
    t.equal(b.client.sent.length, 1);
    b.led.leaseEnd = 2600;
    await b.clock.advance(20);
    t.equal(b.client.sent.length, 2);
  },
);

interface LeaseCase {
  readonly name: string;
  /** Changes of the lease by time in ms; it initially ends at 1000. */
  readonly events: readonly (readonly [number, (cell: FakeCell) => void])[];
  readonly once?: boolean;
  /** Time of the server's answer, in ms; never if undefined. */
  readonly answerAt?: number;
  readonly toldAt: number;
  readonly told: string;
}

const RENEWED = [500, 1500, 2500, 3500, 4500].map(
  at => [at, (cell: FakeCell) => (cell.leaseEnd = at + 1500)] as const,
);

const LEASE_CASES: readonly LeaseCase[] = [
  {
    name: 'renewed throughout',
    events: RENEWED,
    answerAt: 5000,
    toldAt: 5000,
    told: 'ok',
  },
  {
    name: 'lost while the request runs',
    events: RENEWED.slice(0, 2),
    once: true,
    toldAt: 3260,
    told: 'may-have-run connection-lost',
  },
  {
    name: 'lost while the answer is in transit',
    events: RENEWED.slice(0, 2),
    answerAt: 3200,
    toldAt: 3200,
    told: 'ok',
  },
  {
    name: 'kept by the next leader',
    events: [
      [700, cell => (cell.acting = false)],
      [1200, cell => (cell.leaseEnd = Infinity)],
    ],
    answerAt: 5000,
    toldAt: 5000,
    told: 'ok',
  },
  {
    name: 'renewed, and no answer by the deadline',
    events: [[500, cell => (cell.leaseEnd = Infinity)]],
    toldAt: 60_260,
    told: 'may-have-run deadline',
  },
];

void tap.test('a request may outlive its lease if that is renewed', async t => {
  // A report takes longer than a lease. Its server checks fences, so it stops the
  // report only when it loses the lease. The caller learns that at once instead
  // of at its deadline minutes later, and the request isn't sent again.
  for (const c of LEASE_CASES) {
    const b = queueBench({slots: 1});
    b.client.heedsSignals = true;
    b.led.leaseEnd = 1000;
    const seen = b.ask({deadline: 60_000, once: c.once ?? false});
    await settle();
    t.same(b.client.sent[0]?.dispatch.serverDeadline.ms, 60_000, c.name);
    t.same(b.client.sent[0]?.dispatch.serverStartBy.ms, 1000, c.name);
    const answer = [c.answerAt ?? Infinity, () => b.client.sent[0]?.answer()];
    const events = [...c.events, answer] as [number, (c: FakeCell) => void][];
    for (const [at, change] of events.filter(([at]) => at < Infinity)) {
      await b.clock.advance(at - b.clock.now());
      change(b.led);
    }
    await settle();
    const beforeMs = c.toldAt - 20 - b.clock.now();
    if (beforeMs > 0) {
      await b.clock.advance(beforeMs);
      t.equal(told(seen), 'waiting', `${c.name}: not before`);
      await b.clock.advance(20);
    }
    await settle();
    t.equal(told(seen), c.told, c.name);
    t.equal(b.client.sent.length, 1, `${c.name}: sent once`);
  }
});

void tap.test(
  'a closed gate waits for requests that may still run',
  async t => {
    // The caller cancels, but its server may run the request until the deadline.
    // Without fence checks, the shard's next owner must wait for that.
    const b = queueBench({slots: 1});
    b.led.checksFences = false;
    const cancel = new AbortController();
    b.ask({deadline: 700, signal: cancel.signal});
    await settle();
    cancel.abort();
    await b.client.sent[0]?.fail(failure('may-have-run', 'cancelled', ''));
    const shard = b.led.locate('k').shard;
    const seen: string[] = [];
    void b.queues.close('holds/0', shard).then(() => seen.push('ended'));
    void b.queues
      .close('holds/0', shard, 'answered')
      .then(() => seen.push('answered'));
    await settle();
    t.same(seen, ['answered']);
    await b.clock.advance(690);
    t.same(seen, ['answered']);
    await b.clock.advance(20);
    t.same(seen, ['answered', 'ended']);
  },
);

void tap.test('a request denied just before the write waits again', async t => {
  // The process was suspended between its decision and the write. The client
  // checks again and is denied, and the request returns to its position.
  const b = queueBench({slots: 1});
  const seen = b.ask({once: true});
  await settle();
  b.led.acting = false;
  const [first] = b.client.sent;
  t.equal(first?.dispatch.mayWrite(), false);
  await first?.fail(failure('not-run', 'moved', ''));
  await b.clock.advance(30);
  t.equal(told(seen), 'waiting');
  b.led.acting = true;
  await b.clock.advance(30);
  await b.client.sent[1]?.answer();
  t.equal(told(seen), 'ok');
});

void tap.test('without authority the wait is bounded', async t => {
  // The request is returned to the caller's entry, which finds the next leader.
  const b = queueBench();
  b.led.acting = false;
  const seen = b.ask({deadline: 60_000});
  await b.clock.advance(1100);
  t.equal(told(seen), 'not-run moved');
});

async function* pieces(): AsyncGenerator<Uint8Array> {
  yield new Uint8Array(1);
  yield new Uint8Array(2);
}

async function readSome(
  body: Uint8Array | AsyncIterable<Uint8Array>,
): Promise<void> {
  if (body instanceof Uint8Array) return;
  await body[Symbol.asyncIterator]().next();
}
