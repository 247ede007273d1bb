import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {createCanceller} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import {failure, type Failure} from '@banyandrum/base/failure.js';
import {HOP_BY_HOP} from '@banyandrum/base/hop-by-hop.js';
import {createId} from '@banyandrum/base/ids.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import {
  forward,
  type ForwardConfig,
  type Reply,
} from '@banyandrum/dispatch/forward.js';
import type {Route, RoutingConfig} from '@banyandrum/routing/config.js';
import {matchRoute} from '@banyandrum/routing/match-route.js';
import type {Splitter} from '@banyandrum/routing/split.js';
import {readBody} from './read-body.js';

/** What the callers' interface needs. */
export interface EntryConfig {
  readonly forward: ForwardConfig;
  readonly splitter: Splitter;
  readonly clock: Clock;
  readonly emit: Emit;
  config(): RoutingConfig | null;
  /** Counts an answered request. */
  count(outcome: RequestOutcome): void;
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
export interface Entry {
  readonly server: Server;
  /** Requests that were read and not answered to the end. */
  inFlight(): number;
  /** From now on each answer is its connection's last. */
  startClosing(): void;
  /** Takes the configuration's limits on connections. */
  applyLimits(config: RoutingConfig): void;
}

interface EntryState extends EntryConfig {
  inFlight: number;
  isClosing: boolean;
}

/** Set anew for each attempt, or read here. */
type OwnHeaders = ReadonlySet<string>;

/** Largest header that the parser takes, in bytes; routes' limits are less. */
const PARSER_HEADER_BYTES = 128 * 1024;
/** The answer leaves this long before the time limit, in ms. */
const ANSWER_MARGIN_MS = 25;
/** Time limit of requests that name none and have no route's, in ms. */
const DEFAULT_DEADLINE_MS = 30_000;
/** The parser looks for slow and idle connections this often, in ms. */
const CHECK_MS = 500;
/** A caller that reuses a connection at the last moment must find it open. */
const IDLE_MARGIN_MS = 1_000;
/** Callers come back after this time where no configuration is known, ms. */
const NO_CONFIG_RETRY_MS = 300;

const NO_BODY: ReadonlySet<number> = new Set([204, 304]);

/**
 * Makes the callers' interface; listening is up to the process.
 *
 * @example
 * ```ts
 * const entry = createEntry(cfg);
 * entry.server.listen(8381, '10.1.0.18');
 * ```
 */
export function createEntry(cfg: EntryConfig): Entry {
  const state: EntryState = {...cfg, inFlight: 0, isClosing: false};
  const {names} = cfg.forward;
  const own = new Set([
    ...HOP_BY_HOP,
    'content-length',
    names.deadlineMs,
    names.expectedServer,
  ]);
  own.delete('host');
  const server = createServer(
    {
      maxHeaderSize: PARSER_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_MS,
      noDelay: true,
      requestTimeout: 0,
    },
    (req, res) => void serve(state, own, req, res),
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

async function serve(
  state: EntryState,
  own: OwnHeaders,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const arrivedAt = state.clock.now();
  state.inFlight++;
  const canceller = createCanceller();
  res.once('close', () => {
    state.inFlight--;
    if (!res.writableFinished) canceller.abort();
  });
  const id = header(req, state.forward.names.requestId) ?? createId();
  const arrival = {id, arrivedAt, signal: canceller.signal, route: null};
  const answered = await answer(state, own, req, arrival);
  if (!res.destroyed) send(state, req, res, answered);
  note(state, arrival, answered, res.destroyed);
}

/** One line and one count for each request. */
function note(
  state: EntryState,
  {id, arrivedAt, route}: Arrival,
  answered: Answered,
  isGone: boolean,
): void {
  const tookMs = Math.round(state.clock.now() - arrivedAt);
  const {status, outcome, verdict, server} = describe(answered);
  const routeName = route?.name ?? null;
  state.count({route: routeName, status, outcome, tookMs});
  state.emit('request', {
    ...{id, route: routeName, status, outcome, verdict, server, tookMs},
    config: state.config()?.version ?? null,
    ...(isGone && {isGone}),
  });
}

interface Description {
  readonly status: number;
  readonly outcome: string;
  readonly verdict?: string;
  readonly server?: string;
}

function describe(answered: Answered): Description {
  if (answered.kind === 'answer') {
    const {answer: own, server} = answered;
    return {status: own.status, outcome: 'answered', server};
  }
  if (answered.kind === 'rejected') {
    return {status: answered.status, outcome: 'rejected'};
  }
  const {code, verdict} = answered.failure;
  return {status: statusOf(answered.failure), outcome: code, verdict};
}

interface Arrival {
  readonly id: string;
  readonly arrivedAt: number;
  readonly signal: ReturnType<typeof createCanceller>['signal'];
  /** Set once it is known. */
  route: Route | null;
}

/** What is written to the caller. */
type Answered =
  | Reply
  /** Refused by its form; it can't succeed when repeated. */
  | {
      readonly kind: 'rejected';
      readonly status: number;
      readonly detail: string;
    };

async function answer(
  state: EntryState,
  own: OwnHeaders,
  req: IncomingMessage,
  arrival: Arrival,
): Promise<Answered> {
  const config = state.config();
  const {id} = arrival;
  if (config === null) {
    return notRun('no configuration is known yet', NO_CONFIG_RETRY_MS);
  }
  if (headerBytes(req) > config.limits.maxHeaderBytes) {
    return reject(431, 'the header is too large');
  }
  const route = matchRoute(config, req.headers.host ?? '', req.url ?? '/');
  if (route === null) return reject(404, 'no route');
  arrival.route = route;
  const service = state.splitter.next(route);
  const keyed = config.services.get(service)?.isKeyed ?? false;
  const key = keyed ? readKey(state, req) : null;
  if (keyed && key === null) return reject(400, 'the key is missing');
  const body = await readBody(req, config.limits.maxBodyBytes);
  if (body.kind === 'too-large') return reject(413, 'the body is too large');
  if (body.kind === 'cut') {
    return {kind: 'failure', failure: failure('not-run', 'cancelled', 'cut')};
  }
  return forward(state.forward, {
    id,
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers: forwardHeaders(own, req, id, state.forward.names.requestId),
    body: body.bytes,
    route,
    service,
    key,
    arrivedAt: arrival.arrivedAt,
    deadline: deadlineOf(state, req, route, arrival.arrivedAt),
    signal: arrival.signal,
  });
}

function reject(status: number, detail: string): Answered {
  return {kind: 'rejected', status, detail};
}

function notRun(detail: string, retryAfterMs: number): Answered {
  const reason = failure('not-run', 'overloaded', detail, retryAfterMs);
  return {kind: 'failure', failure: reason};
}

function header(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function headerBytes(req: IncomingMessage): number {
  let size = (req.url ?? '').length;
  for (const text of req.rawHeaders) size += text.length + 2;
  return size;
}

function readKey(state: EntryState, req: IncomingMessage): number | null {
  const text = header(req, state.forward.names.key);
  if (text === undefined || !/^\d{1,5}$/.test(text)) return null;
  return Number(text);
}

function forwardHeaders(
  own: OwnHeaders,
  req: IncomingMessage,
  id: string,
  idName: string,
): readonly string[] {
  const headers: string[] = [];
  const named = new Set(
    (req.headers.connection ?? '').toLowerCase().split(/\s*,\s*/),
  );
  for (let at = 0; at + 1 < req.rawHeaders.length; at += 2) {
    const name = req.rawHeaders[at]!.toLowerCase();
    if (own.has(name) || named.has(name)) continue;
    headers.push(req.rawHeaders[at]!, req.rawHeaders[at + 1]!);
  }
  if (header(req, idName) === undefined) headers.push(idName, id);
  return headers;
}

function deadlineOf(
  state: EntryState,
  req: IncomingMessage,
  route: Route,
  arrivedAt: number,
): number {
  const told = Number(header(req, state.forward.names.deadlineMs));
  const callerMs = told > 0 ? told : DEFAULT_DEADLINE_MS;
  const ms = Math.min(callerMs, route.timeoutMs);
  return arrivedAt + ms - ANSWER_MARGIN_MS;
}

type Of<K extends Answered['kind']> = Extract<Answered, {kind: K}>;

type Send<K extends Answered['kind']> = (
  state: EntryState,
  req: IncomingMessage,
  res: ServerResponse,
  answered: Of<K>,
) => void;

const SENDS: {readonly [K in Answered['kind']]: Send<K>} = {
  answer(state, req, res, answered) {
    const {status, headers, body} = answered.answer;
    const isBodiless = req.method === 'HEAD' || NO_BODY.has(status);
    const out: string[] = [];
    for (let at = 0; at + 1 < headers.length; at += 2) {
      const name = headers[at]!.toLowerCase();
      if (HOP_BY_HOP.has(name)) continue;
      if (name === 'content-length' && !isBodiless) continue;
      out.push(headers[at]!, headers[at + 1]!);
    }
    if (!isBodiless) out.push('Content-Length', String(body.length));
    if (isLast(state, req)) out.push('Connection', 'close');
    res.writeHead(status, out);
    res.end(isBodiless ? undefined : body);
  },
  rejected(state, req, res, answered) {
    const {status, detail} = answered;
    sendProblem(state, req, res, status, {code: 'bad-request', detail}, null);
  },
  failure(state, req, res, answered) {
    const {failure: reason} = answered;
    const {code, verdict, detail} = reason;
    const after = reason.retryAfterMs ?? null;
    const told = {code, verdict, detail};
    sendProblem(state, req, res, statusOf(reason), told, after);
  },
};

function send(
  state: EntryState,
  req: IncomingMessage,
  res: ServerResponse,
  answered: Answered,
): void {
  const write = SENDS[answered.kind] as Send<Answered['kind']>;
  write(state, req, res, answered as never);
}

function statusOf({verdict, code}: Failure): number {
  if (verdict === 'not-run') return 503;
  return code === 'deadline' ? 504 : 502;
}

function sendProblem(
  state: EntryState,
  req: IncomingMessage,
  res: ServerResponse,
  status: number,
  problem: Readonly<Record<string, string>>,
  retryAfterMs: number | null,
): void {
  const body = JSON.stringify({status, ...problem});
  const out = ['Content-Type', 'application/problem+json'];
  const id = header(req, state.forward.names.requestId);
  if (id !== undefined) out.push(state.forward.names.requestId, id);
  if (retryAfterMs !== null) {
    out.push('Retry-After', (retryAfterMs / 1000).toFixed(3));
  }
  out.push('Content-Length', String(Buffer.byteLength(body)));
  if (isLast(state, req)) out.push('Connection', 'close');
  res.writeHead(status, out);
  res.end(body);
}

/**
 * An answer ends its connection while the process stops, and where the rest
 * of the request was not read: it would be taken for the next one.
 */
function isLast(state: EntryState, req: IncomingMessage): boolean {
  return state.isClosing || !req.complete;
}
