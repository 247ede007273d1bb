import {Readable} from 'node:stream';
import tap from 'tap';
import {request} from 'undici';
import type {OperatorError} from '@banyandrum/operators/actions.js';
import {
  PUBLISH,
  PUBLISHER_TOKEN,
  VIEWER_TOKEN,
  failing,
  startOperators,
} from './fixture.js';

void tap.test('each call reaches its action with what was sent', async t => {
  const operators = await startOperators();
  t.teardown(operators.close);
  const client = operators.client(PUBLISHER_TOKEN);
  const paul = {name: 'paul', role: 'publisher'};
  const drain = {changeId: 'c-2', target: 's', draining: true, reason: 'old'};
  const attest = {changeId: 'c-3', host: 'entry-3', reason: 'burnt'};
  t.match(await client.state(), {ok: true, val: {version: 3, drains: ['s-1']}});
  t.match(await client.publish(PUBLISH), {val: {changeId: 'c-1', offset: 4}});
  t.match(await client.drain(drain), {val: {offset: 5}});
  t.match(await client.attest(attest), {val: {offset: 6}});
  t.match(await client.change('c-1'), {val: {outcome: 'accepted'}});
  t.match(await client.history(7), {val: {entries: [{author: 'paul'}]}});
  t.match(await client.status(), {val: {host: 'entry-1'}});
  t.match(await client.explain('holds', 'a/b?c %'), {val: {key: 'a/b?c %'}});
  t.match(await client.setLogLevel('debug'), {val: {level: 'debug'}});
  t.same(operators.seen, [
    {action: 'state', operator: null, args: []},
    {action: 'publish', operator: paul, args: [PUBLISH]},
    {action: 'drain', operator: paul, args: [drain]},
    {action: 'attest', operator: paul, args: [attest]},
    {action: 'change', operator: null, args: ['c-1']},
    {action: 'history', operator: null, args: [7]},
    {action: 'explain', operator: null, args: ['holds', 'a/b?c %']},
    {action: 'setLogLevel', operator: paul, args: ['debug']},
  ]);
});

interface OutcomeCase {
  readonly error: OperatorError;
  readonly status: number;
}

const OUTCOMES: readonly OutcomeCase[] = [
  {error: {kind: 'conflict', detail: 'late', inForce: 9}, status: 409},
  {error: {kind: 'invalid', detail: 'bad', problems: ['a', 'b']}, status: 422},
  {error: {kind: 'unknown', detail: 'the log is silent'}, status: 202},
  {error: {kind: 'unavailable', detail: 'no log'}, status: 503},
  {error: {kind: 'forbidden', detail: 'not yours'}, status: 403},
  {error: {kind: 'not-found', detail: 'no such thing'}, status: 404},
];

void tap.test('each outcome of a publication', async t => {
  for (const {error, status} of OUTCOMES) {
    const operators = await startOperators({publish: failing(error)});
    const client = operators.client(PUBLISHER_TOKEN);
    const result = await client.publish(PUBLISH);
    t.ok(result.err, error.kind);
    t.same(result.val, error);
    const raw = await post(operators.origin, JSON.stringify(PUBLISH));
    t.equal(raw.status, status, error.kind);
    if (status === 202) t.equal(raw.body['changeId'], 'c-1');
    await operators.close();
  }
});

// An operator publishes, the record reaches the log, then the code that reads
// it back fails. To answer "failed" would have the operator publish the same
// once more under another change id; so it counts as unknown.
void tap.test('a publication that throws may have been accepted', async t => {
  const operators = await startOperators({
    publish: () => {
      throw new Error('read-back failed');
    },
  });
  t.teardown(operators.close);
  const result = await operators.client(PUBLISHER_TOKEN).publish(PUBLISH);
  t.match(result.val, {kind: 'unknown', detail: /change id/});
});

// The log takes the append but never answers. The operator is told after 30 s
// that the outcome is unknown, and not left waiting.
void tap.test('a publication without an end is unknown', async t => {
  const operators = await startOperators({
    publish: () => {
      void operators.clock.advance(30_000);
      return new Promise(() => {});
    },
  });
  t.teardown(operators.close);
  const result = await operators.client(PUBLISHER_TOKEN).publish(PUBLISH);
  t.match(result.val, {kind: 'unknown'});
});

interface AccessCase {
  readonly name: string;
  readonly authorization?: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly status: number;
}

const NEEDS_TOKEN: readonly AccessCase[] = [
  'state',
  'publication',
  'status',
  'changes/c-1',
  'history',
  'explain/holds/w7',
  'watch',
].map(path => ({name: path, method: 'GET', path: `/v1/${path}`, status: 401}));

