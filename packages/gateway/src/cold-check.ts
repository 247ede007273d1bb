import type {Clock} from '@banyandrum/base/clock.js';
import type {AskHealth, HealthFields} from '@banyandrum/dispatch/ask-health.js';
import {isCold, type Backend} from '@banyandrum/dispatch/backend.js';
import {readLimit, type WireNames} from '@banyandrum/dispatch/wire.js';
import type {ServiceConfig} from '@banyandrum/routing/config.js';
import {MAX_UNREAD_REQUESTS, MIN_INTERVAL_MS} from './list-read-interval.js';

/** Asks servers whether they are cold while the list can't be read. */
export interface ColdCheck {
  /** Call with each request that is sent to the server, or is about to be. */
  noteRequest(backend: Backend): void;
  /** Call with each answer, before it counts in the server's service time. */
  noteAnswer(backend: Backend, tookMs: number): void;
  /**
   * Whether an answer is due that tells whether the server is cold: it should get
   * no further requests until then.
   */
  isAwaited(server: string): boolean;
  /** Number of questions since the start. */
  asked(): number;
}

/** Dependencies of `createColdCheck`. */
export interface ColdCheckConfig {
  readonly clock: Pick<Clock, 'now'>;
  readonly names: Pick<WireNames, 'coldMs'>;
  serviceConfig(service: string): ServiceConfig | undefined;
  /** Interval at which the list should be read, in ms. */
  listReadMs(): number;
  /** Monotonic time as of which it is known whether a server is cold, in ms. */
  knownAt(server: string): number;
  /** Number of routers that send requests without a leader; 1 if there is one. */
  senders(): number;
  readonly askHealth: AskHealth;
  /** Called with the remaining time for which the server is cold, in ms. */
  noteCold(server: string, coldMs: number): void;
  /** Called when the server was warm at the monotonic time `asOf`, in ms. */
  noteWarm(server: string, asOf: number): void;
}

/** What was sent to a server, and asked of it. */
interface Asked {
  /**
   * Monotonic times of the requests since it was last asked, and since its state
   * was last known as of the last request, in ms.
   */
  sentAt: readonly number[];
  /** Monotonic time of the last request or slow answer, in ms. */
  usedAt: number;
  /** Monotonic time of the last question, in ms. */
  askedAt: number;
  isPending: boolean;
  /** Whether the last question got no answer. */
  isSilent: boolean;
}

/**
 * What is known of a server is late after this many times the interval of reads: a
 * read that is on time takes a part of the interval.
 */
const LATE_FACTOR = 1.25;
/** The same for a slow answer, which is a weaker reason to ask. */
const LATE_FACTOR_FOR_ANSWERS = 2;
/**
 * A server is asked in any case after this many times the requests: all that waited
 * for slots of a leader that is lost may be sent at once. They and the next token
 * have to stay within what a cold server bears.
 */
const BURST_FACTOR = 1.5;
/** An answer is slow from this multiple of the usual time on. */
const SLOW_FACTOR = 1.5;
/** Limit of servers that are asked at the same time. */
const MAX_CONCURRENT = 8;
/** Longer cold times are taken for faults of the server, in ms. */
const MAX_COLD_MS = 60_000;
/** A server without requests for this time is forgotten, in ms. */
const FORGET_MS = 10_000;

/**
 * Creates the check. It answers the load of a warm server that turns cold while
 * the platform's store gives no answer: nobody reads its entry then, and it would
 * crash. A server is asked after as many requests as it may get between two reads
 * of the list, and after each one while it is or may be cold; it gets no more until
 * it has answered, unless its last answer was missing. An answer that took long is a
 * reason to ask, no proof.
 *
 * @example
 * ```ts
 * const check = createColdCheck({clock, names, serviceConfig, ...rest});
 * check.noteRequest(backend);
 * check.noteAnswer(backend, 180);
 * ```
 */
