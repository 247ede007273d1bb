import tap from 'tap';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {createCanceller, STOPPING} from '@banyandrum/base/cancel.js';
import {createClock} from '@banyandrum/base/clock.js';
import {createBackends, type Backends} from '@banyandrum/dispatch/backends.js';
import type {
  CarriedAttempt,
  CarriedResult,
} from '@banyandrum/dispatch/carriers.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createServerPaths} from '@banyandrum/dispatch/server-paths.js';
import {createServerRests} from '@banyandrum/dispatch/server-rests.js';
import type {WireNames} from '@banyandrum/dispatch/wire.js';
import {
  createCarryClient,
  type CarryClient,
} from '@banyandrum/gateway/carry-client.js';
import {
  createCarryServer,
  type CarryServer,
} from '@banyandrum/gateway/carry-server.js';
import {LINK_SERVICE} from '@banyandrum/gateway/link-messages.js';
import {createServerReach} from '@banyandrum/gateway/server-reach.js';
import {Server as GrpcServer, ServerCredentials} from '@grpc/grpc-js';

const HOST = '127.0.0.1';
const NAMES: WireNames = {
  ...{requestId: 'x-request', deadlineMs: 'x-deadline', limit: 'x-limit'},
  ...{expectedServer: 'x-expect', signature: 'x-signature', load: 'x-load'},
  ...{
    notRun: 'x-not-run',
    leaving: 'x-leaving',
    retryAfter: 'retry-after',
    coldMs: 'x-cold',
  },
  ...{key: 'x-key', serverId: 'x-server'},
};

/** A backend server, a carrier that reaches it, and the carrier's client. */
interface Harness {
  readonly server: Server;
  readonly carryServer: CarryServer;
  readonly grpcServer: GrpcServer;
  readonly carriers: CarryClient;
  readonly backends: Backends;
  /** `ip:port` of the carrier. */
  readonly address: string;
  /** Requests that reached the server, with their bodies. */
  readonly arrivals: {readonly req: IncomingMessage; readonly body: Buffer}[];
  /** Names of all logged events. */
  readonly events: readonly string[];
  close(): void;
}

interface HarnessOptions {
  /** Header fields of its health answer; null if the carrier gets none. */
  readonly health?: ReadonlyMap<string, string> | null;
  /** Time until the server answers, in ms; null: never. */
  readonly answerAfterMs?: number | null;
  readonly responseBody?: Buffer;
  /** Further routers to ask, before the carrier. */
  readonly others?: readonly string[];
  readonly isLeaving?: boolean;
}

