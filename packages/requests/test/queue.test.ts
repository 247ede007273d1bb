import tap from 'tap';
import {failure} from '@banyandrum/base/failure.js';
import {shardOfKey} from '@banyandrum/base/hash.js';
import {queueBench} from './bench.js';
import {
  owned,
  RULES,
  server,
  settle,
  SHARDS,
  told,
  type Outcome,
} from './fakes.js';

const CELL = 'holds/0';

void tap.test('never more in flight than slots', async t => {
  const {client, ask} = queueBench({slots: 2});
  const all = Array.from({length: 5}, () => ask());
  await settle();
  t.equal(client.sent.length, 2);
  for (let i = 0; i < 5; i++) await client.sent[i]?.answer();
  t.same(all.map(told), ['ok', 'ok', 'ok', 'ok', 'ok']);
  t.equal(client.peak.get('s1'), 2);
});

void tap.test('a cancelled request leaves the queue', async t => {
  const {client, ask} = queueBench({slots: 1});
  const caller = new AbortController();
  ask();
  const second = ask({signal: caller.signal, id: 'second'});
  ask({id: 'third'});
  caller.abort();
  await settle();
  t.equal(told(second), 'not-run cancelled');
  await client.sent[0]?.answer();
  t.equal(client.sent[1]?.dispatch.req.id, 'third');
});

void tap.test('a streamed answer keeps its slot until it ends', async t => {
  const {client, ask} = queueBench({slots: 1});
  const first = ask();
  ask();
  await settle();
  async function* body(): AsyncGenerator<Uint8Array> {
    yield new Uint8Array(1);
    yield new Uint8Array(2);
  }
  await client.sent[0]?.answer({status: 200, headers: [], body: body()});
  t.equal(client.sent.length, 1);
  const answer = first.outcome?.unwrap();
  for await (const piece of answer?.body as AsyncIterable<Uint8Array>) {
    t.ok(piece.length > 0);
  }
  await settle();
  t.equal(client.sent.length, 2);
});

void tap.test('new requests wait during a planned move', async t => {
  // The gate closes while a request is in flight, and close() resolves with its
  // answer. Requests that arrive meanwhile are sent to the new server.
  const {client, led, queues, ask} = queueBench();
  const shard = shardOfKey('k', SHARDS);
  ask();
  await settle();
  let closed = false;
  void queues.close(CELL, shard).then(() => (closed = true));
  const late = ask();
  await settle();
  t.equal(closed, false);
  t.equal(client.sent.length, 1);
  await client.sent[0]?.answer();
  t.equal(closed, true);
  led.where.set(shard, owned(server('s2'), shard));
  queues.open(CELL, shard);
  await settle();
  t.equal(client.sent[1]?.server, 's2');
  await client.sent[1]?.answer();
  t.equal(told(late), 'ok');
});

void tap.test('a leader that may not act sends nothing', async t => {
  // The process was suspended and its authority expired. A successor may have
  // moved the shard, so nothing may be written until the leader may act again.
  const {clock, client, led, queues, ask} = queueBench();
  led.acting = false;
  const held = ask();
  await clock.advance(50);
  t.equal(client.sent.length, 0);
  led.acting = true;
  await clock.advance(20);
  t.equal(client.sent.length, 1);
  await client.sent[0]?.answer();
  t.equal(told(held), 'ok');
  led.acting = false;
  const lost = ask();
  await queues.stop(CELL);
  await settle();
  t.equal(told(lost), 'not-run moved');
  t.equal(queues.queueOf(CELL), null);
});

void tap.test('a request that waits too long is refused, not sent', async t => {
  const {clock, client, ask} = queueBench({slots: 1});
  ask({deadline: 5000});
  const late = ask({deadline: 100});
  await clock.advance(110);
  t.equal(told(late), 'not-run deadline');
  await client.sent[0]?.answer();
  t.equal(client.sent.length, 1);
});

void tap.test('a request in flight is not called `not-run`', async t => {
  // The caller cancels after the request was sent, so the client's verdict counts.
  const {client, ask} = queueBench({slots: 1});
  const caller = new AbortController();
  ask();
  const second = ask({signal: caller.signal});
  await settle();
  await client.sent[0]?.answer();
  t.equal(client.sent.length, 2);
  caller.abort();
  await settle();
  t.equal(told(second), 'waiting');
  await client.sent[1]?.fail(failure('may-have-run', 'cancelled', ''));
  t.equal(told(second), 'may-have-run cancelled');
});

void tap.test('requests for a moving shard follow it', async t => {
  // The old server was lost; the location is `moving` twice until it settles.
  const {clock, client, led, ask} = queueBench();
  const shard = shardOfKey('k', SHARDS);
  let settleShard = (): void => {};
  const settled = new Promise<void>(resolve => (settleShard = resolve));
  led.where.set(shard, {kind: 'moving', shard, settled});
  const seen = ask({deadline: 5000});
  await clock.advance(100);
  settleShard();
  await clock.advance(100);
  t.equal(told(seen), 'waiting');
  led.where.set(shard, owned(server('s2'), shard));
  await clock.advance(20);
  t.equal(client.sent[0]?.server, 's2');
  await client.sent[0]?.answer();
  t.equal(told(seen), 'ok');
  led.where.set(shard, {kind: 'unowned', shard, reason: 'no server'});
  t.equal(await refusal(ask()), 'not-run no-owner');
});

void tap.test('the queue is bounded, in requests and in bytes', async t => {
  const cases = [
    {limits: {maxQueued: 2}, bytes: 1},
    {limits: {maxQueuedBytes: 250}, bytes: 100},
  ];
  for (const {limits, bytes} of cases) {
    const rules = {...RULES, limits: {...RULES.limits, ...limits}};
    const {ask, queue} = queueBench({slots: 1, rules});
    const body = new Uint8Array(bytes);
    const reports = Array.from({length: 4}, (_, i) =>
      ask({body, precedence: 2, caller: `c${i}`, key: `k${i}`}),
    );
    t.equal(await refusal(reports[3]), 'not-run overloaded');
    const hold = ask({body, precedence: 0, key: 'k9'});
    t.equal(await refusal(reports[2]), 'not-run overloaded');
    t.equal(told(hold), 'waiting');
    t.equal(queue.snapshot('k9').queuedForKey, 1);
    t.equal(queue.snapshot().servers[0]?.queued, 2);
  }
});

void tap.test('the load is measured by the leader', async t => {
  const {clock, client, queues, ask} = queueBench({slots: 1});
  for (let i = 0; i < 20; i++) {
    ask({deadline: clock.now() + 1000});
    await clock.advance(30);
    await client.sent[i]?.answer();
    await clock.advance(70);
  }
  const {shards, servers} = queues.read(CELL);
  const [shard] = shards;
  t.ok(Math.abs((shard?.rate ?? 0) - 10) < 1, `${shard?.rate} a second`);
  t.ok(Math.abs((shard?.busy ?? 0) - 0.3) < 0.05, `${shard?.busy} busy`);
  t.equal(Math.round(servers[0]?.serviceMs ?? 0), 30);
  await clock.advance(300_000);
  t.same(queues.read(CELL), {shards: [], servers: [], hotKeys: []});
});

async function refusal(
  seen: {readonly outcome: Outcome | null} | undefined,
): Promise<string> {
  await settle();
  return seen === undefined ? 'none' : told(seen);
}
