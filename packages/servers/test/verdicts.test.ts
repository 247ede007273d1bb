import tap from 'tap';
import {FailureError} from '@banyandrum/base/failure.js';
import type {Failure} from '@banyandrum/base/failure.js';
import type {ServiceRequest} from '@banyandrum/base/request.js';
import {createServerClient} from '@banyandrum/servers/http-client.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import {createRawServer} from './raw-server.js';
import {dispatchTo, inPieces, readAll} from './setup.js';

const clock = createManualClock();
const stamps = {stamp: () => ({boot: 'b1', ms: 0})};
const OK = 'HTTP/1.1 200 OK\r\n';
const LARGE = 'x'.repeat(100_000);

interface AnswerCase {
  readonly name: string;
  /** Bytes that the server writes before it closes the connection. */
  readonly bytes: string;
  /** Failure of `send`, or else of its body. */
  readonly failure?: Partial<Failure>;
  readonly bodyFailure?: Partial<Failure>;
  readonly answer?: string;
  readonly method?: string;
}

const LOST: Partial<Failure> = {
  verdict: 'may-have-run',
  code: 'connection-lost',
};
const CUT: Partial<Failure> = {verdict: 'ran', code: 'truncated'};
const refusal = (status: number, more = ''): string =>
  `HTTP/1.1 ${status} No\r\nbanyandrum-verdict: not-run\r\n${more}` +
  'content-length: 2\r\n\r\n{}';

const ANSWER_CASES: readonly AnswerCase[] = [
  {name: 'closed before the head', bytes: '', failure: LOST},
  {name: 'cut within the head', bytes: `${OK}content-le`, failure: LOST},
  {name: 'no HTTP', bytes: 'SSH-2.0-x\r\n\r\n', failure: LOST},
  {
    name: 'small body cut',
    bytes: `${OK}content-length: 10\r\n\r\nabc`,
    failure: CUT,
  },
  {
    name: 'body cut before its first byte',
    bytes: `${OK}content-length: 10\r\n\r\n`,
    failure: CUT,
  },
  {
    name: 'large body cut',
    bytes: `${OK}content-length: 100001\r\n\r\n${LARGE}`,
    bodyFailure: CUT,
  },
  {
    name: 'chunked body cut between chunks',
    bytes: `${OK}transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n`,
    bodyFailure: CUT,
  },
  {
    name: 'chunked body cut within a chunk',
    bytes: `${OK}transfer-encoding: chunked\r\n\r\n9\r\nabc`,
    bodyFailure: CUT,
  },
  {
    name: 'body that ends with its connection',
    bytes: `${OK}\r\nabc`,
    failure: CUT,
  },
  {
    name: 'whole chunked body',
    bytes: `${OK}transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`,
    answer: 'abc',
  },
  {
    name: 'after informational heads',
    bytes: `HTTP/1.1 103 Early\r\n\r\n${OK}content-length: 1\r\n\r\na`,
    answer: 'a',
  },
  {name: 'no body by status', bytes: 'HTTP/1.1 204 -\r\n\r\n', answer: ''},
  {
    name: 'no body by method',
    method: 'HEAD',
    bytes: `${OK}content-length: 99\r\n\r\n`,
    answer: '',
  },
  {
    name: 'own request id',
    bytes: `${OK}banyandrum-request-id: r1\r\ncontent-length: 0\r\n\r\n`,
    answer: '',
  },
  {
    name: "another request's answer",
    bytes: `${OK}banyandrum-request-id: r2\r\ncontent-length: 0\r\n\r\n`,
    failure: LOST,
  },
  {
    name: 'refused: not the owner',
    bytes: refusal(421),
    failure: {verdict: 'not-run', code: 'fenced'},
  },
  {
    name: 'refused: sheds load',
    bytes: refusal(503, 'retry-after-ms: 70\r\n'),
    failure: {verdict: 'not-run', code: 'overloaded', retryAfterMs: 70},
  },
  {
    name: 'refused: deadline',
    bytes: refusal(408),
    failure: {verdict: 'not-run', code: 'deadline'},
  },
  {
    name: 'refused: another reason',
    bytes: refusal(400),
    failure: {verdict: 'not-run', code: 'refused'},
  },
  {
    name: 'an error that is not a refusal',
    bytes: 'HTTP/1.1 503 No\r\ncontent-length: 2\r\n\r\n{}',
    answer: '{}',
  },
];

for (const row of ANSWER_CASES) {
  void tap.test(`answer: ${row.name}`, async t => {
    const client = createServerClient({clock});
    const server = await createRawServer(socket => socket.end(row.bytes));
    t.teardown(() => Promise.all([client.close(), server.close()]));
    const req = {method: row.method ?? 'POST'};
    const result = await client.send(
      server.ref,
      dispatchTo(stamps, req, {}, clock),
    );
    if (row.failure) {
      t.match(result.val, row.failure);
      t.ok(result.err);
    } else if (row.bodyFailure) {
      const err: unknown = await readAll(result.unwrap().body).catch(e => e);
      t.ok(err instanceof FailureError);
      t.match(err, {failure: row.bodyFailure});
    } else {
      const bytes = await readAll(result.unwrap().body);
      t.equal(bytes.toString(), row.answer);
    }
    t.equal(server.connections(), 1, 'written once only');
  });
}

interface UnwrittenCase {
  readonly name: string;
  readonly req?: Partial<ServiceRequest>;
  /** Results of `mayWrite`, in order. */
  readonly mayWrite?: readonly boolean[];
  readonly code: Failure['code'];
}

