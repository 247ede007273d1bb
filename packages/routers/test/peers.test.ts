import type {ServiceRequest} from '@banyandrum/base/request.js';
import {Ok} from '@banyandrum/base/result.js';
import tap from 'tap';
import {createName, createPair, createRequest, echo, readBody} from './kit.js';

void tap.test('a request arrives as it was sent, but for its time', async t => {
  const seen: ServiceRequest[] = [];
  const pair = await createPair({
    handleRequest: req => {
      seen.push(req);
      return echo(req);
    },
  });
  t.teardown(pair.close);
  const req = createRequest(pair.clock, {once: true, precedence: 2});

  const answer = (await pair.peers.send(pair.to, req)).unwrap();

  t.equal(answer.status, 200);
  t.equal((await readBody(answer.body)).toString(), 'hello');
  const {signal, deadline, body, ...fields} = req;
  t.match(seen[0], fields);
  t.equal(seen.length, 1);
  t.ok(Math.abs((seen[0]?.deadline ?? 0) - deadline) < 30_000);
  t.notOk(signal.aborted || seen[0]?.signal.aborted);
  t.same(seen[0]?.body, body);
});

void tap.test('bodies of all sizes come back whole', async t => {
  const pair = await createPair();
  t.teardown(pair.close);
  const sizes = [0, 1, 16 * 1024, 16 * 1024 + 1, 256 * 1024, 1024 * 1024 + 7];
  for (const size of sizes) {
    const sent = Buffer.alloc(size, `${size};`);
    for (const body of [sent, stream(sent)]) {
      const req = createRequest(pair.clock, {body});
      const answer = (await pair.peers.send(pair.to, req)).unwrap();
      t.ok((await readBody(answer.body)).equals(sent), `${size} bytes`);
    }
  }
});

void tap.test('many at once: each gets its own answer', async t => {
  const held: (() => void)[] = [];
  const pair = await createPair({
    // Answers in the reverse order, so that order alone matches nothing.
    handleRequest: req =>
      new Promise(resolve => {
        held.push(() =>
          resolve(Ok({status: 200, headers: [], body: Buffer.from(req.key)})),
        );
        if (held.length === 100) held.reverse().forEach(answer => answer());
      }),
  });
  t.teardown(pair.close);
  const keys = Array.from({length: 100}, (_, at) => `key-${at}`);

  const bodies = await Promise.all(
    keys.map(async key => {
      const req = createRequest(pair.clock, {id: key, key});
      const answer = (await pair.peers.send(pair.to, req)).unwrap();
      return (await readBody(answer.body)).toString();
    }),
  );

  t.same(bodies, keys);
});

void tap.test('control questions and probes', async t => {
  const pair = await createPair();
  t.teardown(pair.close);
  const {peers, to} = pair;
  const sum = await peers.ask(to, 'add', {a: 2, b: 3}, 60_000);
  t.same(sum.unwrap(), {sum: 5});
  t.same((await peers.probe(to.address, 60_000)).unwrap(), to);
  const other = {...createName('answerer', to.address), boot: 'older'};
  const gone = await peers.ask(other, 'add', {a: 2, b: 3}, 60_000);
  t.match(gone.val, {kind: 'other-incarnation', found: to});
  const failed = await peers.send(other, createRequest(pair.clock));
  t.match(failed.val, {verdict: 'not-run', code: 'connection-lost'});
});

async function* stream(bytes: Buffer): AsyncGenerator<Uint8Array> {
  for (let at = 0; at < bytes.length; at += 50_000) {
    await Promise.resolve();
    yield bytes.subarray(at, at + 50_000);
  }
}