async function startHarness(options: HarnessOptions = {}): Promise<Harness> {
  const {answerAfterMs = 10, responseBody = Buffer.from('ok')} = options;
  const arrivals: Harness['arrivals'] = [];
  const server = createServer(async (req, res) => {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    arrivals.push({req, body: Buffer.concat(chunks)});
    if (answerAfterMs === null) return;
    setTimeout(() => {
      const length = {'content-length': String(responseBody.length)};
      res.writeHead(200, {'X-Signature': 's', ...length}).end(responseBody);
    }, answerAfterMs);
  });
  await new Promise<void>(resolve => {
    server.listen(0, HOST, resolve);
  });
  const {port} = server.address() as AddressInfo;
  const clock = createClock();
  const events: string[] = [];
  const emit = (event: string): void => void events.push(event);
  const backends = createBackends(clock);
  backends.update([
    {
      ...{id: 's1', service: 'holds', address: `${HOST}:${port}`, slots: 4},
      ...{dataCentre: 'a', isLeaving: options.isLeaving ?? false, coldUntil: 0},
    },
  ]);
  const probe = async (): Promise<'open'> => 'open';
  const carryServer = createCarryServer({
    ...{backends, clock, emit, names: NAMES, probe},
    askHealth: async () => options.health ?? null,
    paths: createServerPaths({
      ...{clock, emit, backendOf: backends.get, probe: async () => 'silent'},
    }),
    limits: createServerLimits({clock, emit}),
    rests: createServerRests({clock, emit}),
    lagMs: () => 0,
    pollDelayMs: () => 0,
    catchUp: () => null,
    noteLeaving: () => undefined,
  });
  const {grpcServer, address} = await startGrpc(carryServer);
  const candidates = [...(options.others ?? []), address];
  const carriers = createCarryClient({
    clock,
    emit,
    candidates: () => candidates,
  });
  return {
    ...{server, carryServer, grpcServer, carriers, address, arrivals, events},
    backends,
    close() {
      carriers.stop();
      grpcServer.forceShutdown();
      backends.update([]);
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Starts a router's interface to others; without `carry` if it is old. */
async function startGrpc(
  carryServer: CarryServer | null,
): Promise<{grpcServer: GrpcServer; address: string}> {
  const grpcServer = new GrpcServer({'grpc.max_receive_message_length': -1});
  const {carry, ...older} = LINK_SERVICE;
  const unused = {follow: () => undefined, lead: () => undefined};
  if (carryServer === null) grpcServer.addService(older, unused);
  else {
    const handlers = {...unused, carry: carryServer.handle};
    grpcServer.addService({...older, carry}, handlers);
  }
  const port = await new Promise<number>((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    grpcServer.bindAsync(`${HOST}:0`, credentials, (err, bound) =>
      err === null ? resolve(bound) : reject(err),
    );
  });
  return {grpcServer, address: `${HOST}:${port}`};
}

const ATTEMPT: CarriedAttempt = {
  ...{server: 's1', requestId: 'r1', method: 'POST', path: '/holds/7?x=1'},
  headers: ['X-Request', 'r1', 'X-Other', 'a, b'],
  ...{body: Buffer.from('bed'), withinMs: 1_000, isRepeatable: false},
};

function send(
  {carriers}: Harness,
  part: Partial<CarriedAttempt> = {},
  signal = createCanceller().signal,
  sendSignal = signal,
): Promise<CarriedResult> {
  return carriers.send({...ATTEMPT, ...part}, {signal, sendSignal});
}

/** The result's kinds, for comparison: `sent answered`, `sent lost timeout`. */
function describe(carried: CarriedResult): string {
  if (carried.kind !== 'sent') return carried.kind;
  const {result} = carried;
  if (result.kind === 'answered') return 'sent answered';
  return `sent lost ${result.reason}${result.isWritten ? ' written' : ''}`;
}

void tap.test('a carried request and its answer are unchanged', async t => {
  const responseBody = Buffer.alloc(6_000_000, 'r');
  const harness = await startHarness({responseBody});
  const body = Buffer.alloc(5_000_000, 'q');
  const carried = await send(harness, {body});
  t.equal(describe(carried), 'sent answered');
  const [arrival] = harness.arrivals;
  t.ok(arrival!.body.equals(body));
  t.equal(arrival!.req.url, '/holds/7?x=1');
  t.equal(arrival!.req.headers['x-other'], 'a, b');
  t.equal(arrival!.req.headers['x-expect'], 's1');
  t.ok(Number(arrival!.req.headers['x-deadline']) <= 1_000);
  if (carried.kind === 'sent' && carried.result.kind === 'answered') {
    const {answer} = carried.result;
    t.ok(answer.body.equals(responseBody));
    t.equal(answer.fields.get('x-signature'), 's');
    t.ok(answer.headers.includes('X-Signature'), 'its own capitals');
  }
  harness.close();
});

// Guards against a carried request that runs on after its caller has left.
void tap.test('a caller that leaves ends the carried request', async t => {
  const harness = await startHarness({answerAfterMs: null});
  const closed = new Promise<void>(resolve => {
    harness.server.on('connection', (socket: Socket) => {
      socket.once('close', () => resolve());
      socket.on('error', () => undefined);
    });
  });
  const canceller = createCanceller();
  const sending = send(harness, {}, canceller.signal);
  while (harness.arrivals.length === 0) await sleep(10);
  canceller.abort();
  t.equal(describe(await sending), 'sent lost cancelled written');
  await closed;
  while (harness.carryServer.inFlight() > 0) await sleep(10);
  harness.close();
});

// Guards against handing a request to a carrier after the last one may be sent.
void tap.test('a stop hands no request to a carrier', async t => {
  const harness = await startHarness();
  const {signal} = createCanceller();
  const sending = createCanceller();
  const sent = send(harness, {}, signal, sending.signal);
  sending.abort(STOPPING);
  t.equal(describe(await sent), 'unavailable');
  await sleep(50);
  t.equal(harness.arrivals.length, 0);
  harness.close();
});

// Guards against breaking off a carried request that its server works on.
void tap.test('a stop awaits the result of a carrier', async t => {
  const harness = await startHarness({answerAfterMs: 100});
  const {signal} = createCanceller();
  const sending = createCanceller();
  const sent = send(harness, {}, signal, sending.signal);
  while (harness.arrivals.length === 0) await sleep(10);
  sending.abort(STOPPING);
  t.equal(describe(await sent), 'sent answered');
  harness.close();
});

// Guards against a promise that a request was not run that may have run, and
// against sending it once more.
void tap.test('a carrier that is lost leaves the outcome unknown', async t => {
  const harness = await startHarness({answerAfterMs: null});
  const sending = send(harness);
  while (harness.arrivals.length === 0) await sleep(10);
  harness.grpcServer.forceShutdown();
  t.equal(describe(await sending), 'sent lost carrier-lost written');
  t.equal(harness.arrivals.length, 1);
  t.notOk(harness.carriers.isAvailable(), 'not asked again at once');
  harness.close();
});

void tap.test('the deadline holds for a carried request', async t => {
  const harness = await startHarness({answerAfterMs: null});
  const startedAt = performance.now();
  const carried = await send(harness, {withinMs: 300});
  t.match(describe(carried), /^sent lost timeout written$/);
  t.ok(performance.now() - startedAt < 500);
  harness.close();
});

// Guards against giving up after routers that are lost, too old, or cut off as
// well, while another one reaches the server.
void tap.test('routers that can’t carry are passed over', async t => {
  const old = await startGrpc(null);
  const cutOff = [await startHarness(), await startHarness()];
  for (const {server} of cutOff) {
    await new Promise(resolve => server.close(resolve));
  }
  const others = [...cutOff.map(({address}) => address), old.address];
  const harness = await startHarness({others: [...others, `${HOST}:1`]});
  for (let at = 0; at < 3; at++)
    t.equal(describe(await send(harness)), 'sent answered');
  t.equal(harness.arrivals.length, 3);
  old.grpcServer.forceShutdown();
  [...cutOff, harness].forEach(each => each.close());
});

void tap.test('what a carrier refuses was not sent', async t => {
  const harness = await startHarness({isLeaving: true});
  t.equal(describe(await send(harness)), 'unavailable', 'a leaving server');
  t.equal(describe(await send(harness, {server: 's2'})), 'unavailable');
  harness.carryServer.startClosing();
  t.equal(describe(await send(harness)), 'unavailable');
  t.equal(harness.arrivals.length, 0);
  harness.close();
});

// Guards against a second detour, and against taking the word of a router that
// is cut off itself.
void tap.test('a carrier that can’t reach the server says so', async t => {
  const harness = await startHarness();
  harness.server.closeAllConnections();
  await new Promise(resolve => harness.server.close(resolve));
  t.equal(describe(await send(harness)), 'unavailable', 'it reached nobody');
  harness.close();
});

void tap.test('a carrier that stops completes what it carries', async t => {
  const harness = await startHarness({answerAfterMs: 200});
  const sending = send(harness);
  while (harness.arrivals.length === 0) await sleep(10);
  harness.carryServer.startClosing();
  t.equal(harness.carryServer.inFlight(), 1);
  t.equal(describe(await sending), 'sent answered');
  harness.close();
});

// Guards against routers that all ask the next leaders to reach servers which
// nobody reaches: a new leader was too busy for anything else.
void tap.test('lost servers don’t keep the carriers busy', async t => {
  const harness = await startHarness();
  harness.server.closeAllConnections();
  await new Promise(resolve => harness.server.close(resolve));
  const countAsked = (): number =>
    harness.events.filter(event => event === 'carried').length;
  for (let at = 0; at < 12; at++)
    t.equal(describe(await send(harness)), 'unavailable');
  t.equal(countAsked(), 5, 'not asked again for a while');
  await sleep(350);
  await send(harness);
  t.equal(countAsked(), 6, 'then it is tried once more');
  harness.close();
});

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

const COLD = new Map([['x-cold', '2100']]);

// Guards against a leader that is cut off from servers and store, and takes a server
// that has turned cold for a warm one.
for (const [name, own] of [
  ['gets no answer', new Promise<null>(() => undefined)],
  ['is refused', Promise.resolve(null)],
] as const) {
  void tap.test(`another router asks for one that ${name}`, async t => {
    const harness = await startHarness({health: COLD});
    const {backends, address} = harness;
    const reach = createServerReach({
      ...{clock: createClock(), emit: () => undefined, backends},
      carrierAddresses: () => [address],
      askHealthDirectly: () => own,
    });
    const fields = await reach.askHealth(backends.get('s1')!, '/health');
    t.same(fields, COLD);
    reach.stop();
    harness.close();
  });
}

// Guards against questions by others beside each own one.
void tap.test('no other router asks if an answer comes', async t => {
  const harness = await startHarness({health: new Map()});
  const {backends, address} = harness;
  const reach = createServerReach({
    ...{clock: createClock(), emit: () => undefined, backends},
    carrierAddresses: () => [address],
    askHealthDirectly: async () => COLD,
  });
  t.same(await reach.askHealth(backends.get('s1')!, '/health'), COLD);
  reach.stop();
  harness.close();
});

void tap.test('a server that nobody reaches tells nothing', async t => {
  const {carriers, close} = await startHarness({health: null});
  t.equal(await carriers.askHealth('s1', '/health'), null);
  t.equal(
    await carriers.askHealth('s2', '/health'),
    null,
    'nor an unknown one',
  );
  close();
});

// Guards against a server without a working health endpoint that gets no requests
// while one router after another asks it.
void tap.test('one other router that gets no answer is enough', async t => {
  const silent = await startHarness({health: null});
  const {carriers, close} = await startHarness({
    health: COLD,
    others: [silent.address],
  });
  t.equal(await carriers.askHealth('s1', '/health'), null);
  close();
  silent.close();
});
