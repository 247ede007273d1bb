import {once} from 'node:events';
import {connect} from 'node:net';
import tap from 'tap';
import type {Failure} from '@banyandrum/base/failure.js';
import {failure} from '@banyandrum/base/failure.js';
import type {RequestHandler, ServiceRequest} from '@banyandrum/base/request.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import {
  HELLO,
  exchangeRaw,
  finish,
  startCallers,
  type RawAnswer,
} from './fixture.js';

const REQUEST = 'GET /v1/holds/w7 HTTP/1.1\r\nhost: h\r\n';
const ONE_REQUEST = `${REQUEST}connection: close\r\n\r\n`;

interface ControlCase {
  readonly headers: string;
  readonly policyOnce?: boolean;
  readonly expected: Partial<ServiceRequest>;
}

const CONTROLS: readonly ControlCase[] = [
  {headers: '', expected: {deadline: 3000, once: false, caller: '127.0.0.1'}},
  {headers: 'banyandrum-deadline-ms: 100\r\n', expected: {deadline: 1100}},
  {headers: 'banyandrum-deadline-ms: 5000\r\n', expected: {deadline: 6000}},
  {headers: 'banyandrum-deadline-ms: 5001\r\n', expected: {deadline: 6000}},
  {headers: 'banyandrum-once: 1\r\n', expected: {once: true}},
  {headers: 'banyandrum-once: 0\r\n', expected: {once: false}},
  {headers: '', policyOnce: true, expected: {once: true}},
  {
    headers: 'banyandrum-once: 0\r\n',
    policyOnce: true,
    expected: {once: true},
  },
  {
    headers: 'banyandrum-once: 1\r\n',
    policyOnce: true,
    expected: {once: true},
  },
  {headers: 'banyandrum-caller: desk 4\r\n', expected: {caller: 'desk 4'}},
];

void tap.test('what a caller may steer', async t => {
  for (const {headers, policyOnce, expected} of CONTROLS) {
    const policy = {once: policyOnce ?? false};
    const callers = await startCallers(undefined, policy);
    const request = `${REQUEST}connection: close\r\n${headers}\r\n`;
    await exchangeRaw(callers.port, request);
    t.match(callers.seen[0], expected, headers);
    await callers.close();
  }
});

interface FailureCase {
  readonly failed: Failure;
  readonly status: number;
  readonly retry?: readonly [string, string];
}

const FAILURES: readonly FailureCase[] = [
  {failed: failure('not-run', 'bad-request', 'x'), status: 400},
  {failed: failure('not-run', 'unknown-service', 'x'), status: 404},
  {failed: failure('not-run', 'too-large', 'x'), status: 413},
  {
    failed: failure('not-run', 'overloaded', 'x', 1200.5),
    status: 503,
    retry: ['2', '1201'],
  },
  {
    failed: failure('not-run', 'overloaded', 'x'),
    status: 503,
    retry: ['1', '1000'],
  },
  {failed: failure('may-have-run', 'deadline', 'x'), status: 504},
  {failed: failure('not-run', 'cancelled', 'x'), status: 499},
  {
    failed: failure('not-run', 'no-leader', 'x', 0),
    status: 503,
    retry: ['0', '0'],
  },
  {
    failed: failure('not-run', 'no-owner', 'x', 300),
    status: 503,
    retry: ['1', '300'],
  },
  {
    failed: failure('not-run', 'moved', 'x', 200),
    status: 503,
    retry: ['1', '200'],
  },
  {failed: failure('may-have-run', 'fenced', 'x'), status: 503},
  {failed: failure('may-have-run', 'refused', 'x'), status: 503},
  {failed: failure('may-have-run', 'connection-lost', 'x'), status: 502},
  {failed: failure('ran', 'truncated', 'x'), status: 502},
  {failed: failure('may-have-run', 'stopping', 'x'), status: 503},
  {failed: failure('may-have-run', 'internal', 'x'), status: 500},
];

void tap.test('each failure as the caller reads it', async t => {
  for (const {failed, status, retry} of FAILURES) {
    const callers = await startCallers(async () => Err(failed));
    const answer = await exchangeRaw(callers.port, ONE_REQUEST);
    const {verdict, code, detail} = failed;
    t.equal(answer.status, status, code);
    t.match(JSON.parse(answer.body), {verdict, code, detail, status});
    t.equal(answer.headers.get('banyandrum-verdict'), verdict);
    t.equal(answer.headers.get('retry-after'), retry?.[0]);
    t.equal(answer.headers.get('banyandrum-retry-after-ms'), retry?.[1]);
    await callers.close();
  }
});

void tap.test('a handler that throws', async t => {
  const callers = await startCallers(() => {
    throw new Error('a bug');
  });
  t.teardown(callers.close);
  const answer = await exchangeRaw(callers.port, ONE_REQUEST);
  t.equal(answer.status, 500);
  t.match(JSON.parse(answer.body), {verdict: 'may-have-run', code: 'internal'});
});

// The handler never comes back, past its deadline. The caller reads 504 a
// little later with the cautious verdict, and the handler is told to stop. An
// answer that comes after all is released, not sent to anybody.
void tap.test('a handler that overruns its deadline', async t => {
  let released = false;
  let aborted = false;
  async function* late(): AsyncGenerator<Uint8Array> {
    try {
      yield Buffer.from('late');
    } finally {
      released = true;
    }
  }
  const body = late();
  await body.next();
  const callers = await startCallers(async req => {
    await givenUp(req);
    aborted = true;
    return Ok({...HELLO, body});
  });
  t.teardown(callers.close);
  const exchange = exchangeRaw(callers.port, ONE_REQUEST);
  while (callers.seen.length === 0) await callers.clock.advance(0);
  await callers.clock.advance(2249);
  t.equal(aborted, false);
  const answer = await finish(callers.clock, exchange);
  t.equal(answer.status, 504);
  t.match(JSON.parse(answer.body), {verdict: 'may-have-run', code: 'deadline'});
  t.same({aborted, released}, {aborted: true, released: true});
});

