import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {Registry} from 'prom-client';
import type {Authenticate} from '@banyandrum/base/access.js';
import {hasRole} from '@banyandrum/base/access.js';
import type {Operator, OperatorActions, Role} from './actions.js';
import type {Endpoint} from './endpoints.js';
import {ENDPOINTS} from './endpoints.js';
import type {ApiError} from './problem.js';
import type {ApiExchange} from './reply.js';
import {reply, replyJson, replyProblem} from './reply.js';
import {streamEvents} from './watch.js';

/** What the platform's probes are told. */
export interface Health {
  /** Whether the process works at all; false has it replaced. */
  live(): boolean;
  /** Whether it should get requests now. */
  ready(): boolean;
}

/** What the routes need of the process. */
export interface RoutesConfig {
  readonly actions: OperatorActions;
  readonly metrics: Registry;
  readonly health: Health;
  readonly log: Logger;
  readonly clock: Clock;
  /** Whether `/metrics` needs no token. */
  readonly openMetrics?: boolean;
  readonly maxBodyBytes?: number;
}

export type RouteHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** moleculer-web's request: with the parameters of path and query. */
interface RoutedRequest extends IncomingMessage {
  readonly $params?: Readonly<Record<string, unknown>>;
}

/** Both texts of a publication, escaped in JSON, and the rest. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Handlers of the API by method and path, access checked. */
export function apiAliases(
  config: RoutesConfig,
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

/** Handlers for the platform's probes and its metrics collector. */
export function probeAliases(
  config: RoutesConfig,
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
    if (!hasRole(operator, role)) {
      const detail = `${operator.name} is no ${role}`;
      return replyProblem({req, res}, {kind: 'forbidden', detail});
    }
    run({req, res}, operator);
  };
}

async function runEndpoint(
  config: RoutesConfig,
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
export function toApiError(err: unknown, log: Logger): ApiError {
  const {code, message} = err as {code?: unknown; message?: unknown};
  if (code === 404) return {kind: 'not-found', detail: 'no such endpoint'};
  if (typeof code === 'number' && code >= 400 && code < 500) {
    return {kind: 'bad-request', detail: String(message)};
  }
  log.error('operators request failed', {detail: String(message)});
  return {kind: 'internal', detail: 'see the log of the router'};
}
