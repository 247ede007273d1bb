import grpc from '@grpc/grpc-js';
import type {Logger} from '@banyandrum/base/logger.js';
import {failure} from '@banyandrum/base/failure.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {RequestHandler} from '@banyandrum/base/request.js';
import {
  decodeBatch,
  encodeBatch,
  type Frame,
  type ReceivedFrame,
} from '@banyandrum/routers/frames.js';
import {MAX_MESSAGE_BYTES, WINDOW_BYTES} from '@banyandrum/routers/limits.js';
import {openWire, type WireEnd} from '@banyandrum/routers/wire.js';
import tap from 'tap';
import {createPair, createRequest, outcome, SELF} from './kit.js';
import {helloOf} from './script.js';

const EMPTY = Buffer.alloc(0);
const {INVALID_ARGUMENT, RESOURCE_EXHAUSTED} = grpc.status;

interface Case {
  readonly title: string;
  /** Frames after the greeting, or one message as it is. */
  readonly sent: readonly Frame[] | Buffer;
  /** Invalid argument by default. */
  readonly code?: number;
}

// Another router writes what it never should. Its stream is closed with one
// log line that says why, before anything can be mixed up; requests on other
// streams go on.
const CASES: readonly Case[] = [
  {
    title: 'junk',
    sent: Buffer.from('junk\xff\xff'),
  },
  {title: 'empty message', sent: EMPTY},
  {title: 'empty frame', sent: [{id: 4}]},
  {title: 'second greeting', sent: [helloOf(SELF)]},
  {
    title: 'frame of the wrong side',
    sent: [{id: 1, controlAnswer: {payload: EMPTY}}],
  },
  {
    title: 'id used twice',
    sent: [head(2, true), head(2, true)],
  },
  {
    title: 'id below the last',
    sent: [head(2, true), head(1, true)],
  },
  {title: 'no id', sent: [head(0, true)]},
  {
    title: 'chunk after a whole body',
    sent: [head(1, true), chunk(1, 1)],
  },
  {
    title: 'more than the window',
    sent: [head(1, false), chunk(1, WINDOW_BYTES), chunk(1, 1)],
  },
  {
    title: 'oversize message',
    sent: [head(1, false), chunk(1, MAX_MESSAGE_BYTES)],
    code: RESOURCE_EXHAUSTED,
  },
];

for (const {title, sent, code = INVALID_ARGUMENT} of CASES) {
  void tap.test(`asker: ${title}`, async t => {
    const lines: string[] = [];
    let onLine = (): void => {};
    const logged = new Promise<void>(resolve => (onLine = resolve));
    const log = createLog(lines, () => onLine());
    const pair = await createPair({server: {log}, handleRequest: never});
    t.teardown(pair.close);
    const add = async (): Promise<boolean> =>
      (await pair.peers.ask(pair.to, 'add', {a: 1, b: 2}, 60_000)).ok;
    t.ok(await add());
    const raw = openRaw(pair.server.address);
    raw.write(encodeBatch([helloOf(SELF)]));
    t.ok((await raw.first).hello);
    raw.write(Buffer.isBuffer(sent) ? sent : encodeBatch(sent));

    t.match(await raw.end, {code});
    await logged;
    t.ok(await add(), 'the other stream goes on');
    t.equal(lines.length, 1);
  });
}

// A router that takes this one for an older run is told who answers, and the
// stream ends: requests meant for the older run must not be served.
void tap.test('asker: expects another run', async t => {
  const pair = await createPair({handleRequest: never});
  t.teardown(pair.close);
  const raw = openRaw(pair.server.address);
  const expected = {...pair.to, boot: 'older'};
  const hello = {self: SELF, expected, windowBytes: WINDOW_BYTES};
  raw.write(encodeBatch([{id: 0, hello}]));
  t.match((await raw.first).hello, {self: {...pair.to}});
  t.match(await raw.end, {code: grpc.status.OK});
});

