import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {SlotProvider, SlotResult} from '@banyandrum/dispatch/slots.js';
import {createDelayEstimator} from './transit-delay.js';

/** What the admission of slot requests needs. */
export interface AskAdmissionConfig {
  readonly clock: Pick<Clock, 'now'>;
  readonly emit: Emit;
  /** Provider whose requests cost the leader processor time. */
  readonly provider: SlotProvider;
  /** The result for requests that the leader isn't asked for. */
  whenLimited(): SlotResult;
  /** Returns a number from 0 to 1, exclusive of 1. */
  random(): number;
}

/** A provider that asks the leader for less while it is late. */
export interface AdmittingSlotProvider extends SlotProvider {
  /** The share of requests that the leader is asked for, from 0 to 1. */
  admittedShare(): number;
}

/** Minimum length of a period after which the limit is adapted, in ms. */
const PERIOD_MS = 250;
/** Fewer replies in a period tell nothing: a packet may have been lost. */
const MIN_REPLIES = 3;
/** A period with fewer replies goes on for this time, in ms. */
const MAX_PERIOD_MS = 1_000;
/**
 * The leader counts as late if even the fastest reply of a period took this much
 * longer than the network and the wait for a server explain, in ms.
 */
const LATE_MS = 60;
/** A longer delay of the fastest recent reply isn't that of the network, in ms. */
const MAX_NETWORK_MS = 50;
/** Time constant of the rates of requests and replies, in ms. */
const RATE_WINDOW_MS = 1_000;
/**
 * A late leader is asked for this part of what it replies to, so that what waits
 * there becomes less. One that is in time again is asked for more by and by.
 */
const LATE_FACTOR = 0.7;
/** Growth of the limit in a second: a part of it, and requests per second. */
const GROWTH_SHARE = 0.25;
const GROWTH_PER_SECOND = 4;
/**
 * Growth in a period up to the rate that it replied to as it became late: after
 * a pause it can do as much as before.
 */
const RECOVERY_FACTOR = 2;
/** A request that ends this soon, in ms, found no leader. */
const NO_LEADER_MS = 10;
/** Asked for at least this often, per second, to notice when it is in time. */
const MIN_PER_SECOND = 1;
/** Without a limit again once that is this many times what is requested. */
const UNLIMITED_FACTOR = 1.3;
/** Mean return time of callers that the leader isn't asked for, in ms. */
const RETRY_AFTER_MS = 800;
/** Part by which return times differ. */
const RETRY_SPREAD = 0.5;

/**
 * Creates the admission of slot requests. A leader without processor time is
 * late with each reply and even with refusals, callers repeat, and it stays
 * overloaded: in a burst it served one request in six for ten seconds. Only the
 * routers can spare it. Each adapts its share by itself, by how late the fastest
 * replies are.
 *
 * @example
 * ```ts
 * const whenLimited = refuseForLateLeader;
 * const slots = admitAsks({clock, emit, provider: link, random, whenLimited});
 * const slot = await slots.acquire(request, signal);
 * ```
 */
export function admitAsks(cfg: AskAdmissionConfig): AdmittingSlotProvider {
  const {clock, emit, provider, random} = cfg;
  const delays = createDelayEstimator();
  const requested = createRate(clock);
  const answered = createRate(clock);
  /** Requests per second that the leader is asked for. */
  let limit = Infinity;
  /** What it replied to as it became late, less a part, per second. */
  let bearable = Infinity;
  let wasLate = false;
  let periodStart = clock.now();
  let replies = 0;
  let leastLateMs = Infinity;

  const reducedLimit = (): number => {
    const reduced = answered.current() * LATE_FACTOR;
    if (!wasLate) bearable = reduced;
    wasLate = true;
    return Math.max(MIN_PER_SECOND, reduced);
  };

  const raisedLimit = (lastedMs: number): number => {
    wasLate = false;
    if (limit < bearable) return Math.min(bearable, limit * RECOVERY_FACTOR);
    const growth = limit * GROWTH_SHARE + GROWTH_PER_SECOND;
    const raised = limit + (growth * lastedMs) / 1_000;
    return raised > requested.current() * UNLIMITED_FACTOR ? Infinity : raised;
  };

  const adapt = (): void => {
    const now = clock.now();
    const lastedMs = now - periodStart;
    if (lastedMs < PERIOD_MS) return;
    if (replies < MIN_REPLIES && lastedMs < MAX_PERIOD_MS) return;
    const isLate = replies >= MIN_REPLIES && leastLateMs > LATE_MS;
    setLimit(isLate ? reducedLimit() : raisedLimit(lastedMs), leastLateMs);
    periodStart = now;
    replies = 0;
    leastLateMs = Infinity;
  };

  const setLimit = (next: number, lateMs: number): void => {
    const wasLimited = limit < Infinity;
    limit = next;
    const isLimited = limit < Infinity;
    if (wasLimited === isLimited) return;
    if (!isLimited) return emit('asks-unlimited', {});
    emit('asks-limited', {
      lateMs: Math.round(lateMs),
      perSecond: Math.round(limit),
    });
  };

  const admittedShare = (): number =>
    limit === Infinity ? 1 : Math.min(1, limit / requested.current());

  const noteReply = (askedAt: number, waitedMs: number): void => {
    const now = clock.now();
    const onTheWayMs = now - askedAt - waitedMs;
    const networkMs = onTheWayMs - delays.observe(askedAt + waitedMs, now);
    replies++;
    answered.count();
    const lateMs = onTheWayMs - Math.min(MAX_NETWORK_MS, networkMs);
    leastLateMs = Math.min(leastLateMs, lateMs);
  };

  const noteResult = (askedAt: number, result: SlotResult): void => {
    if (result.kind !== 'unavailable') {
      if (result.waitedMs !== undefined) noteReply(askedAt, result.waitedMs);
      return;
    }
    // Without a leader, this router chooses servers by itself.
    if (clock.now() - askedAt < NO_LEADER_MS) setLimit(Infinity, 0);
  };

  return {
    admittedShare,
    async acquire(request, signal) {
      requested.count();
      adapt();
      if (random() >= admittedShare()) return cfg.whenLimited();
      const askedAt = clock.now();
      const result = await provider.acquire(request, signal);
      noteResult(askedAt, result);
      return result;
    },
  };
}

/** Refuses a request with a return time that differs by caller. */
export function refuseForLateLeader(): SlotResult {
  const retryAfterMs =
    RETRY_AFTER_MS * (1 + (Math.random() - 0.5) * RETRY_SPREAD);
  return {kind: 'refused', retryAfterMs, isUnheld: false};
}

/** A rate of events. */
interface Rate {
  count(): void;
  /** Events per second, recent ones more than earlier ones. */
  current(): number;
}

function createRate(clock: Pick<Clock, 'now'>): Rate {
  let sum = 0;
  let countedAt = clock.now();
  const decay = (): void => {
    const now = clock.now();
    sum *= Math.exp((countedAt - now) / RATE_WINDOW_MS);
    countedAt = now;
  };
  return {
    count() {
      decay();
      sum++;
    },
    current() {
      decay();
      return (sum * 1_000) / RATE_WINDOW_MS;
    },
  };
}
