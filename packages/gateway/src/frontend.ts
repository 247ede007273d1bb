import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {createCanceller} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import {failure} from '@banyandrum/base/failure.js';
import {createId} from '@banyandrum/base/ids.js';
import {
  contentsOf,
  type Asked,
  type Contents,
} from '@banyandrum/dispatch/content.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import {forward} from '@banyandrum/dispatch/forward.js';
import type {ForwardConfig} from '@banyandrum/dispatch/journey.js';
import type {Route, RoutingConfig} from '@banyandrum/routing/config.js';
import {matchRoute} from '@banyandrum/routing/match-route.js';
import type {Splitter} from '@banyandrum/routing/split.js';
import {createRetryAges, type RetryAges} from './retry-ages.js';
import {
  callerTimeoutMs,
  forwardedHeaders,
  headerValue,
  headerBytes,
  strippedHeaders,
  readKey,
  type StrippedHeaders,
} from './caller-headers.js';
import {readBody} from './read-body.js';
import {createRequestPipelines, type RequestPipelines} from './request-pipelines.js';
import {sendResponse, statusOfFailure, type FrontendResponse} from './write-response.js';

/** What the callers' interface needs. */
export interface FrontendConfig {
  readonly forward: ForwardConfig;
  readonly splitter: Splitter;
  readonly clock: Clock;
  readonly emit: Emit;
  config(): RoutingConfig | null;
  /** Whether it is known which requests are quarantined. */
  isQuarantineKnown(): boolean;
  /** How late this process comes to its work, in ms. */
  lagMs(): number;
  /** Counts an answered request. */
  recordRequest(outcome: RequestOutcome): void;
}

/** How a request was answered. */
export interface RequestOutcome {
  /** Null where no route was found. */
  readonly route: string | null;
  readonly status: number;
  /** `answered`, or the code of the failure. */
  readonly outcome: string;
  readonly tookMs: number;
}

/** The callers' interface. */
export interface Frontend {
  readonly server: Server;
  /** Requests that were read and not answered to the end. */
  inFlight(): number;
  /** From now on each answer is its connection's last. */
  startClosing(): void;
  /** Takes the configuration's limits on connections. */
  applyLimits(config: RoutingConfig): void;
}

interface FrontendState extends FrontendConfig {
  inFlight: number;
  isClosing: boolean;
  readonly pipelines: RequestPipelines;
  readonly retryAges: RetryAges;
}

/** Largest header that the parser takes, in bytes; routes' limits are less. */
const PARSER_HEADER_BYTES = 128 * 1024;
/** The answer leaves this long before the time limit, in ms. */
const RESPONSE_MARGIN_MS = 25;
/** The parser looks for slow and idle connections this often, in ms. */
const CONNECTION_CHECK_MS = 500;
/** A caller that reuses a connection at the last moment must find it open. */
const IDLE_MARGIN_MS = 1_000;
/**
 * A process that comes this late to its work, in ms, refuses what it reads, at
 * once and for little: its callers reach another one. A leader that started
 * again under full load read requests whose callers had gone, for five seconds,
 * and sent some of them on. A processor that is shared out in tenths of a second
 * makes up to 70 ms; callers with the shortest limits known leave a process that
 * hasn't read their request after 133 ms.
 */
const MAX_LOOP_LAG_MS = 100;
/** Callers come back to another router after this time, in ms. */
const BUSY_RETRY_MS = 40;
/** Callers come back after this time to a router that starts, in ms. */
const STARTING_RETRY_MS = 300;

/**
 * Makes the callers' interface; listening is up to the process.
 *
 * @example
 * ```ts
 * const entry = createEntry(cfg);
 * entry.server.listen(8381, '10.1.0.18');
 * ```
 */
export function createFrontend(cfg: FrontendConfig): Frontend {
  const state: FrontendState = {
    ...cfg,
    inFlight: 0,
    isClosing: false,
    pipelines: createRequestPipelines(),
    retryAges: createRetryAges(),
  };
  const stripped = strippedHeaders(cfg.forward.names);
  const server = createServer(
    {
      maxHeaderSize: PARSER_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
      noDelay: true,
      requestTimeout: 0,
    },
    (req, res) => void handleRequest(state, stripped, req, res),
  );
  return {
    server,
    inFlight: () => state.inFlight,
    startClosing() {
      state.isClosing = true;
    },
    applyLimits({limits}) {
      server.headersTimeout = limits.headerTimeoutMs;
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    },
  };
}

