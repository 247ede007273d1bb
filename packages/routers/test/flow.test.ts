import type {Body, RequestHandler} from '@banyandrum/base/request.js';
import {Ok} from '@banyandrum/base/result.js';
import {WINDOW_BYTES} from '@banyandrum/routers/limits.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import tap from 'tap';
import {createPair, createRequest, echo, outcome, readBody} from './kit.js';

const BIG = Buffer.alloc(4 * WINDOW_BYTES, 'big;');
const NEVER = new Promise<never>(() => {});

// One caller stops reading a large answer in its midst. Its bytes stop at its
// own window; other callers and control questions on the same stream must not
// notice, and the rest still arrives when the slow caller goes on.
void tap.test('a slow reader of an answer blocks no other', async t => {
  const {taken, body} = countTaken(BIG);
  const pair = await createPair({
    handleRequest: req =>
      req.key === 'slow'
        ? Promise.resolve(Ok({status: 200, headers: [], body}))
        : echo(req),
  });
  t.teardown(pair.close);
  const {peers, to, clock} = pair;
  const fields = {key: 'slow', body: Buffer.alloc(0)};
  const slow = (await peers.send(to, createRequest(clock, fields))).unwrap();
  for (let round = 0; round < 3; round++) {
    const other = createRequest(clock, {body: BIG});
    const answer = (await peers.send(to, other)).unwrap();
    t.ok((await readBody(answer.body)).equals(BIG));
  }
  t.ok((await peers.ask(to, 'add', {a: 1, b: 2}, 60_000)).ok);
  t.ok(taken() <= WINDOW_BYTES + PIECE, `${taken()} bytes taken`);
  t.ok((await readBody(slow.body)).equals(BIG));
});

// A server reads a large request's body late. Other requests on the stream
// go on meanwhile, and the body arrives whole in the end.
void tap.test('a slow reader of a request blocks no other', async t => {
  let goOn = (): void => {};
  const wait = new Promise<void>(resolve => (goOn = resolve));
  const pair = await createPair({
    handleRequest: async req => {
      if (req.key === 'slow') await wait;
      return echo(req);
    },
  });
  t.teardown(pair.close);
  const {peers, to, clock} = pair;
  const {taken, body} = countTaken(BIG);
  const slow = peers.send(to, createRequest(clock, {key: 'slow', body}));
  for (let round = 0; round < 3; round++) {
    const fields = {body: Buffer.from('quick')};
    t.equal(await outcome(peers, clock, to, fields), 'quick');
  }
  t.ok(taken() <= WINDOW_BYTES + PIECE, `${taken()} bytes taken`);
  goOn();
  t.ok((await readBody((await slow).unwrap().body)).equals(BIG));
});

// The caller gives up, or reads no further: the handler's signal tells the
// answering router, so that no work is left behind, and the body it was
// sending is released.
const GIVE_UPS = ['abort', 'deadline', 'stops reading'] as const;
for (const how of GIVE_UPS) {
  void tap.test(`the handler hears: ${how}`, async t => {
    const clock = createManualClock();
    let onCancelled = (): void => {};
    let onReleased = (): void => {};
    const cancelled = new Promise<void>(resolve => (onCancelled = resolve));
    const released = new Promise<void>(resolve => (onReleased = resolve));
    const body = endless(() => onReleased());
    const handleRequest: RequestHandler = req => {
      req.signal.addEventListener('abort', () => onCancelled());
      return Promise.resolve(Ok({status: 200, headers: [], body}));
    };
    const pair = await createPair({clock, handleRequest});
    t.teardown(pair.close);
    const caller = new AbortController();
    const {signal} = caller;
    const deadline = clock.now() + 500;
    const req = createRequest(clock, {signal, deadline});
    const answer = (await pair.peers.send(pair.to, req)).unwrap();
    const reader = read(answer.body);
    await reader.next();
    if (how === 'abort') caller.abort();
    else if (how === 'deadline') await clock.advance(500);
    else await reader.return?.();
    await cancelled;
    await released;
    if (how === 'stops reading') return;
    const code = how === 'abort' ? 'cancelled' : 'deadline';
    await t.rejects(drain(reader), new RegExp(code));
  });
}

