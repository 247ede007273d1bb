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
  digestContent,
  type DigestInput,
  type ContentDigests,
} from '@banyandrum/dispatch/content-digests.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import {forward} from '@banyandrum/dispatch/forward.js';
import type {ForwardConfig} from '@banyandrum/dispatch/forward-state.js';
import type {Route, RoutingConfig} from '@banyandrum/routing/config.js';
import {matchRoute} from '@banyandrum/routing/match-route.js';
import type {Splitter} from '@banyandrum/routing/split.js';
import {createCallerAges, type CallerAges} from './caller-ages.js';
import {
  callerDeadlineMs,
  forwardHeaders,
  header,
  headerBytes,
  ownHeaders,
  readKey,
  type OwnHeaders,
} from './caller-headers.js';
import {readBody} from './read-body.js';
import {createTurns, type Turns} from './turns.js';
import {send, statusOf, type Answered} from './write-answer.js';

/** What the callers' interface needs. */
export interface EntryConfig {
  readonly forward: ForwardConfig;
  readonly splitter: Splitter;
  readonly clock: Clock;
  readonly emit: Emit;
  config(): RoutingConfig | null;
  /** Whether it is known which requests are quarantined. */
  isInformed(): boolean;
  /** How late this process comes to its work, in ms. */
  lagMs(): number;
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
  readonly turns: Turns;
  readonly ages: CallerAges;
}

/** Largest header that the parser takes, in bytes; routes' limits are less. */
const PARSER_HEADER_BYTES = 128 * 1024;
/** The answer leaves this long before the time limit, in ms. */
const ANSWER_MARGIN_MS = 25;
/** The parser looks for slow and idle connections this often, in ms. */
const CHECK_MS = 500;
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
const MAX_LAG_MS = 100;
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
export function createEntry(cfg: EntryConfig): Entry {
  const state: EntryState = {
    ...cfg,
    inFlight: 0,
    isClosing: false,
    turns: createTurns(),
    ages: createCallerAges(),
  };
  const own = ownHeaders(cfg.forward.names);
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
  const canceller = createCanceller();
  let isOver = false;
  const leave = (): void => {
    if (isOver) return;
    isOver = true;
    state.inFlight--;
    if (!res.writableFinished) canceller.abort();
  };
  const turn = state.turns.take(req.socket, leave);
  // Its caller takes it as unread, and sends it again elsewhere.
  if (turn === null) return;
  state.inFlight++;
  res.once('close', () => {
    turn.end();
    leave();
  });
  const {requestId} = state.forward.names;
  const id = header(req, requestId) ?? createId();
  const arriving = {id, arrivedAt, signal: canceller.signal};
  const arrival: Arrival = {...arriving, route: null, askedMs: 0};
  const answered = await answer(state, own, req, arrival);
  const isGone = req.socket.destroyed;
  if (!isGone) {
    // Cut at the last answer of those that were passed on, none before.
    const isLast = (state.isClosing && turn.isNewest()) || !req.complete;
    if (isLast) turn.close();
    send({requestId, isLast}, req, res, answered);
  }
  note(state, arrival, answered, isGone);
}

/** One line and one count for each request. */
function note(
  state: EntryState,
  {id, arrivedAt, route, askedMs}: Arrival,
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
    ...(askedMs > 0 && {askedMs}),
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
  /** For how long its caller was asking before, as far as is known, in ms. */
  askedMs: number;
}

async function answer(
  state: EntryState,
  own: OwnHeaders,
  req: IncomingMessage,
  arrival: Arrival,
): Promise<Answered> {
  const config = state.config();
  const {id} = arrival;
  const {names} = state.forward;
  if (config === null) {
    return notRun('no configuration is known yet', STARTING_RETRY_MS);
  }
  if (!state.isInformed()) {
    return notRun('what is quarantined is not known yet', STARTING_RETRY_MS);
  }
  if (state.lagMs() > MAX_LAG_MS) {
    return notRun('the processor is used up', BUSY_RETRY_MS);
  }
  if (headerBytes(req) > config.limits.maxHeaderBytes) {
    return reject(431, 'the header is too large');
  }
  const route = matchRoute(config, req.headers.host ?? '', req.url ?? '/');
  if (route === null) return reject(404, 'no route');
  arrival.route = route;
  const service = state.splitter.next(route);
  const keyed = config.services.get(service)?.isKeyed ?? false;
  const key = keyed ? readKey(names, req) : null;
  if (keyed && key === null) return reject(400, 'the key is missing');
  const body = await readBody(req, config.limits.maxBodyBytes);
  if (body.kind === 'too-large') return reject(413, 'the body is too large');
  if (body.kind === 'cut') {
    return {kind: 'failure', failure: failure('not-run', 'cancelled', 'cut')};
  }
  const limitMs = callerDeadlineMs(names, req);
  arrival.askedMs = state.ages.take(route.name, limitMs);
  const asked: DigestInput = {
    caller: req.socket.remoteAddress ?? '',
    method: req.method ?? 'GET',
    host: req.headers.host ?? '',
    path: req.url ?? '/',
    ...{key, body: body.bytes},
  };
  let contents: ContentDigests | null = null;
  return forward(state.forward, {
    id,
    ...asked,
    contents: () => (contents ??= digestContent(asked)),
    headers: forwardHeaders(own, req, id, names.requestId),
    route,
    service,
    firstAskedAt: arrival.arrivedAt - arrival.askedMs,
    deadline: deadlineOf(limitMs, route, arrival.arrivedAt),
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

function deadlineOf(limitMs: number, route: Route, arrivedAt: number): number {
  const ms = Math.min(limitMs, route.timeoutMs);
  return arrivedAt + ms - ANSWER_MARGIN_MS;
}
