import {once} from 'node:events';
import {connect} from 'node:net';
import tap from 'tap';
import {failure, failureOf} from '@banyandrum/base/failure.js';
import type {Failure} from '@banyandrum/base/failure.js';
import type {RequestHandler} from '@banyandrum/base/request.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import {HELLO, exchangeRaw, finish, startCallers} from './fixture.js';

/** What the handler read of a body, and how the reading ended. */
interface BodyRead {
  whole: boolean;
  bytes: number;
  end: 'open' | 'complete' | Failure;
  aborted: boolean;
}

interface Reader {
  readonly handle: RequestHandler;
  readonly read: BodyRead;
}

/** Reads the body to its end, as the next hop does. */
function createReader(): Reader {
  const read: BodyRead = {whole: false, bytes: 0, end: 'open', aborted: false};
  const handle: RequestHandler = async req => {
    req.signal.addEventListener('abort', () => {
      read.aborted = true;
    });
    read.whole = req.body instanceof Uint8Array;
    const body = req.body instanceof Uint8Array ? [req.body] : req.body;
    try {
      for await (const chunk of body) read.bytes += chunk.length;
      read.end = 'complete';
      return Ok(HELLO);
    } catch (err) {
      read.end = failureOf(err, 'ran');
      return Err(failure('may-have-run', 'connection-lost', 'body broke off'));
    }
  };
  return {handle, read};
}

const HEAD = 'POST /v1/holds/w7 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n';
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const CHUNK = `4000\r\n${'c'.repeat(0x4000)}\r\n`;

interface WholeCase {
  readonly name: string;
  readonly pieces: readonly string[];
  readonly whole: boolean;
  readonly bytes: number;
}

const WHOLE: readonly WholeCase[] = [
  {name: 'none', pieces: [`${HEAD}\r\n`], whole: true, bytes: 0},
  {
    name: 'small',
    pieces: [`${HEAD}content-length: 9\r\n\r\n`, 'some', 'bytes'],
    whole: true,
    bytes: 9,
  },
  {
    name: 'more than is read whole',
    pieces: [`${HEAD}content-length: 16385\r\n\r\n`, 'b'.repeat(16_385)],
    whole: false,
    bytes: 16_385,
  },
  {
    name: 'without a length, up to the limit',
    pieces: [CHUNKED, CHUNK, CHUNK, CHUNK, CHUNK, '0\r\n\r\n'],
    whole: false,
    bytes: 65_536,
  },
];

void tap.test('whole bodies', async t => {
  for (const {name, pieces, whole, bytes} of WHOLE) {
    const {handle, read} = createReader();
    const callers = await startCallers(handle);
    const answer = await exchangeRaw(callers.port, ...pieces);
    t.equal(answer.status, 200, name);
    t.match(read, {whole, bytes, end: 'complete', aborted: false}, name);
    await callers.close();
  }
});

// A caller streams more than the rules allow, without having declared it. A
// part was passed on already and the server may have executed on it; so the
// caller reads 413 with the verdict of the handler, which is not `not-run`.
void tap.test('a body that grows above the limit', async t => {
  const {handle, read} = createReader();
  const callers = await startCallers(handle);
  t.teardown(callers.close);
  const pieces = [CHUNKED, ...new Array<string>(40).fill(CHUNK), '0\r\n\r\n'];
  const answer = await finish(
    callers.clock,
    exchangeRaw(callers.port, ...pieces),
  );
  t.equal(answer.status, 413);
  t.match(JSON.parse(answer.body), {
    code: 'too-large',
    verdict: 'may-have-run',
  });
  t.match(read.end, {code: 'too-large', verdict: 'may-have-run'});
  t.ok(read.bytes <= 65_536);
});