// A caller goes away while its request waits: the handler is told, so that
// the request can be taken from its queue.
void tap.test('a caller that goes away', async t => {
  const callers = await startCallers(async req => {
    await givenUp(req);
    return Err(failure('not-run', 'cancelled', 'taken from the queue'));
  });
  t.teardown(callers.close);
  const socket = connect(callers.port, '127.0.0.1');
  socket.write(`${REQUEST}\r\n`);
  while (callers.seen.length === 0) await callers.clock.advance(0);
  socket.destroy();
  while (callers.callers.inFlight() > 0) await callers.clock.advance(0);
  t.equal(callers.seen[0]?.signal.aborted, true);
});

// A caller sends a request and, before the answer, junk on the same
// connection. Node's own 400 would be read as the answer to the request, which
// runs; so the connection is cut without a word.
void tap.test('junk behind a request in flight', async t => {
  const callers = await startCallers(async req => {
    await givenUp(req);
    return Err(failure('may-have-run', 'cancelled', 'the caller is gone'));
  });
  t.teardown(callers.close);
  const answer = await exchangeRaw(
    callers.port,
    `${REQUEST}\r\n`,
    'junk\r\n\r\n',
  );
  t.equal(answer.text, '');
  t.equal(callers.seen.length, 1);
});

interface Gate {
  readonly handle: RequestHandler;
  open(): void;
}

function createGate(): Gate {
  let open = (): void => {};
  const opened = new Promise<void>(resolve => {
    open = resolve;
  });
  const handle: RequestHandler = async req => {
    await Promise.race([opened, givenUp(req)]);
    if (!req.signal.aborted) return Ok(HELLO);
    return Err(failure('may-have-run', 'cancelled', 'aborted'));
  };
  return {handle, open: () => open()};
}

// The router stops while a request is in flight. Readiness goes off, newcomers
// are still served and told to close, and the request gets its whole answer;
// only then does the listener close.
void tap.test('a graceful stop', async t => {
  const gate = createGate();
  const callers = await startCallers(gate.handle);
  callers.callers.setReady(true);
  const ready = 'GET /readyz HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n';
  t.equal((await exchangeRaw(callers.port, ready)).status, 200);
  const first = exchangeRaw(callers.port, `${REQUEST}\r\n`);
  while (callers.seen.length < 1) await callers.clock.advance(0);
  const stopped = callers.callers.stop(5000);
  t.equal((await exchangeRaw(callers.port, ready)).status, 503);
  const second = exchangeRaw(callers.port, `${REQUEST}\r\n`);
  while (callers.seen.length < 2) await callers.clock.advance(0);
  gate.open();
  for (const answer of [await first, await second]) {
    t.equal(answer.status, 200);
    t.equal(answer.headers.get('connection'), 'close');
  }
  t.equal(await stopped, 0);
  const [err] = await once(connect(callers.port, '127.0.0.1'), 'error');
  t.match(err, {code: 'ECONNREFUSED'});
});

// The grace ends before a request does: it is aborted and its caller reads
// the handler's verdict, before its connection is cut.
void tap.test('a stop whose grace ends first', async t => {
  const callers = await startCallers(createGate().handle, {
    deadlineMs: 5000,
  });
  const exchange = exchangeRaw(callers.port, `${REQUEST}\r\n`);
  while (callers.seen.length === 0) await callers.clock.advance(0);
  const stopped = callers.callers.stop(1000, 500);
  const answer = await finish(callers.clock, exchange);
  t.equal(answer.status, 503);
  t.match(JSON.parse(answer.body), {verdict: 'may-have-run', code: 'stopping'});
  t.equal(await finish(callers.clock, stopped), 1);
});

// Guards against handling requests late in a stop whose answer may come after
// its end.
void tap.test('a stop refuses late requests that may outlast it', async t => {
  const gate = createGate();
  let isNoticed = false;
  const callers = await startCallers(req =>
    isNoticed ? Promise.resolve(Ok(HELLO)) : gate.handle(req),
  );
  const first = exchangeRaw(callers.port, `${REQUEST}\r\n`);
  while (callers.seen.length < 1) await callers.clock.advance(0);
  const stopped = callers.callers.stop(1500, 500);
  const withLimit = (ms: number): Promise<RawAnswer> =>
    exchangeRaw(
      callers.port,
      `${REQUEST}banyandrum-deadline-ms: ${ms}\r\n\r\n`,
    );
  const noticed = withLimit(1_600);
  while (callers.seen.length < 2) await callers.clock.advance(0);
  await callers.clock.advance(500);
  isNoticed = true;
  const late = await withLimit(1_001);
  t.equal(late.status, 503);
  t.match(JSON.parse(late.body), {verdict: 'not-run', code: 'stopping'});
  t.equal(late.headers.get('banyandrum-retry-after-ms'), '40');
  t.equal(callers.seen.length, 2, 'it is not handled');
  const fitting = await withLimit(1_000);
  gate.open();
  for (const answer of [await first, await noticed, fitting])
    t.equal(answer.status, 200, 'served');
  t.equal(await finish(callers.clock, stopped), 0);
});

function givenUp({signal}: ServiceRequest): Promise<void> {
  return new Promise(resolve => signal.addEventListener('abort', resolve));
}
