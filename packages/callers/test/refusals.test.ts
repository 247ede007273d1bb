import tap from 'tap';
import {EMPTY_BODY} from '@banyandrum/base/request.js';
import {exchangeRaw, finish, startCallers} from './fixture.js';

interface RefusalCase {
  readonly name: string;
  readonly request: string;
  readonly status: number;
  readonly code: string;
}

const END = 'host: h\r\nconnection: close\r\n\r\n';

function get(target: string, headers = ''): string {
  return `GET ${target} HTTP/1.1\r\n${headers}${END}`;
}

const LONG_KEY = 'k'.repeat(513);
const LONG_PATH = `/${'p'.repeat(4096)}`;

const CASES: readonly RefusalCase[] = [
  ['no version', '/holds/w7'],
  ['no key', '/v1/holds'],
  ['empty key', '/v1/holds/'],
  ['empty service', '/v1//w7'],
  ['malformed service', '/v1/ho%6cds/w7'],
  ['service too long', `/v1/${'s'.repeat(65)}/w7`],
  ['key too long', `/v1/holds/${LONG_KEY}`],
  [
    'key of 171 characters and 513 bytes',
    `/v1/holds/${'%E2%82%AC'.repeat(171)}`,
  ],
  ['key that is no UTF-8', '/v1/holds/%ff'],
  ['key with a broken escape', '/v1/holds/%4'],
  ['key with a control character', '/v1/holds/a%0d%0ab'],
  ['key of one dot', '/v1/holds/%2e'],
  ['key of two dots', '/v1/holds/../beds'],
  ['path that leads to another key', '/v1/holds/w7/../w8'],
  ['the same, percent-encoded', '/v1/holds/w7/%2E%2e/w8'],
  ['the same, with backslashes', '/v1/holds/w7/..\\w8'],
  ['path too long', `/v1/holds/w7${LONG_PATH}`],
  ['raw bytes above ASCII', '/v1/holds/w\u00e9'],
  ['fragment', '/v1/holds/w7#top'],
].map(([name = '', target = '']) => ({
  name,
  request: get(target),
  status: 400,
  code: 'bad-request',
}));

const HEADER_CASES: readonly RefusalCase[] = [
  ['deadline of no number', 'banyandrum-deadline-ms: soon\r\n'],
  ['deadline of 0', 'banyandrum-deadline-ms: 0\r\n'],
  ['negative deadline', 'banyandrum-deadline-ms: -5\r\n'],
  ['deadline given twice', 'banyandrum-deadline-ms: 5\r\n'.repeat(2)],
  ['once that is neither 0 nor 1', 'banyandrum-once: yes\r\n'],
  ['once given twice', 'banyandrum-once: 1\r\nbanyandrum-once: 0\r\n'],
  ['empty caller', 'banyandrum-caller: \r\n'],
  ['host given twice', 'host: other\r\n'],
].map(([name = '', headers = '']) => ({
  name,
  request: get('/v1/holds/w7', headers),
  status: 400,
  code: 'bad-request',
}));

const PROTOCOL_CASES: readonly RefusalCase[] = [
  {
    name: 'unknown service',
    request: get('/v1/nowhere/w7'),
    status: 404,
    code: 'unknown-service',
  },
  {
    name: 'HTTP/1.1 without a host',
    request: 'GET /v1/holds/w7 HTTP/1.1\r\nconnection: close\r\n\r\n',
    status: 400,
    code: 'bad-request',
  },
  {
    name: 'no HTTP at all',
    request: '\u0016\u0003\u0001junk\r\n\r\n',
    status: 400,
    code: 'bad-request',
  },
  {
    name: 'headers beyond the limit',
    request: get('/v1/holds/w7', `x-junk: ${'j'.repeat(20_000)}\r\n`),
    status: 431,
    code: 'bad-request',
  },
  {
    name: 'both a length and a chunked coding',
    request: get(
      '/v1/holds/w7',
      'content-length: 5\r\ntransfer-encoding: chunked\r\n',
    ),
    status: 400,
    code: 'bad-request',
  },
  {
    name: 'two lengths',
    request: get('/v1/holds/w7', 'content-length: 5\r\ncontent-length: 6\r\n'),
    status: 400,
    code: 'bad-request',
  },
  {
    name: 'a declared length above the limit',
    request: get('/v1/holds/w7', 'content-length: 65537\r\n'),
    status: 413,
    code: 'too-large',
  },
];

void tap.test('what is refused never reaches the handler', async t => {
  const callers = await startCallers();
  t.teardown(callers.close);
  for (const {name, request, status, code} of [
    ...CASES,
    ...HEADER_CASES,
    ...PROTOCOL_CASES,
  ]) {
    const bytes = Buffer.from(request, 'latin1');
    const exchange = exchangeRaw(callers.port, bytes);
    const answer = await finish(callers.clock, exchange);
    t.equal(answer.status, status, `${name}: status`);
    t.ok(answer.whole, `${name}: whole`);
    const problem = JSON.parse(answer.body) as Record<string, unknown>;
    t.match(problem, {
      type: `urn:banyandrum:problem:${code}`,
      title: /./,
      status,
      detail: /./,
      verdict: 'not-run',
      code,
      requestId: /^[0-9a-f]{16}$/,
    });
    t.match(
      Object.fromEntries(answer.headers),
      {
        'content-type': 'application/problem+json',
        'banyandrum-verdict': 'not-run',
        'banyandrum-code': code,
        'banyandrum-request-id': problem['requestId'],
      },
      `${name}: headers`,
    );
  }
  t.equal(callers.seen.length, 0);
});

void tap.test('the handler gets what was sent, and no more', async t => {
  const callers = await startCallers();
  t.teardown(callers.close);
  const headers =
    'x-request-id: c-1\r\nbanyandrum-fence: 9.9\r\nte: trailers\r\n' +
    'connection: x-hop\r\nx-hop: 1\r\nx-kept: a\r\nx-kept: b\r\n';
  const target = '/v1/holds/ward%207%2Fb/beds/?free=1&free=2';
  const answer = await exchangeRaw(callers.port, get(target, headers));
  t.equal(answer.status, 200);
  t.equal(answer.body, 'hello');
  t.equal(answer.headers.get('x-request-id'), 'c-1');
  t.equal(answer.headers.get('banyandrum-verdict'), 'ran');
  const [req] = callers.seen;
  t.match(req, {
    id: answer.headers.get('banyandrum-request-id'),
    service: 'holds',
    key: 'ward 7/b',
    method: 'GET',
    path: '/beds/?free=1&free=2',
    body: EMPTY_BODY,
    deadline: 3000,
    once: false,
    precedence: 1,
    caller: '127.0.0.1',
  });
  t.same(req?.headers, [
    {name: 'x-request-id', value: 'c-1'},
    {name: 'x-kept', value: 'a'},
    {name: 'x-kept', value: 'b'},
  ]);
});
