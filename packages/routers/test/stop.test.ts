import type {CancelSignal} from '@banyandrum/base/cancel.js';
import type {RequestHandler} from '@banyandrum/base/request.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import tap from 'tap';
import {createPair, createRequest, echo, outcome, type Pair} from './kit.js';

interface Scene {
  readonly pair: Pair;
  /** Resolves when a request with the key `held` has arrived. */
  readonly arrived: Promise<CancelSignal>;
  /** Lets it be answered. */
  readonly answer: () => void;
}

async function createScene(
  options: Parameters<typeof createPair>[0] = {},
): Promise<Scene> {
  let answer = (): void => {};
  let arrive: (signal: CancelSignal) => void = () => {};
  const held = new Promise<void>(resolve => (answer = resolve));
  const arrived = new Promise<CancelSignal>(resolve => (arrive = resolve));
  const handleRequest: RequestHandler = async req => {
    if (req.key !== 'held') return echo(req);
    arrive(req.signal);
    await held;
    return echo(req);
  };
  const pair = await createPair({...options, handleRequest});
  return {pair, arrived, answer};
}

// A planned stop: who is being served gets the answer, who comes later hears
// at once that the request was not run and when to come back; after the stop
// nothing listens any more.
void tap.test('a stop lets requests in flight finish', async t => {
  const {pair, arrived, answer} = await createScene();
  t.teardown(pair.close);
  const {peers, to, clock, server} = pair;
  const held = outcome(peers, clock, to, {key: 'held'});
  await arrived;
  const closed = server.close(60_000);
  const refused = await peers.send(to, createRequest(clock));
  t.match(refused.val, {verdict: 'not-run', code: 'stopping'});
  t.match(refused.val, {retryAfterMs: Number});
  t.ok((await peers.ask(to, 'add', {a: 1, b: 2}, 60_000)).ok);
  answer();
  t.equal(await held, 'hello');
  await closed;
  const after = await peers.send(to, createRequest(clock));
  t.match(after.val, {verdict: 'not-run', code: 'connection-lost'});
});

// The grace is over before the answer: the handler is told to give up, and
// the caller hears that the request may have run.
void tap.test('a stop cuts what outlasts the grace', async t => {
  const clock = createManualClock();
  const {pair, arrived} = await createScene({clock});
  t.teardown(pair.close);
  const {peers, to, server} = pair;
  const held = outcome(peers, clock, to, {key: 'held'});
  const signal = await arrived;
  const closed = server.close(200);
  await clock.advance(200);
  t.match(await held, {verdict: 'may-have-run', code: 'connection-lost'});
  t.ok(signal.aborted);
  await clock.advance(1000);
  await closed;
});

// The asking router closes its side: its own callers get their verdicts, and
// the answering router gives the work up.
void tap.test('the asker closes', async t => {
  const {pair, arrived} = await createScene();
  t.teardown(pair.close);
  const {peers, to, clock} = pair;
  const held = outcome(peers, clock, to, {key: 'held'});
  const signal = await arrived;
  const aborted = new Promise<void>(resolve => {
    signal.addEventListener('abort', resolve);
  });
  await peers.close();
  t.match(await held, {verdict: 'may-have-run', code: 'connection-lost'});
  await aborted;
  const after = await peers.send(to, createRequest(clock));
  t.match(after.val, {verdict: 'not-run', code: 'connection-lost'});
});

// Limits: a request above the limit of its stream is refused as not run, and
// a stream above the limit of the router is not opened at all.
void tap.test('limits of requests and streams', async t => {
  const limits = {streams: 1, requestsPerStream: 1};
  const {pair, arrived, answer} = await createScene({server: {limits}});
  t.teardown(pair.close);
  const {peers, to, clock} = pair;
  const held = outcome(peers, clock, to, {key: 'held'});
  await arrived;
  const second = await peers.send(to, createRequest(clock));
  t.match(second.val, {verdict: 'not-run', code: 'overloaded'});
  t.match(await peers.probe(to.address, 60_000), {
    val: {kind: 'unreachable', detail: /too many streams/},
  });
  answer();
  t.equal(await held, 'hello');
  t.ok((await peers.send(to, createRequest(clock))).ok);
});
