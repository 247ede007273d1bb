import tap from 'tap';
import {shardOfKey} from '@banyandrum/base/hash.js';
import {queueBench} from './bench.js';
import {owned, server, settle, SHARDS, told} from './fakes.js';

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

void tap.test('a cancelled request gives up its place', async t => {
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

void tap.test('a planned move keeps newcomers waiting', async t => {
  // The caller sees one answer, a little later than usual. The gate closes
  // while a request is in flight; close() ends only with its answer. What
  // comes meanwhile waits at the shard and is sent to the new server.
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
  // The caller sees its answer once the leader may act again, or `not-run`.
  // The process was paused and its authority lapsed; it must not write,
  // since a successor may already have given the shard away.
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

void tap.test('what waits too long is refused, never sent', async t => {
  const {clock, client, ask} = queueBench({slots: 1});
  ask({deadline: 5000});
  const late = ask({deadline: 100});
  await clock.advance(110);
  t.equal(told(late), 'not-run deadline');
  await client.sent[0]?.answer();
  t.equal(client.sent.length, 1);
});