const ACCESS: readonly AccessCase[] = [
  ...NEEDS_TOKEN,
  {name: 'metrics', method: 'GET', path: '/metrics', status: 401},
  {name: 'liveness', method: 'GET', path: '/healthz', status: 200},
  {name: 'readiness', method: 'GET', path: '/readyz', status: 503},
  {
    name: 'unknown token',
    authorization: 'Bearer wrong',
    method: 'GET',
    path: '/v1/state',
    status: 401,
  },
  {
    name: 'another scheme',
    authorization: `Basic ${VIEWER_TOKEN}`,
    method: 'GET',
    path: '/v1/state',
    status: 401,
  },
  {
    name: 'no token, no body read',
    method: 'POST',
    path: '/v1/publications',
    status: 401,
  },
  {
    name: 'metrics for a viewer',
    authorization: `Bearer ${VIEWER_TOKEN}`,
    method: 'GET',
    path: '/metrics',
    status: 200,
  },
  {
    name: 'unknown endpoint',
    authorization: `Bearer ${VIEWER_TOKEN}`,
    method: 'GET',
    path: '/v1/nothing',
    status: 404,
  },
  ...(['publications', 'drains', 'attestations'] as const).map(path => ({
    name: `viewer changes ${path}`,
    authorization: `Bearer ${VIEWER_TOKEN}`,
    method: 'POST' as const,
    path: `/v1/${path}`,
    status: 403,
  })),
  {
    name: 'viewer changes the log level',
    authorization: `Bearer ${VIEWER_TOKEN}`,
    method: 'PUT',
    path: '/v1/log-level',
    status: 403,
  },
];

void tap.test('access', async t => {
  const operators = await startOperators();
  t.teardown(operators.close);
  for (const {name, authorization, method, path, status} of ACCESS) {
    const res = await request(operators.origin + path, {
      method,
      headers: authorization === undefined ? {} : {authorization},
      body: method === 'GET' ? null : JSON.stringify(PUBLISH),
    });
    t.equal(res.statusCode, status, name);
    const text = await res.body.text();
    if (status >= 400 && status < 500) {
      t.match(JSON.parse(text), {status, detail: /./}, name);
    }
  }
  t.same(operators.seen, []);
});

interface JunkCase {
  readonly name: string;
  readonly body: string | Buffer;
  readonly contentType?: string;
  readonly status: number;
  readonly kind: string;
}

const JUNK: readonly JunkCase[] = [
  {name: 'nothing', body: '', status: 400, kind: 'bad-request'},
  {
    name: 'half a JSON',
    body: '{"changeId": "c',
    status: 400,
    kind: 'bad-request',
  },
  {
    name: 'bytes',
    body: Buffer.from([0xff, 0xfe, 0, 1]),
    status: 400,
    kind: 'bad-request',
  },
  {name: 'null', body: 'null', status: 400, kind: 'bad-request'},
  {name: 'an array', body: '[]', status: 400, kind: 'bad-request'},
  {
    name: 'a form',
    body: 'changeId=c-1',
    contentType: 'application/x-www-form-urlencoded',
    status: 400,
    kind: 'bad-request',
  },
  ...[
    {reason: ''},
    {changeId: '../x'},
    {basedOn: -1},
    {basedOn: '3'},
    {rulesToml: null},
    {author: 'mallory'},
  ].map(change => ({
    name: JSON.stringify(change),
    body: JSON.stringify({...PUBLISH, ...change}),
    status: 400,
    kind: 'bad-request',
  })),
  {
    name: 'a body above the limit',
    body: JSON.stringify({...PUBLISH, rulesToml: ' '.repeat(70_000)}),
    status: 413,
    kind: 'too-large',
  },
];

void tap.test('junk is one clear error and changes nothing', async t => {
  const operators = await startOperators({}, {maxBodyBytes: 64 * 1024});
  t.teardown(operators.close);
  for (const {name, body, contentType, status, kind} of JUNK) {
    const raw = await post(operators.origin, body, contentType);
    t.equal(raw.status, status, name);
    t.match(raw.body, {kind, status, detail: /./}, name);
  }
  const chunked = await post(operators.origin, endless(70_000));
  t.equal(chunked.status, 413, 'above the limit without a length');
  t.same(operators.seen, []);
  const limits = ['0', '-1', '1001', 'many', '1e2'];
  for (const limit of limits) {
    const res = await request(`${operators.origin}/v1/history?limit=${limit}`, {
      headers: {authorization: `Bearer ${VIEWER_TOKEN}`},
    });
    t.equal(res.statusCode, 400, `limit ${limit}`);
    await res.body.dump();
  }
});

function endless(bytes: number): Readable {
  const chunk = Buffer.alloc(1000, ' ');
  return Readable.from(new Array<Buffer>(bytes / chunk.length).fill(chunk));
}

async function post(
  origin: string,
  body: string | Buffer | Readable,
  contentType = 'application/json',
): Promise<{status: number; body: Record<string, unknown>}> {
  const res = await request(`${origin}/v1/publications`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${PUBLISHER_TOKEN}`,
      'content-type': contentType,
    },
    body,
  });
  const parsed = (await res.body.json()) as Record<string, unknown>;
  return {status: res.statusCode, body: parsed};
}