export function createColdCheck(cfg: ColdCheckConfig): ColdCheck {
  const {clock} = cfg;
  const servers = new Map<string, Asked>();
  /** Services whose servers say in health answers that they are cold. */
  const telling = new Set<string>();
  let pending = 0;
  let asked = 0;

  const healthPathOf = ({info}: Backend): string | null => {
    const service = cfg.serviceConfig(info.service);
    if (!service || service.coldPerSecond === null) return null;
    return service.healthPath ?? null;
  };

  const stateOf = (id: string): Asked => {
    const usedAt = clock.now();
    const known = servers.get(id);
    if (known !== undefined) return Object.assign(known, {usedAt});
    const created = {sentAt: [], usedAt, askedAt: -Infinity};
    const state = {...created, isPending: false, isSilent: false};
    servers.set(id, state);
    return state;
  };

  const isLate = (knownAt: number, factor: number): boolean =>
    clock.now() - knownAt > cfg.listReadMs() * factor;

  const mayAsk = ({isPending, askedAt}: Asked, pauseMs: number): boolean =>
    !isPending && pending < MAX_CONCURRENT && clock.now() - askedAt >= pauseMs;

  const forgetOld = (): void => {
    const since = clock.now() - FORGET_MS;
    for (const [id, {usedAt}] of servers) {
      if (usedAt <= since) servers.delete(id);
    }
  };

  const noteHealth = (
    {info: {id, service}}: Backend,
    fields: HealthFields,
    askedAt: number,
  ): void => {
    const text = fields.get(cfg.names.coldMs);
    const coldMs = readLimit(text ?? '') ?? 0;
    if (coldMs > MAX_COLD_MS) return;
    if (coldMs > 0) {
      telling.add(service);
      return cfg.noteCold(id, coldMs);
    }
    // Without the header, it tells nothing unless others of its kind have sent it.
    const isWarm =
      text === undefined ? telling.has(service) : Number(text) === 0;
    if (isWarm) cfg.noteWarm(id, askedAt);
  };

  const ask = async (
    backend: Backend,
    state: Asked,
    path: string,
  ): Promise<void> => {
    forgetOld();
    const askedAt = clock.now();
    Object.assign(state, {askedAt, sentAt: [], isPending: true});
    pending++;
    asked++;
    const fields = await cfg.askHealth(backend, path).finally(() => {
      pending--;
      state.isPending = false;
    });
    state.isSilent = fields === null;
    if (fields !== null) noteHealth(backend, fields, askedAt);
  };

  /** Whether the server is due to be asked after this many unread requests. */
  const isDue = (
    {coldUntil}: Backend,
    requests: number,
    knownAt: number,
  ): boolean => {
    const unreadLimit = Math.max(1, MAX_UNREAD_REQUESTS / cfg.senders());
    if (requests >= unreadLimit * BURST_FACTOR) return true;
    const mayBeCold =
      coldUntil > 0 && coldUntil > Math.min(clock.now(), knownAt);
    if (requests < (mayBeCold ? 1 : unreadLimit)) return false;
    return isLate(knownAt, LATE_FACTOR);
  };

  return {
    noteRequest(backend) {
      const path = healthPathOf(backend);
      if (path === null) return;
      const {id} = backend.info;
      const state = stateOf(id);
      const knownAt = cfg.knownAt(id);
      // A late answer tells nothing of the requests since its read was sent.
      const unread = state.sentAt.filter(at => at >= knownAt);
      state.sentAt = [...unread, clock.now()];
      if (!isDue(backend, state.sentAt.length, knownAt)) return;
      if (mayAsk(state, MIN_INTERVAL_MS)) void ask(backend, state, path);
    },
    noteAnswer(backend, tookMs) {
      const path = healthPathOf(backend);
      const {info, serviceMs} = backend;
      if (path === null || isCold(backend, clock.now())) return;
      if (serviceMs === 0 || tookMs <= serviceMs * SLOW_FACTOR) return;
      if (!isLate(cfg.knownAt(info.id), LATE_FACTOR_FOR_ANSWERS)) return;
      const state = stateOf(info.id);
      if (mayAsk(state, cfg.listReadMs())) void ask(backend, state, path);
    },
    isAwaited(server) {
      if (pending === 0) return false;
      const state = servers.get(server);
      return state !== undefined && state.isPending && !state.isSilent;
    },
    asked: () => asked,
  };
}
