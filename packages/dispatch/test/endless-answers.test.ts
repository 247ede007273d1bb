import tap from 'tap';
import type {Socket} from 'node:net';
import {createClock} from '@banyandrum/base/clock.js';
import {
  createAnswerLimits,
  type AnswerLimits,
} from '@banyandrum/dispatch/answer-limits.js';
import {
  startAttempt,
  type AttemptResult,
} from '@banyandrum/dispatch/attempt.js';
import {createServerConnections} from '@banyandrum/dispatch/connections.js';
import {listenRaw, NAMES} from './raw-server.js';

const KIB = 1024;
const MAX_BYTES = 512 * KIB;
const SIZES = {maxBytes: MAX_BYTES, totalBytes: 2 * MAX_BYTES};
/** A server stops by itself after this, in bytes, if it isn't cut off. */
const ENDLESS_BYTES = 64 * KIB * KIB;
const LIMIT_MS = 3_000;
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const BLOCK = 'x'.repeat(16 * KIB);
const CHUNK = `${BLOCK.length.toString(16)}\r\n${BLOCK}\r\n`;

/** Writes `part` until the connection closes; returns how much was written. */
function pump(socket: Socket, part: string): void {
  const write = (): void => {
    while (!socket.destroyed && socket.bytesWritten < ENDLESS_BYTES) {
      if (!socket.write(part)) return void socket.once('drain', write);
    }
  };
  write();
}

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

interface Case {
  readonly name: string;
  readonly head: string;
  readonly part: string;
  /** Reasons with which the attempt may end. */
  readonly reasons: readonly string[];
}

const CASES: readonly Case[] = [
  {
    ...{name: 'a chunked body', head: CHUNKED, part: CHUNK},
    reasons: ['too-large'],
  },
  {
    ...{name: 'a body up to the end of the connection', part: BLOCK},
    head: 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n',
    reasons: ['too-large'],
  },
  {
    ...{name: 'a chunk extension', head: `${CHUNKED}2;`, part: BLOCK},
    reasons: ['too-large'],
  },
  {
    ...{name: 'a header value', head: 'HTTP/1.1 200 OK\r\nx-a: ', part: BLOCK},
    reasons: ['connection-lost', 'too-large'],
  },
  {
    ...{name: 'header fields', head: 'HTTP/1.1 200 OK\r\n'},
    part: `x-a: ${'y'.repeat(4 * KIB)}\r\n`,
    reasons: ['connection-lost', 'too-large'],
  },
  {
    ...{name: 'trailers', head: `${CHUNKED}2\r\nok\r\n0\r\n`},
    part: `x-a: ${'y'.repeat(4 * KIB)}\r\n`,
    reasons: ['truncated', 'too-large'],
  },
  {
    ...{name: '100 Continue', head: ''},
    part: 'HTTP/1.1 100 Continue\r\n\r\n',
    reasons: ['connection-lost', 'too-large'],
  },
  {
    ...{name: 'bytes that are no HTTP', head: '', part: BLOCK},
    reasons: ['connection-lost', 'too-large'],
  },
];

interface Ended {
  readonly result: AttemptResult;
  readonly tookMs: number;
}

async function send(
  origin: string,
  answers: AnswerLimits,
  method = 'GET',
): Promise<Ended> {
  const connections = createServerConnections(origin, 1, answers);
  const connection = connections.acquire('r1')!;
  const startedAt = performance.now();
  const attempt = startAttempt(connection, NAMES, createClock(), {
    ...{method, path: '/', headers: [], body: null, requestId: 'r1'},
    withinMs: LIMIT_MS,
  });
  const result = await attempt.result;
  connections.release(connection, result.kind === 'answered');
  return {result, tookMs: performance.now() - startedAt};
}

for (const {name, head, part, reasons} of CASES) {
  // Guards against keeping an answer without end until the time limit.
  void tap.test(`an answer without end: ${name}`, async t => {
    let received: Socket | null = null;
    const server = await listenRaw(socket => {
      received = socket;
      socket.write(head);
      pump(socket, part);
    });
    t.teardown(() => server.close());
    const answers = createAnswerLimits(SIZES);
    const {result, tookMs} = await send(server.origin, answers);
    t.equal(result.kind, 'lost');
    if (result.kind !== 'lost') return;
    t.ok(reasons.includes(result.reason), `${result.reason}: ${result.detail}`);
    t.ok(tookMs < LIMIT_MS / 3, `ends at once, after ${Math.round(tookMs)} ms`);
    t.equal(answers.heldBytes(), 0, 'nothing is held afterwards');
    t.ok(received!.bytesWritten < ENDLESS_BYTES / 2, 'the server is cut off');
  });
}