// The server answers when it has seen the first bytes of a long body. The rest
// must not be taken for the connection's next request, nor block it.
void tap.test('an answer before the body was read', async t => {
  const length = 1_000_000;
  const answerEarly: RequestHandler = async req => {
    if (req.body instanceof Uint8Array) return Ok(HELLO);
    const chunks = req.body[Symbol.asyncIterator]();
    await chunks.next();
    await chunks.return?.();
    return Ok(HELLO);
  };
  const callers = await startCallers(answerEarly, {maxBodyBytes: length});
  t.teardown(callers.close);
  const exchange = exchangeRaw(
    callers.port,
    'POST /v1/holds/w7 HTTP/1.1\r\nhost: h\r\n',
    `content-length: ${length}\r\n\r\n`,
    'GET / HTTP/1.1\r\n\r\n'.padEnd(length, 'b'),
    `${HEAD}\r\n`,
  );
  const {text} = await finish(callers.clock, exchange);
  t.equal(text.split('HTTP/1.1 200 OK').length - 1, 2);
  t.equal(callers.seen.length, 2);
});

interface CutCase {
  readonly name: string;
  readonly sent: string;
  readonly reaches: boolean;
}

const CUT: readonly CutCase[] = [
  {
    name: 'small, with a length',
    sent: `${HEAD}content-length: 9\r\n\r\nsome`,
    reaches: false,
  },
  {
    name: 'large, with a length',
    sent: `${HEAD}content-length: 20000\r\n\r\n${'b'.repeat(17_000)}`,
    reaches: true,
  },
  {name: 'without a length', sent: CHUNKED + CHUNK, reaches: true},
];

// A caller is cut off in the middle of its body. The handler must not take the
// part for the whole: the body throws, and the signal tells that nobody waits.
void tap.test('a body that is cut', async t => {
  for (const {name, sent, reaches} of CUT) {
    const {handle, read} = createReader();
    const callers = await startCallers(handle);
    const socket = connect(callers.port, '127.0.0.1');
    socket.write(sent);
    while (callers.callers.inFlight() === 0) await callers.clock.advance(0);
    while (reaches && read.bytes < 0x4000) await callers.clock.advance(0);
    socket.destroy();
    while (callers.callers.inFlight() > 0) await callers.clock.advance(0);
    t.equal(callers.seen.length, reaches ? 1 : 0, name);
    if (reaches) {
      while (read.end === 'open') await callers.clock.advance(0);
      t.match(read.end, {code: 'cancelled', verdict: 'may-have-run'}, name);
      t.ok(read.aborted, name);
    }
    await callers.close();
  }
});

// A caller sends its headers and a part of a small body, then falls silent.
// Nothing was passed on, so at its deadline it reads that nothing has run.
void tap.test('a body that stalls', async t => {
  const callers = await startCallers();
  t.teardown(callers.close);
  const sent = `${HEAD}content-length: 9\r\n\r\nsome`;
  const answer = await finish(callers.clock, exchangeRaw(callers.port, sent));
  t.equal(answer.status, 504);
  t.match(JSON.parse(answer.body), {code: 'deadline', verdict: 'not-run'});
  t.equal(callers.seen.length, 0);
});

interface ContinueCase {
  readonly name: string;
  readonly headers: string;
  readonly statuses: readonly string[];
}

const CONTINUE: readonly ContinueCase[] = [
  {name: 'taken', headers: 'content-length: 4\r\n', statuses: ['100', '200']},
  {name: 'refused', headers: 'content-length: 99999\r\n', statuses: ['413']},
];

void tap.test('a caller that asks before it sends its body', async t => {
  for (const {name, headers, statuses} of CONTINUE) {
    const callers = await startCallers();
    const socket = connect(callers.port, '127.0.0.1');
    let text = '';
    socket.on('data', chunk => {
      if (text === '' && statuses[0] === '100') socket.write('body');
      text += String(chunk);
    });
    socket.write(`${HEAD}${headers}expect: 100-continue\r\n\r\n`);
    await finish(callers.clock, once(socket, 'close'));
    const found = [...text.matchAll(/^HTTP\/1\.1 (\d+)/gm)].map(m => m[1]);
    t.same(found, statuses, name);
    await callers.close();
  }
});
