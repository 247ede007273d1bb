import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock} from '@banyandrum/base/clock.js';
import {createCanceller} from '@banyandrum/base/cancel.js';
import {sleep} from '@banyandrum/base/clock.js';
import {listen} from '@banyandrum/base/listen.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {RequestHandler} from '@banyandrum/base/request.js';
import type {ServiceSchema} from 'moleculer';
import ApiGateway from 'moleculer-web';
import {serveRequest} from './exchange.js';
import type {InFlight} from './in-flight.js';
import {createInFlight} from './in-flight.js';
import type {PolicyLookup} from './policy.js';
import type {ServerHandler, ServerLimits} from './server.js';
import {DEFAULT_LIMITS, createHttpServer} from './server.js';

/** Where an interface listens; port 0 takes any free one. */
export interface ListenAddress {
  readonly ip: string;
  readonly port: number;
}

export interface CallersConfig {
  readonly listen: ListenAddress;
  readonly handle: RequestHandler;
  readonly policyOf: PolicyLookup;
  readonly log: Logger;
  readonly clock: Clock;
  readonly limits?: Partial<ServerLimits>;
}

/** The callers' interface; the router adds its schema to its broker. */
export interface CallersService {
  readonly schema: ServiceSchema;
  /** `ip:port` once the service has started. */
  address(): string;
  /** What `GET /readyz` tells the balancer; off at first. */
  setReady(ready: boolean): void;
  /** Requests whose answers have not been written to the end. */
  inFlight(): number;
  /**
   * Stops gracefully. For at least `noticeMs`, readiness is off and connections
   * close after their responses, while requests are still served; from then on
   * only those are whose deadline is before the end. Once none is in flight, the
   * listener closes. After `graceMs` in total, the remaining requests are
   * aborted and get their verdict. Resolves to their number.
   */
  stop(graceMs: number, noticeMs?: number): Promise<number>;
}

/** Time for answers to aborted requests, before connections are cut. */
const ABORT_MS = 1000;

interface CallersState {
  readonly config: CallersConfig;
  readonly inFlight: InFlight;
  server: Server | null;
  ready: boolean;
  draining: boolean;
  /** When requests that arrive now end at the latest, monotonic, in ms. */
  endsAt: number;
  /** Set once stopping has begun; yields how many requests were aborted. */
  stopped: Promise<number> | null;
}

type Probe = (state: CallersState) => boolean;

/** Paths of the balancer's probes, and whether they are answered well. */
const PROBES: ReadonlyMap<string, Probe> = new Map<string, Probe>([
  ['/healthz', () => true],
  ['/readyz', ({ready, draining}) => ready && !draining],
]);

/**
 * Creates the callers' HTTP interface as a moleculer-web service.
 *
 * Requests bypass moleculer-web's routing, which would cost about a third of the
 * throughput: a context, a second parse of the URL and several promises per
 * request. The server is our own because moleculer-web sets none of the parser's
 * limits and only logs a failure to listen.
 *
 * @example
 * ```ts
 * const callers = createCallersService({listen, handle, policyOf, log, clock});
 * broker.createService(callers.schema);
 * await broker.start();
 * callers.setReady(true);
 * ```
 */
export function createCallersService(config: CallersConfig): CallersService {
  const limits = {...DEFAULT_LIMITS, ...config.limits};
  const state: CallersState = {
    config,
    inFlight: createInFlight(config.clock),
    server: null,
    ready: false,
    draining: false,
    endsAt: Infinity,
    stopped: null,
  };
  const serve = createServe(state, limits);
  const stop = (graceMs: number, noticeMs = 0): Promise<number> =>
    (state.stopped ??= stopServing(state, graceMs, noticeMs));
  const schema: ServiceSchema = {
    name: 'callers',
    mixins: [ApiGateway],
    settings: {server: false, routes: [], logRouteRegistration: null},
    methods: {httpHandler: serve},
    async started() {
      const {clock, listen: at, log} = config;
      const handler = this['httpHandler'] as ServerHandler;
      state.server = createHttpServer(limits, clock, handler);
      await listen(state.server, at);
      log.info('callers interface listens', {address: addressOf(state)});
    },
    async stopped() {
      await stop(0);
    },
  };
  return {
    schema,
    address: () => addressOf(state),
    setReady: ready => {
      state.ready = ready;
    },
    inFlight: () => state.inFlight.size(),
    stop,
  };
}

function createServe(
  state: CallersState,
  {stallMs}: ServerLimits,
): ServerHandler {
  const {inFlight, config} = state;
  const draining = (): boolean => state.draining;
  const {handle, policyOf, clock, log} = config;
  const endsAt = (): number => state.endsAt;
  const cfg = {handle, policyOf, clock, log, stallMs, draining, endsAt};
  return (req, res, expectsContinue) => {
    const probe = PROBES.get(req.url ?? '');
    if (probe !== undefined) return sendStatus(res, probe(state));
    const controller = createCanceller();
    inFlight.add(controller);
    res.once('close', () => {
      inFlight.delete(controller);
      if (!res.writableFinished) controller.abort();
    });
    void serveRequest(cfg, {req, res, controller, expectsContinue});
  };
}

async function stopServing(
  state: CallersState,
  graceMs: number,
  noticeMs: number,
): Promise<number> {
  const {inFlight, server, config} = state;
  const {clock} = config;
  const end = clock.now() + graceMs;
  state.draining = true;
  if (server === null) return 0;
  if (noticeMs > 0) await sleep(clock, Math.min(noticeMs, graceMs));
  state.endsAt = end;
  const left = (): number => Math.max(0, end - clock.now());
  await inFlight.idleWithin(left());
  const closed = closeServer(server);
  // A partially received request counts once its headers are complete.
  await settleWithin(closed, clock, Math.min(left(), ABORT_MS));
  await inFlight.idleWithin(left());
  const aborted = inFlight.abortAll();
  await inFlight.idleWithin(ABORT_MS);
  server.closeAllConnections();
  await closed;
  return aborted;
}

async function settleWithin(
  task: Promise<void>,
  clock: Clock,
  ms: number,
): Promise<void> {
  if (ms === 0) return;
  const settled = new AbortController();
  void task.then(() => settled.abort());
  await sleep(clock, ms, settled.signal);
}

function addressOf({server}: CallersState): string {
  const {address, port} = server?.address() as AddressInfo;
  return `${address}:${port}`;
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

function sendStatus(res: ServerResponse, good: boolean): void {
  const body = good ? 'ok\n' : 'not ready\n';
  const headers = ['content-type', 'text/plain', 'cache-control', 'no-store'];
  headers.push('content-length', String(body.length));
  res.writeHead(good ? 200 : 503, headers);
  res.end(body);
}