// Guards against reading an answer whose declared length is too large.
void tap.test('a declared length over the limit ends at the head', async t => {
  const server = await listenRaw(socket =>
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${MAX_BYTES + 1}\r\n\r\n`),
  );
  t.teardown(() => server.close());
  const answers = createAnswerLimits(SIZES);
  const {result, tookMs} = await send(server.origin, answers);
  t.match(result, {kind: 'lost', reason: 'too-large', isWritten: true});
  t.ok(tookMs < LIMIT_MS / 3);
  t.same(answers.exceeded(), {answer: 1, total: 0});
});

// Guards against cutting off an answer that only tells how long a body is.
void tap.test('a declared length without a body is no limit', async t => {
  const server = await listenRaw(socket =>
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${MAX_BYTES + 1}\r\n\r\n`),
  );
  t.teardown(() => server.close());
  const answers = createAnswerLimits(SIZES);
  const {result} = await send(server.origin, answers, 'HEAD');
  t.equal(result.kind, 'answered');
});

// Guards against many answers that are each within the limit of one.
void tap.test('answers in flight share a limit', async t => {
  const server = await listenRaw(socket => {
    socket.write(CHUNKED);
    // Within the limit of one; then the server keeps the connection open.
    for (let sent = 0; sent < MAX_BYTES * 0.75; sent += BLOCK.length)
      socket.write(CHUNK);
  });
  t.teardown(() => server.close());
  const answers = createAnswerLimits(SIZES);
  const ended: string[] = [];
  const all = Array.from({length: 4}, () =>
    send(server.origin, answers).then(({result, tookMs}) => {
      if (result.kind === 'lost' && tookMs < LIMIT_MS / 2)
        ended.push(result.reason);
    }),
  );
  await new Promise(resolve => setTimeout(resolve, LIMIT_MS / 2));
  t.same(ended, ['too-large', 'too-large'], 'two of four fit');
  t.ok(answers.heldBytes() <= SIZES.totalBytes);
  await Promise.all(all);
  t.equal(answers.heldBytes(), 0);
});

