import http from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import {listen} from '@banyandrum/base/listen.js';
import type {ServiceSchema} from 'moleculer';
import ApiGateway from 'moleculer-web';
import type {OperatorToken} from '@banyandrum/base/access.js';
import {createAuthenticate} from '@banyandrum/base/access.js';
import {replyProblem} from './reply.js';
import type {RouteHandler, RoutesConfig} from './routes.js';
import {apiAliases, probeAliases, toApiError} from './routes.js';

/** Where an interface listens; port 0 takes any free one. */
export interface ListenAddress {
  readonly ip: string;
  readonly port: number;
}

export interface OperatorsConfig extends RoutesConfig {
  readonly listen: ListenAddress;
  readonly tokens: readonly OperatorToken[];
}

/** The operators' interface; the router adds its schema to its broker. */
export interface OperatorsService {
  readonly schema: ServiceSchema;
  /** `ip:port` once the service has started. */
  address(): string;
  /** Ends watches, lets other requests finish within `graceMs`, closes. */
  stop(graceMs: number): Promise<void>;
}

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
    if (server !== null) await closeServer(server, clock, graceMs);
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

async function closeServer(
  server: Server,
  clock: Clock,
  graceMs: number,
): Promise<void> {
  if (!server.listening) return;
  const finished = new AbortController();
  const closed = new Promise<void>(resolve => {
    server.close(() => {
      finished.abort();
      resolve();
    });
  });
  server.closeIdleConnections();
  await sleep(clock, graceMs, finished.signal);
  server.closeAllConnections();
  await closed;
}
