import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {RequestHandler} from '@banyandrum/base/request.js';
import type {ServiceSchema} from 'moleculer';
import ApiGateway from 'moleculer-web';
import type {ExchangeConfig} from './exchange.js';
import {serveRequest} from './exchange.js';
import type {PolicyLookup} from './policy.js';
import type {ServerLimits} from './server.js';
import {DEFAULT_LIMITS, createHttpServer, listen} from './server.js';

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
   * Stops gracefully: readiness goes off and connections close after their
   * answers, while requests are still served, for `noticeMs` at least; when
   * none is in flight the listener closes. After `graceMs` in all, the rest
   * is aborted, answered with its verdict and then cut. Yields how many
   * requests were aborted.
   */
  stop(graceMs: number, noticeMs?: number): Promise<number>;
}

/** Time for answers to aborted requests, before connections are cut. */
const ABORT_MS = 1000;
const READY_PATH = '/readyz';
const LIVE_PATH = '/healthz';

/**
 * The callers' HTTP interface as a service on moleculer-web.
 *
 * The gateway hands its requests to the exchange before its own routing: that
 * costs a context, a URL parse and several promises for each request, and
 * keeps half the throughput of the bare server.
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
  const {clock} = config;
  const limits = {...DEFAULT_LIMITS, ...config.limits};
  const active = new Set<AbortController>();
  const whenIdle = new Set<() => void>();
  let server: Server | null = null;
  let ready = false;
  let draining = false;
  let stopping: Promise<number> | null = null;

  const exchangeConfig: ExchangeConfig = {
    handle: config.handle,
    policyOf: config.policyOf,
    clock,
    log: config.log,
    stallMs: limits.stallMs,
    draining: () => draining,
  };

  const serve = (
    req: IncomingMessage,
    res: ServerResponse,
    expectsContinue: boolean,
  ): void => {
    if (req.url === READY_PATH) return sendStatus(res, ready && !draining);
    if (req.url === LIVE_PATH) return sendStatus(res, true);
    const controller = new AbortController();
    active.add(controller);
    res.once('close', () => {
      active.delete(controller);
      if (!res.writableFinished) controller.abort();
      if (active.size === 0) whenIdle.forEach(notify => notify());
    });
    const arrival = {req, res, controller, expectsContinue};
    void serveRequest(exchangeConfig, arrival);
  };

  const idle = (signal: AbortSignal): Promise<void> =>
    new Promise(resolve => {
      if (active.size === 0) return resolve();
      whenIdle.add(resolve);
      signal.addEventListener('abort', () => whenIdle.delete(resolve));
    });

  const idleWithin = async (ms: number): Promise<void> => {
    if (active.size === 0) return;
    const ended = new AbortController();
    await Promise.race([idle(ended.signal), sleep(clock, ms, ended.signal)]);
    ended.abort();
  };

  const stop = async (graceMs: number, noticeMs: number): Promise<number> => {
    const end = clock.now() + graceMs;
    draining = true;
    if (server === null) return 0;
    if (noticeMs > 0) await sleep(clock, Math.min(noticeMs, graceMs));
    await idleWithin(Math.max(0, end - clock.now()));
    const closed = closeServer(server);
    const aborted = active.size;
    for (const controller of active) controller.abort();
    if (aborted > 0) await idleWithin(ABORT_MS);
    server.closeAllConnections();
    await closed;
    return aborted;
  };

  const stopOnce = (graceMs: number, noticeMs = 0): Promise<number> =>
    (stopping ??= stop(graceMs, noticeMs));

  const schema: ServiceSchema = {
    name: 'callers',
    mixins: [ApiGateway],
    settings: {server: false, routes: [], logRouteRegistration: null},
    methods: {
      httpHandler: serve,
    },
    async started() {
      server = createHttpServer(
        limits,
        clock,
        this['httpHandler'] as typeof serve,
      );
      await listen(server, config.listen.ip, config.listen.port);
      config.log.info('callers interface listens', {address: address()});
    },
    async stopped() {
      await stopOnce(0);
    },
  };

  const address = (): string => {
    const {address, port} = server?.address() as AddressInfo;
    return `${address}:${port}`;
  };

  return {
    schema,
    address,
    setReady: value => {
      ready = value;
    },
    inFlight: () => active.size,
    stop: stopOnce,
  };
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