// Guards against counting an answer against the one before it.
void tap.test('answers on one connection are counted each', async t => {
  const body = 'x'.repeat(MAX_BYTES * 0.6);
  const server = await listenRaw(socket =>
    socket.write(
      `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    ),
  );
  t.teardown(() => server.close());
  const answers = createAnswerLimits(SIZES);
  const connections = createServerConnections(server.origin, 1, answers);
  for (let at = 0; at < 4; at++) {
    const connection = connections.acquire('r1')!;
    const attempt = startAttempt(connection, NAMES, createClock(), {
      ...{method: 'GET', path: '/', headers: [], body: null, requestId: 'r1'},
      withinMs: LIMIT_MS,
    });
    const result = await attempt.result;
    connections.release(connection, true);
    t.equal(result.kind, 'answered');
  }
  t.equal(answers.heldBytes(), 0);
});

// Guards against an answer that trickles being held beyond its time limit.
void tap.test('an answer that trickles ends at the time limit', async t => {
  const server = await listenRaw(socket => {
    socket.write(CHUNKED);
    const timer = setInterval(() => socket.write('1\r\nx\r\n'), 50);
    socket.once('close', () => clearInterval(timer));
  });
  t.teardown(() => server.close());
  const {result, tookMs} = await send(server.origin, createAnswerLimits(SIZES));
  t.match(result, {kind: 'lost', reason: 'timeout'});
  t.ok(tookMs < LIMIT_MS + 500, `${Math.round(tookMs)} ms`);
});

const UNTIL_CLOSE = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';

// Guards against an uncaught error where a body up to the end of the connection
// is given up: the HTTP client takes the reset for its end.
void tap.test('a body up to the end of the connection is given up', async t => {
  const server = await listenRaw(socket => socket.write(`${UNTIL_CLOSE}part`));
  t.teardown(() => server.close());
  const uncaught: Error[] = [];
  const note = (err: Error): void => void uncaught.push(err);
  process.on('uncaughtException', note);
  t.teardown(() => process.off('uncaughtException', note));
  for (const reason of ['timeout', 'cancelled', 'silent'] as const) {
    const answers = createAnswerLimits(SIZES);
    const connections = createServerConnections(server.origin, 1, answers);
    const connection = connections.acquire('r1')!;
    const attempt = startAttempt(connection, NAMES, createClock(), {
      ...{method: 'GET', path: '/', headers: [], body: null, requestId: 'r1'},
      withinMs: LIMIT_MS,
    });
    await sleep(200);
    const abortedAt = performance.now();
    attempt.abort(reason);
    t.match(await attempt.result, {kind: 'lost', reason});
    t.ok(performance.now() - abortedAt < 200, 'ends at once');
    connections.release(connection, false);
    await sleep(100);
    t.equal(answers.heldBytes(), 0, 'nothing is held afterwards');
  }
  t.same(uncaught, [], 'no error is left uncaught');
});

// Guards against the same where all answers together exceed their limit.
void tap.test('bodies up to the end exceed the limit of all', async t => {
  const server = await listenRaw(socket => {
    socket.write(UNTIL_CLOSE);
    socket.write('x'.repeat(MAX_BYTES * 0.75));
  });
  t.teardown(() => server.close());
  const uncaught: Error[] = [];
  const note = (err: Error): void => void uncaught.push(err);
  process.on('uncaughtException', note);
  t.teardown(() => process.off('uncaughtException', note));
  const answers = createAnswerLimits(SIZES);
  const all = Array.from({length: 12}, () => send(server.origin, answers));
  await Promise.all(all);
  await sleep(100);
  t.equal(answers.exceeded().total, 10, 'two of twelve fit');
  t.equal(answers.heldBytes(), 0);
  t.same(uncaught, [], 'no error is left uncaught');
});

/** Within the limit of one answer, but little or nothing of it is a body. */
const FRAMING_BYTES = 56 * KIB;
const FRAMING_CASES: readonly Pick<Case, 'name' | 'head' | 'part'>[] = [
  {
    ...{name: 'header fields of four bytes', head: 'HTTP/1.1 200 OK\r\n'},
    part: 'a:\r\n',
  },
  {name: 'a reason phrase', head: 'HTTP/1.1 200 ', part: 'x'},
  {name: 'interim answers', head: '', part: 'HTTP/1.1 102 Processing\r\n\r\n'},
  {name: 'empty lines before an answer', head: '', part: '\r\n'},
  {
    ...{name: 'trailers of four bytes', part: 'a:\r\n'},
    head: `${CHUNKED}2\r\nok\r\n0\r\n`,
  },
  {name: 'a long chunk extension', head: `${CHUNKED}2;`, part: 'x'},
];

for (const {name, head, part} of FRAMING_CASES) {
  // Guards against holding much that is no body, which costs many times its size.
  void tap.test(`much that is no body: ${name}`, async t => {
    const repeats = Math.ceil(FRAMING_BYTES / part.length);
    const server = await listenRaw(socket =>
      socket.write(head + part.repeat(repeats)),
    );
    t.teardown(() => server.close());
    const answers = createAnswerLimits(SIZES);
    const {result, tookMs} = await send(server.origin, answers);
    t.equal(result.kind, 'lost');
    if (result.kind !== 'lost') return;
    t.equal(result.reason, 'too-large');
    t.ok(tookMs < LIMIT_MS / 3, `ends at once, after ${Math.round(tookMs)} ms`);
    t.equal(answers.heldBytes(), 0);
  });
}

// Guards against taking the framing of small chunks, or a long head with its
// trailers, for an answer without end.
void tap.test('answers with much framing are delivered', async t => {
  const fields = `x-a: ${'y'.repeat(1_000)}\r\n`.repeat(15);
  const trailers = `x-b: ${'y'.repeat(1_000)}\r\n`.repeat(6);
  const head = CHUNKED.replace('\r\n\r\n', `\r\n${fields}\r\n`);
  const body = '1\r\nx\r\n'.repeat(50_000);
  const server = await listenRaw(socket =>
    socket.write(`${head}${body}0\r\n${trailers}\r\n`),
  );
  t.teardown(() => server.close());
  const {result} = await send(server.origin, createAnswerLimits(SIZES));
  t.equal(result.kind, 'answered');
  if (result.kind !== 'answered') return;
  t.equal(result.answer.body.length, 50_000);
});
