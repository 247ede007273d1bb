import http from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {ServiceSchema} from 'moleculer';
import ApiGateway from 'moleculer-web';
import type {Registry} from 'prom-client';
import type {Authenticate, OperatorToken} from './access.js';
import {createAuthenticate, mayActAs} from './access.js';
import type {Operator, OperatorActions, Role} from './actions.js';
import type {Endpoint} from './endpoints.js';
import {ENDPOINTS} from './endpoints.js';
import type {ApiError} from './problem.js';
import type {ApiExchange} from './reply.js';
import {reply, replyJson, replyProblem} from './reply.js';
import {streamEvents} from './watch.js';

/** Where an interface listens; port 0 takes any free one. */
export interface ListenAddress {
  readonly ip: string;
  readonly port: number;
}

/** What the platform's probes are told. */
export interface Health {
  /** Whether the process works at all; false has it replaced. */
  live(): boolean;
  /** Whether it should get requests now. */
  ready(): boolean;
}

export interface OperatorsConfig {
  readonly listen: ListenAddress;
  readonly tokens: readonly OperatorToken[];
  readonly actions: OperatorActions;
  readonly metrics: Registry;
  readonly health: Health;
  readonly log: Logger;
  readonly clock: Clock;
  /** Whether `/metrics` needs no token. */
  readonly openMetrics?: boolean;
  readonly maxBodyBytes?: number;
}

/** The operators' interface; the router adds its schema to its broker. */
export interface OperatorsService {
  readonly schema: ServiceSchema;
  /** `ip:port` once the service has started. */
  address(): string;
  /** Ends watches, lets other requests finish within `graceMs`, closes. */
  stop(graceMs: number): Promise<void>;
}

type RouteHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** moleculer-web's request: with the parameters of path and query. */
interface RoutedRequest extends IncomingMessage {
  readonly $params?: Readonly<Record<string, unknown>>;
}

/** Both texts of a publication, escaped in JSON, and the rest. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

const SERVER_OPTIONS = {
  insecureHTTPParser: false,
  maxHeaderSize: 16 * 1024,
  headersTimeout: 10_000,
  requestTimeout: 30_000,
  connectionsCheckingInterval: 1000,
} as const;
const MAX_CONNECTIONS = 256;

/**
 * The operators' HTTP interface as a service on moleculer-web, on an address
 * of its own. Throws on a malformed token digest.
 *
 * @example
 * ```ts
 * const operators = createOperatorsService(config);
 * broker.createService(operators.schema);
 * await broker.start();
 * ```
 */
export function createOperatorsService(
  config: OperatorsConfig,
): OperatorsService {
  const {clock, log} = config;
  const authenticate = createAuthenticate(config.tokens);
  const stopping = new AbortController();
  let server: Server | null = null;

  const address = (): string => {
    const {address, port} = server?.address() as AddressInfo;
    return `${address}:${port}`;
  };

  const stop = async (graceMs: number): Promise<void> => {
    stopping.abort();
    if (server === null || !server.listening) return;
    const closing = server;
    const closed = new Promise<void>(resolve => {
      closing.close(() => resolve());
    });
    closing.closeIdleConnections();
    const waited = new AbortController();
    await Promise.race([closed, sleep(clock, graceMs, waited.signal)]);
    waited.abort();
    closing.closeAllConnections();
    await closed;
  };

  const schema: ServiceSchema = {
    name: 'operators',
    mixins: [ApiGateway],
    settings: {
      server: false,
      logRequest: null,
      logResponse: null,
      logRouteRegistration: null,
      routes: [
        {
          path: '/v1',
          bodyParsers: false,
          aliases: apiAliases(config, authenticate, stopping.signal),
        },
        {
          path: '/',
          bodyParsers: false,
          aliases: probeAliases(config, authenticate),
        },
      ],
    },
    methods: {
      /** Replaces the gateway's own error answers. */
      sendError(req: IncomingMessage, res: ServerResponse, err: unknown) {
        replyProblem({req, res}, toApiError(err, log));
      },
    },
    async started() {
      server = http.createServer(
        SERVER_OPTIONS,
        this['httpHandler'] as RouteHandler,
      );
      server.maxConnections = MAX_CONNECTIONS;
      await listen(server, config.listen);
      log.info('operators interface listens', {address: address()});
    },
    async stopped() {
      await stop(0);
    },
  };
  return {schema, address, stop};
}