async function handleRequest(
  state: FrontendState,
  stripped: StrippedHeaders,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const arrivedAt = state.clock.now();
  const canceller = createCanceller();
  let isReleased = false;
  const release = (): void => {
    if (isReleased) return;
    isReleased = true;
    state.inFlight--;
    if (!res.writableFinished) canceller.abort();
  };
  const pipelined = state.pipelines.accept(req.socket, release);
  // Its caller takes it as unread, and sends it again elsewhere.
  if (pipelined === null) return;
  state.inFlight++;
  res.once('close', () => {
    pipelined.finish();
    release();
  });
  const {requestId} = state.forward.names;
  const id = headerValue(req, requestId) ?? createId();
  const initial = {id, arrivedAt, signal: canceller.signal};
  const context: RequestContext = {...initial, route: null, askedMs: 0};
  const response = await routeRequest(state, stripped, req, context);
  const isGone = req.socket.destroyed;
  if (!isGone) {
    // Cut at the last answer of those that were passed on, none before.
    const isLast = (state.isClosing && pipelined.isNewest()) || !req.complete;
    if (isLast) pipelined.markLast();
    sendResponse({requestId, isLast}, req, res, response);
  }
  logAndCount(state, context, response, isGone);
}

/** One line and one count for each request. */
function logAndCount(
  state: FrontendState,
  {id, arrivedAt, route, askedMs}: RequestContext,
  response: FrontendResponse,
  isGone: boolean,
): void {
  const tookMs = Math.round(state.clock.now() - arrivedAt);
  const {status, outcome, verdict, server} = summarize(response);
  const routeName = route?.name ?? null;
  state.recordRequest({route: routeName, status, outcome, tookMs});
  state.emit('request', {
    ...{id, route: routeName, status, outcome, verdict, server, tookMs},
    config: state.config()?.version ?? null,
    ...(askedMs > 0 && {askedMs}),
    ...(isGone && {isGone}),
  });
}

interface ResponseSummary {
  readonly status: number;
  readonly outcome: string;
  readonly verdict?: string;
  readonly server?: string;
}

function summarize(response: FrontendResponse): ResponseSummary {
  if (response.kind === 'answer') {
    const {answer: serverAnswer, server} = response;
    return {status: serverAnswer.status, outcome: 'answered', server};
  }
  if (response.kind === 'rejected') {
    return {status: response.status, outcome: 'rejected'};
  }
  const {code, verdict} = response.failure;
  return {status: statusOfFailure(response.failure), outcome: code, verdict};
}

interface RequestContext {
  readonly id: string;
  readonly arrivedAt: number;
  readonly signal: ReturnType<typeof createCanceller>['signal'];
  /** Set once it is known. */
  route: Route | null;
  /** For how long its caller was asking before, as far as is known, in ms. */
  askedMs: number;
}

async function routeRequest(
  state: FrontendState,
  stripped: StrippedHeaders,
  req: IncomingMessage,
  context: RequestContext,
): Promise<FrontendResponse> {
  const config = state.config();
  const {id} = context;
  const {names} = state.forward;
  if (config === null) {
    return notRun('no configuration is known yet', STARTING_RETRY_MS);
  }
  if (!state.isQuarantineKnown()) {
    return notRun('what is quarantined is not known yet', STARTING_RETRY_MS);
  }
  if (state.lagMs() > MAX_LOOP_LAG_MS) {
    return notRun('the processor is used up', BUSY_RETRY_MS);
  }
  if (headerBytes(req) > config.limits.maxHeaderBytes) {
    return rejected(431, 'the header is too large');
  }
  const route = matchRoute(config, req.headers.host ?? '', req.url ?? '/');
  if (route === null) return rejected(404, 'no route');
  context.route = route;
  const service = state.splitter.next(route);
  const isKeyed = config.services.get(service)?.isKeyed ?? false;
  const key = isKeyed ? readKey(names, req) : null;
  if (isKeyed && key === null) return rejected(400, 'the key is missing');
  const body = await readBody(req, config.limits.maxBodyBytes);
  if (body.kind === 'too-large') return rejected(413, 'the body is too large');
  if (body.kind === 'cut') {
    return {kind: 'failure', failure: failure('not-run', 'cancelled', 'cut')};
  }
  const timeoutMs = callerTimeoutMs(names, req);
  context.askedMs = state.retryAges.observe(route.name, timeoutMs);
  const asked: Asked = {
    caller: req.socket.remoteAddress ?? '',
    method: req.method ?? 'GET',
    host: req.headers.host ?? '',
    path: req.url ?? '/',
    ...{key, body: body.bytes},
  };
  let contents: Contents | null = null;
  return forward(state.forward, {
    id,
    ...asked,
    contents: () => (contents ??= contentsOf(asked)),
    headers: forwardedHeaders(stripped, req, id, names.requestId),
    route,
    service,
    firstAskedAt: context.arrivedAt - context.askedMs,
    deadline: deadlineOf(timeoutMs, route, context.arrivedAt),
    signal: context.signal,
  });
}

function rejected(status: number, detail: string): FrontendResponse {
  return {kind: 'rejected', status, detail};
}

function notRun(detail: string, retryAfterMs: number): FrontendResponse {
  const reason = failure('not-run', 'overloaded', detail, retryAfterMs);
  return {kind: 'failure', failure: reason};
}

function deadlineOf(timeoutMs: number, route: Route, arrivedAt: number): number {
  const ms = Math.min(timeoutMs, route.timeoutMs);
  return arrivedAt + ms - RESPONSE_MARGIN_MS;
}