// A handler answers though its caller gave up long ago: nothing is sent, and
// the body of the answer is released, or its source would stay open for ever.
void tap.test('an answer that nobody waits for is released', async t => {
  let onReleased = (): void => {};
  const released = new Promise<void>(resolve => (onReleased = resolve));
  const body = {
    [Symbol.asyncIterator]: () => ({
      next: () => NEVER,
      return: () => {
        onReleased();
        return Promise.resolve({done: true as const, value: undefined});
      },
    }),
  };
  const caller = new AbortController();
  const pair = await createPair({
    handleRequest: async ({signal}) => {
      const aborted = new Promise<void>(r =>
        signal.addEventListener('abort', r),
      );
      caller.abort();
      await aborted;
      return Ok({status: 200, headers: [], body});
    },
  });
  t.teardown(pair.close);
  const {peers, to, clock} = pair;
  const {signal} = caller;
  const failed = await outcome(peers, clock, to, {signal});
  t.match(failed, {verdict: 'may-have-run', code: 'cancelled'});
  await released;
});

// A request whose own body fails at its source may have run, and the other
// side reads a cut body, never a short one.
void tap.test('the request body fails at its source', async t => {
  let onCut: (err: unknown) => void = () => {};
  let onPiece = (): void => {};
  const cut = new Promise(resolve => (onCut = resolve));
  const piece = new Promise<void>(resolve => (onPiece = resolve));
  const pair = await createPair({
    handleRequest: async req => {
      const reader = read(req.body);
      await reader.next();
      onPiece();
      await reader.next().catch(onCut);
      return NEVER;
    },
  });
  t.teardown(pair.close);
  const {peers, to, clock} = pair;
  const failed = await outcome(peers, clock, to, {body: failing(piece)});
  t.match(failed, {verdict: 'may-have-run', code: 'internal'});
  t.match(await cut, {failure: {code: 'cancelled'}});
});

// Nothing of a request that was given up before its frame was written may
// leave, so its verdict is `not-run`, whether its stream was open or not.
void tap.test('given up before it was written', async t => {
  const seen: string[] = [];
  const pair = await createPair({
    handleRequest: req => {
      seen.push(req.key);
      return echo(req);
    },
  });
  t.teardown(pair.close);
  const {peers, to, clock} = pair;
  const expected = {verdict: 'not-run', code: 'cancelled'};
  for (const state of ['opening', 'open']) {
    const caller = new AbortController();
    const {signal} = caller;
    const sent = outcome(peers, clock, to, {key: state, signal});
    caller.abort();
    t.match(await sent, expected, state);
    t.match(await outcome(peers, clock, to, {signal}), expected, 'before');
    t.equal(await outcome(peers, clock, to, {key: 'good'}), 'hello');
  }
  const deadline = clock.now();
  const late = await outcome(peers, clock, to, {deadline});
  t.match(late, {verdict: 'not-run', code: 'deadline'});
  t.same(seen, ['good', 'good']);
});

const PIECE = 100_000;

function countTaken(bytes: Buffer): {
  taken: () => number;
  body: AsyncIterable<Uint8Array>;
} {
  let taken = 0;
  async function* pieces(): AsyncGenerator<Uint8Array> {
    for (let at = 0; at < bytes.length; at += PIECE) {
      await Promise.resolve();
      const piece = bytes.subarray(at, at + PIECE);
      taken += piece.length;
      yield piece;
    }
  }
  return {taken: () => taken, body: pieces()};
}

async function* endless(onReleased: () => void): AsyncGenerator<Uint8Array> {
  try {
    for (;;) {
      await Promise.resolve();
      yield BIG;
    }
  } finally {
    onReleased();
  }
}

async function* failing(after: Promise<void>): AsyncGenerator<Uint8Array> {
  yield BIG.subarray(0, 10);
  await after;
  throw new Error('source failed');
}

function read(body: Body): AsyncIterator<Uint8Array> {
  if (body instanceof Uint8Array) throw new Error('expected a stream');
  return body[Symbol.asyncIterator]();
}

async function drain(reader: AsyncIterator<Uint8Array>): Promise<void> {
  for (;;) if ((await reader.next()).done) return;
}