function apiAliases(
  config: OperatorsConfig,
  authenticate: Authenticate,
  stopping: AbortSignal,
): Readonly<Record<string, RouteHandler>> {
  const {actions, clock, log} = config;
  const aliases: Record<string, RouteHandler> = {};
  for (const endpoint of ENDPOINTS) {
    aliases[endpoint.route] = guard(
      authenticate,
      endpoint.role,
      (exchange, operator) => {
        void runEndpoint(config, endpoint, exchange, operator);
      },
    );
  }
  aliases['GET watch'] = guard(authenticate, 'viewer', exchange => {
    streamEvents(exchange, actions, clock, stopping).catch((err: unknown) => {
      log.warn('watch failed', {detail: String(err)});
    });
  });
  return aliases;
}

function probeAliases(
  config: OperatorsConfig,
  authenticate: Authenticate,
): Readonly<Record<string, RouteHandler>> {
  const {health, metrics, log} = config;
  const sendMetrics = (exchange: ApiExchange): void => {
    metrics.metrics().then(
      text => reply(exchange, 200, metrics.contentType, text),
      (err: unknown) => replyProblem(exchange, toApiError(err, log)),
    );
  };
  return {
    'GET healthz': (req, res) => sendProbe({req, res}, health.live()),
    'GET readyz': (req, res) => sendProbe({req, res}, health.ready()),
    'GET metrics': config.openMetrics
      ? (req, res) => sendMetrics({req, res})
      : guard(authenticate, 'viewer', sendMetrics),
  };
}

/** Lets only those through whose token allows the role. */
function guard(
  authenticate: Authenticate,
  role: Role,
  run: (exchange: ApiExchange, operator: Operator) => void,
): RouteHandler {
  return (req, res) => {
    const operator = authenticate(req.headers.authorization);
    if (operator === null) {
      const detail = 'a bearer token is needed';
      return replyProblem({req, res}, {kind: 'unauthorised', detail});
    }
    if (!mayActAs(operator, role)) {
      const detail = `${operator.name} is no ${role}`;
      return replyProblem({req, res}, {kind: 'forbidden', detail});
    }
    run({req, res}, operator);
  };
}

async function runEndpoint(
  config: OperatorsConfig,
  endpoint: Endpoint,
  exchange: ApiExchange,
  operator: Operator,
): Promise<void> {
  const {req} = exchange;
  const params = (req as RoutedRequest).$params ?? {};
  const maxBodyBytes = config.maxBodyBytes ?? MAX_BODY_BYTES;
  try {
    const {clock} = config;
    const request = {req, operator, params, maxBodyBytes, clock};
    const result = await endpoint.run(config.actions, request);
    if (result.err) return replyProblem(exchange, result.val);
    replyJson(exchange, result.val.status, result.val.body);
  } catch (err) {
    replyProblem(exchange, toApiError(err, config.log));
  }
}

function sendProbe(exchange: ApiExchange, good: boolean): void {
  const text = good ? 'ok\n' : 'not ready\n';
  reply(exchange, good ? 200 : 503, 'text/plain', text);
}

/** The gateway throws errors with an HTTP status as their code. */
function toApiError(err: unknown, log: Logger): ApiError {
  const {code, message} = err as {code?: unknown; message?: unknown};
  if (code === 404) return {kind: 'not-found', detail: 'no such endpoint'};
  if (typeof code === 'number' && code >= 400 && code < 500) {
    return {kind: 'bad-request', detail: String(message)};
  }
  log.error('operators request failed', {detail: String(message)});
  return {kind: 'internal', detail: 'see the log of the router'};
}

function listen(server: Server, {ip, port}: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
