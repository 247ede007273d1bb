import {connect} from 'node:net';
import tap from 'tap';
import {FailureError, failure} from '@banyandrum/base/failure.js';
import type {ServiceAnswer} from '@banyandrum/base/request.js';
import {Ok} from '@banyandrum/base/result.js';
import {exchangeRaw, startCallers} from './fixture.js';

async function* stream(
  chunks: readonly string[],
  breaksOff = false,
): AsyncGenerator<Uint8Array> {
  for (const chunk of chunks) yield Buffer.from(chunk);
  if (!breaksOff) return;
  throw new FailureError(failure('ran', 'truncated', 'answer cut short'));
}

function answerOf(
  body: ServiceAnswer['body'],
  headers: Readonly<Record<string, string>> = {},
  status = 200,
): ServiceAnswer {
  const fields = Object.entries(headers);
  return {
    status,
    headers: fields.map(([name, value]) => ({name, value})),
    body,
  };
}

interface AnswerCase {
  readonly name: string;
  readonly answer: () => ServiceAnswer;
  readonly method?: string;
  readonly version?: string;
  /** The caller's view; `cut` where its transfer must be broken. */
  readonly expected:
    | {readonly kind: 'cut'}
    | {readonly kind: 'whole'; readonly status: number; readonly body: RegExp};
}

function whole(status: number, body: RegExp): AnswerCase['expected'] {
  return {kind: 'whole', status, body};
}

const CUT: AnswerCase['expected'] = {kind: 'cut'};
const TRUNCATED = whole(502, /"verdict":"ran","code":"truncated"/);

const CASES: readonly AnswerCase[] = [
  {
    name: 'a stream without a length',
    answer: () => answerOf(stream(['a', 'b'])),
    expected: whole(200, /a[^]*b/),
  },
  {
    name: 'an empty stream',
    answer: () => answerOf(stream([])),
    expected: whole(200, /^$/),
  },
  {
    name: 'a stream of its declared length',
    answer: () => answerOf(stream(['a', 'b']), {'content-length': '2'}),
    expected: whole(200, /^ab$/),
  },
  {
    name: 'a stream that breaks off',
    answer: () => answerOf(stream(['a'], true)),
    expected: CUT,
  },
  {
    name: 'a stream that breaks off before its declared length',
    answer: () => answerOf(stream(['a'], true), {'content-length': '2'}),
    expected: CUT,
  },
  {
    name: 'a stream that ends before its declared length',
    answer: () => answerOf(stream(['a']), {'content-length': '2'}),
    expected: CUT,
  },
  {
    name: 'a stream longer than declared',
    answer: () => answerOf(stream(['a', 'bc']), {'content-length': '2'}),
    expected: CUT,
  },
  {
    name: 'a stream that breaks off before its first byte',
    answer: () => answerOf(stream([], true)),
    expected: TRUNCATED,
  },
  {
    name: 'bytes of another length than declared',
    answer: () => answerOf(Buffer.from('a'), {'content-length': '2'}),
    expected: TRUNCATED,
  },
  {
    name: 'a length that is no number',
    answer: () => answerOf(stream(['a']), {'content-length': '1,1'}),
    expected: TRUNCATED,
  },
  {
    name: 'a status that is no answer',
    answer: () => answerOf(stream(['a']), {}, 101),
    expected: TRUNCATED,
  },
  {
    name: 'a header that would split the answer',
    answer: () => answerOf(stream(['a']), {x: 'a\r\nb: c'}),
    expected: whole(500, /"verdict":"ran","code":"internal"/),
  },
  {
    name: 'HTTP/1.0, which cannot mark an end without a length',
    answer: () => answerOf(stream(['a', 'b'])),
    version: '1.0',
    expected: whole(200, /^ab$/),
  },
  {
    name: 'HTTP/1.0, a stream that breaks off',
    answer: () => answerOf(stream(['a'], true)),
    version: '1.0',
    expected: TRUNCATED,
  },
  {
    name: 'HEAD',
    answer: () => answerOf(stream([]), {'content-length': '2'}),
    method: 'HEAD',
    expected: whole(200, /^$/),
  },
  {
    name: 'a status without a body',
    answer: () => answerOf(stream([]), {etag: '"7"'}, 304),
    expected: whole(304, /^$/),
  },
];

// The server's answer reaches the router in part. The caller must read either
// a problem or a broken transfer, never a short answer that looks whole.
void tap.test('answers, whole and cut', async t => {
  for (const {name, answer, method, version, expected} of CASES) {
    const callers = await startCallers(async () => Ok(answer()));
    const line = `${method ?? 'GET'} /v1/holds/w7 HTTP/${version ?? '1.1'}`;
    const request = `${line}\r\nhost: h\r\nconnection: close\r\n\r\n`;
    const seen = await exchangeRaw(callers.port, request);
    if (expected.kind === 'cut') {
      t.equal(seen.whole, false, name);
    } else {
      const bodiless = method === 'HEAD' || expected.status === 304;
      t.equal(seen.status, expected.status, name);
      t.match(seen.body, expected.body, name);
      t.ok(seen.whole || bodiless, `${name}: whole`);
      t.equal(seen.headers.get('banyandrum-verdict'), 'ran', name);
    }
    await callers.close();
  }
});

void tap.test("the router's and the connection's headers stay", async t => {
  const headers = {
    connection: 'x-hop',
    'x-hop': '1',
    'keep-alive': 'timeout=5',
    'transfer-encoding': 'chunked',
    'banyandrum-verdict': 'not-run',
    'banyandrum-fence': '9.9',
    'x-kept': 'a',
  };
  const answer = answerOf(Buffer.from('a'), headers);
  const callers = await startCallers(async () => Ok(answer));
  t.teardown(callers.close);
  const request =
    'GET /v1/holds/w7 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n';
  const seen = await exchangeRaw(callers.port, request);
  t.same([...seen.headers.keys()].sort(), [
    'banyandrum-request-id',
    'banyandrum-verdict',
    'connection',
    'content-length',
    'date',
    'x-kept',
  ]);
  t.equal(seen.headers.get('banyandrum-verdict'), 'ran');
});

// A caller asks for a long answer and stops reading. The server's answer is
// not read on into memory; and if the caller takes nothing for the stall time,
// its connection is cut, so that the server's connection is free again.
void tap.test('a caller that stops reading', async t => {
  let pulled = 0;
  let closed = false;
  const chunk = Buffer.alloc(64 * 1024);
  async function* endless(): AsyncGenerator<Uint8Array> {
    try {
      for (;;) {
        pulled += chunk.length;
        yield chunk;
      }
    } finally {
      closed = true;
    }
  }
  const callers = await startCallers(async () => Ok(answerOf(endless())));
  t.teardown(callers.close);
  const socket = connect(callers.port, '127.0.0.1');
  socket.pause();
  socket.write('GET /v1/holds/w7 HTTP/1.1\r\nhost: h\r\n\r\n');
  let before = -1;
  while (pulled === 0 || before !== pulled) {
    before = pulled;
    for (let turn = 0; turn < 50; turn++) await callers.clock.advance(0);
  }
  t.ok(pulled < 64 * 1024 * 1024, 'reading stopped');
  t.equal(closed, false);
  await callers.clock.advance(30_000);
  t.equal(closed, true);
  socket.destroy();
});