// What a handler does wrong stays with its own request: the caller hears that
// it may have run, or that the answer was cut, and the stream goes on.
const HANDLERS: readonly {
  readonly title: string;
  readonly handle: RequestHandler;
  readonly expected: object;
}[] = [
  {
    title: 'throws at once',
    handle: () => {
      throw new Error('broken');
    },
    expected: {verdict: 'may-have-run', code: 'internal'},
  },
  {
    title: 'rejects',
    handle: () => Promise.reject(new Error('broken')),
    expected: {verdict: 'may-have-run', code: 'internal'},
  },
  {
    title: 'fails',
    handle: () =>
      Promise.resolve(Err(failure('not-run', 'no-owner', 'none', 70))),
    expected: {verdict: 'not-run', code: 'no-owner', retryAfterMs: 70},
  },
  {
    title: 'cuts its answer',
    handle: () =>
      Promise.resolve(Ok({status: 200, headers: [], body: cutBody()})),
    expected: {verdict: 'ran', code: 'truncated'},
  },
  {
    title: 'answers with too long a head',
    handle: () => {
      const headers = [{name: 'x', value: 'x'.repeat(MAX_MESSAGE_BYTES)}];
      return Promise.resolve(Ok({status: 200, headers, body: EMPTY}));
    },
    expected: {verdict: 'ran', code: 'too-large'},
  },
];

for (const {title, handle, expected} of HANDLERS) {
  void tap.test(`handler ${title}`, async t => {
    const pair = await createPair({
      handleRequest: req =>
        req.key === 'good'
          ? Promise.resolve(Ok({status: 200, headers: [], body: EMPTY}))
          : handle(req),
    });
    t.teardown(pair.close);
    const {peers, to, clock} = pair;
    const good = createRequest(clock, {key: 'good'});
    t.ok((await peers.send(to, good)).ok);
    t.match(await outcome(peers, clock, to), expected);
    t.ok((await peers.send(to, good)).ok, 'the stream goes on');
  });
}

// A control handler that throws, and data that the schema refuses, are told
// to the asker as `invalid`; neither closes the stream.
void tap.test('control questions that are refused', async t => {
  const pair = await createPair({
    server: {handlers: {add: () => Promise.reject(new Error('not leader'))}},
  });
  t.teardown(pair.close);
  const {peers, to, clock} = pair;
  const thrown = await peers.ask(to, 'add', {a: 1, b: 2}, 60_000);
  t.match(thrown.val, {kind: 'invalid', detail: 'not leader'});
  const bad = {a: 'one', b: 2} as unknown as {a: number; b: number};
  t.match((await peers.ask(to, 'add', bad, 60_000)).val, {kind: 'invalid'});
  t.ok((await peers.send(to, createRequest(clock))).ok);
});

function createLog(lines: string[], onLine: () => void): Logger {
  const error = (message: string): void => {
    lines.push(message);
    onLine();
  };
  return {debug: error, info: error, error, warn: error};
}

interface Raw {
  write(bytes: Buffer): void;
  readonly first: Promise<ReceivedFrame>;
  readonly end: Promise<WireEnd>;
}

function openRaw(address: string): Raw {
  let onFirst: (frame: ReceivedFrame) => void = () => {};
  let onEnd: (why: WireEnd) => void = () => {};
  const first = new Promise<ReceivedFrame>(resolve => (onFirst = resolve));
  const end = new Promise<WireEnd>(resolve => (onEnd = resolve));
  const onMessage = (bytes: Buffer): void => {
    const [frame] = decodeBatch(bytes);
    if (frame !== undefined) onFirst(frame);
  };
  const listener = {onMessage, onEnd};
  const credentials = grpc.credentials.createInsecure();
  const wire = openWire(address, credentials, listener);
  return {write: bytes => wire.write(bytes, () => {}), first, end};
}

function never(): Promise<never> {
  return new Promise(() => {});
}

// eslint-disable-next-line require-yield
async function* cutBody(): AsyncGenerator<Uint8Array> {
  await Promise.resolve();
  throw new Error('backend server gone');
}

function head(id: number, whole: boolean): Frame {
  const {headers, method, path, key} = createRequest({
    now: () => 0,
    after: () => () => {},
  });
  return {
    id,
    requestHead: {
      requestId: 'r1',
      service: 'holds',
      caller: 'ward',
      remainingMs: 60_000,
      once: false,
      precedence: 0,
      body: EMPTY,
      ...{headers, method, path, key, whole},
    },
  };
}

function chunk(id: number, size: number): Frame {
  return {id, chunk: {bytes: Buffer.alloc(size), last: false}};
}