const aborted = AbortSignal.abort();
const UNWRITTEN_CASES: readonly UnwrittenCase[] = [
  {name: 'no permission', mayWrite: [false], code: 'no-leader'},
  {
    name: 'permission ends before the first byte of a streamed body',
    req: {body: inPieces(Buffer.from('abc'), 1)},
    mayWrite: [true, false],
    code: 'no-leader',
  },
  {
    name: 'permission ends before the end of an empty streamed body',
    req: {body: inPieces(Buffer.alloc(0), 1)},
    mayWrite: [true, false],
    code: 'no-leader',
  },
  {
    name: 'streamed body fails before its first byte',
    req: {body: failingBody(0)},
    code: 'truncated',
  },
  {name: 'cancelled before', req: {signal: aborted}, code: 'cancelled'},
  {name: 'deadline before', req: {deadline: -1}, code: 'deadline'},
  ...[
    {
      name: 'line break in a header',
      headers: [{name: 'a', value: 'b\r\nc: d'}],
    },
    {name: 'line break in a name', headers: [{name: 'a\r\nb', value: 'c'}]},
    {name: 'line break in the id', id: 'r1\r\nx: y'},
    {name: 'line break in the path', path: '/a\r\nx: y'},
    {name: 'space in the path', path: '/a HTTP/1.1'},
    {name: 'invalid path', path: '@evil'},
    {name: 'dots as a key', key: '..'},
    {name: 'unpaired surrogate', key: '\ud800'},
    {name: 'tunnel', method: 'CONNECT'},
    {name: 'method with a line break', method: 'GET / \r\n'},
  ].map(({name, ...req}) => ({name, req, code: 'bad-request' as const})),
];

for (const {name, req, mayWrite, code} of UNWRITTEN_CASES) {
  void tap.test(`nothing written: ${name}`, async t => {
    const client = createServerClient({clock});
    const server = await createRawServer(socket => {
      socket.write(`${OK}content-length: 0\r\n\r\n`);
    });
    t.teardown(() => Promise.all([client.close(), server.close()]));
    const permissions = [...(mayWrite ?? [])];
    const dispatch = dispatchTo(
      stamps,
      {method: 'POST', ...req},
      {mayWrite: () => permissions.shift() ?? true},
      clock,
    );
    const {val} = await client.send(server.ref, dispatch);
    t.match(val, {verdict: 'not-run', code});
    const next = dispatchTo(stamps, {id: 'r9', path: '/next'}, {}, clock);
    (await client.send(server.ref, next)).unwrap();
    t.match(server.received(), /^GET \/holds\/ward-7\/next /);
  });
}

void tap.test('a truncated request body is never complete', async t => {
  // The caller's connection breaks while its body is streamed. The server must
  // see a broken body, not a shorter one, and the request may have run.
  const client = createServerClient({clock});
  const server = await createRawServer(() => {});
  t.teardown(() => Promise.all([client.close(), server.close()]));
  const req = {method: 'POST', body: failingBody(2)};
  const {val} = await client.send(
    server.ref,
    dispatchTo(stamps, req, {}, clock),
  );
  t.match(val, {verdict: 'may-have-run', code: 'truncated'});
  t.notMatch(server.received(), /\r\n0\r\n\r\n$/, 'no last chunk');
});

void tap.test('no server at the address', async t => {
  const client = createServerClient({clock});
  const server = await createRawServer(() => {});
  await server.close();
  t.teardown(() => client.close());
  const {val} = await client.send(
    server.ref,
    dispatchTo(stamps, {}, {}, clock),
  );
  t.match(val, {verdict: 'not-run', code: 'connection-lost'});
});

void tap.test(
  'hop-by-hop fields and those of the product are not forwarded',
  async t => {
    const client = createServerClient({clock});
    const server = await createRawServer(socket => {
      socket.write(
        `${OK}connection: x-hop\r\nx-hop: 1\r\nbanyandrum-x: 1\r\n` +
          'Set-Cookie: a\r\nset-cookie: b\r\ncontent-length: 0\r\n\r\n',
      );
    });
    t.teardown(() => Promise.all([client.close(), server.close()]));
    const headers = [
      {name: 'accept', value: 'text/plain'},
      {name: 'connection', value: 'close, x-private'},
      {name: 'x-private', value: '1'},
      {name: 'transfer-encoding', value: 'chunked'},
      {name: 'content-length', value: '7'},
      {name: 'host', value: 'elsewhere'},
      {name: 'expect', value: '100-continue'},
      {name: 'banyandrum-fence', value: '99.99'},
    ];
    const dispatch = dispatchTo(
      stamps,
      {headers, once: true, key: 'a/b'},
      {shard: 'k:a વ%'},
      clock,
    );
    const answer = (await client.send(server.ref, dispatch)).unwrap();
    t.same(answer.headers, [
      {name: 'set-cookie', value: 'a'},
      {name: 'set-cookie', value: 'b'},
      {name: 'content-length', value: '0'},
    ]);
    t.same(server.received().trimEnd().split('\r\n'), [
      'GET /holds/a%2Fb HTTP/1.1',
      `host: ${server.ref.address}`,
      'connection: keep-alive',
      'banyandrum-request-id: r1',
      'banyandrum-cell: holds/0',
      'banyandrum-shard: k:a%20%E0%AA%B5%25',
      'banyandrum-fence: 17.3',
      'banyandrum-deadline: b1.30000',
      'banyandrum-start-by: b1.30000',
      'banyandrum-once: 1',
      'accept: text/plain',
    ]);
  },
);

async function* failingBody(pieces: number): AsyncGenerator<Uint8Array> {
  for (let sent = 0; sent < pieces; sent++) yield Buffer.from('piece');
  throw new Error('caller gone');
}
