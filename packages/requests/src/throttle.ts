import type {Clock} from '@banyandrum/base/clock.js';
import {hash32} from '@banyandrum/base/hash.js';
import type {CellId} from '@banyandrum/base/ids.js';
import type {ServiceRequest} from '@banyandrum/base/request.js';

/** Refuses requests at the entry that the leader would probably refuse. */
export interface Throttle {
  /**
   * Returns null if the request may be sent to the leader; `accepted` or
   * `refused` must then be called once. Returns the leader's last retry delay, in
   * ms, if the request must be refused.
   */
  refuses(cell: CellId, req: ServiceRequest): number | null;
  /** The leader didn't refuse the request for lack of capacity. */
  accepted(cell: CellId, req: ServiceRequest): void;
  /** The leader refused the request for lack of capacity. */
  refused(cell: CellId, req: ServiceRequest, retryAfterMs: number): void;
}

export interface ThrottleOptions {
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Time constant with which counts decay, in ms. */
const PERIOD_MS = 2000;

/**
 * Requests sent to the leader for each accepted one. Above 1, so that the entry
 * notices when the leader accepts more again.
 */
const HEADROOM = 2;

/** Requests of one bucket that are always sent, per period. */
const FREE_REQUESTS = 2;

/** Number of buckets for hashes of callers, and of keys. */
const BUCKETS = 256;

/** Interval at which counts decay, in ms. */
const DECAY_INTERVAL_MS = 50;

/** Request counts of one cell and one level of precedence. */
interface RequestCounts {
  /** All requests, by bucket of the key, then by bucket of the caller. */
  readonly asked: Float64Array;
  readonly accepted: Float64Array;
  /** At the leader now; counted as accepted, because it refuses fast. */
  readonly inFlight: Float64Array;
  decayedAt: number;
  retryAfterMs: number;
}

/**
 * Creates the entry's throttle. It refuses a random share, so that the requests
 * sent are a fixed multiple of those that the leader accepts, by level of
 * precedence. It refuses only if both the caller's and the key's requests are
 * being refused. With one count for the whole cell, one hot key or one aggressive
 * caller would cause refusals of all others, which the leader's fair queue would
 * have served.
 *
 * @example
 * ```ts
 * const throttle = createThrottle({clock, random: Math.random});
 * const retryAfterMs = throttle.refuses('holds/0', req);
 * ```
 */
export function createThrottle(options: ThrottleOptions): Throttle {
  const {clock, random} = options;
  const cells = new Map<CellId, RequestCounts[]>();

  const ledgerOf = (cell: CellId, level: number): RequestCounts => {
    const levels = cells.get(cell) ?? [];
    if (levels.length === 0) cells.set(cell, levels);
    return (levels[level] ??= createCounts(clock.now()));
  };

  return {
    refuses(cell, req) {
      const ledger = ledgerOf(cell, req.precedence);
      const [key, caller] = bucketsOf(req);
      decay(ledger, clock.now());
      const share = Math.min(excess(ledger, key), excess(ledger, caller));
      if (share > 0 && random() < share) {
        count(ledger.asked, key, caller, 1);
        return ledger.retryAfterMs;
      }
      count(ledger.inFlight, key, caller, 1);
      return null;
    },
    accepted(cell, req) {
      const ledger = ledgerOf(cell, req.precedence);
      const [key, caller] = bucketsOf(req);
      count(ledger.inFlight, key, caller, -1);
      count(ledger.asked, key, caller, 1);
      count(ledger.accepted, key, caller, 1);
    },
    refused(cell, req, retryAfterMs) {
      const ledger = ledgerOf(cell, req.precedence);
      const [key, caller] = bucketsOf(req);
      count(ledger.inFlight, key, caller, -1);
      count(ledger.asked, key, caller, 1);
      ledger.retryAfterMs = retryAfterMs;
    },
  };
}

function createCounts(now: number): RequestCounts {
  return {
    asked: new Float64Array(2 * BUCKETS),
    accepted: new Float64Array(2 * BUCKETS),
    inFlight: new Float64Array(2 * BUCKETS),
    decayedAt: now,
    retryAfterMs: 0,
  };
}

function bucketsOf(req: ServiceRequest): readonly [number, number] {
  const key = hash32(req.key) % BUCKETS;
  const caller = hash32(req.caller) % BUCKETS;
  return [key, BUCKETS + caller];
}

function count(
  sums: Float64Array,
  key: number,
  caller: number,
  by: 1 | -1,
): void {
  sums[key] = (sums[key] ?? 0) + by;
  sums[caller] = (sums[caller] ?? 0) + by;
}

/** Fraction of a bucket's requests to refuse; not above 0 if none. */
function excess(ledger: RequestCounts, bucket: number): number {
  const inFlight = ledger.inFlight[bucket] ?? 0;
  const asked = (ledger.asked[bucket] ?? 0) + inFlight;
  const accepted = (ledger.accepted[bucket] ?? 0) + inFlight;
  return 1 - (accepted * HEADROOM + FREE_REQUESTS) / Math.max(1, asked);
}

function decay(ledger: RequestCounts, now: number): void {
  const elapsed = now - ledger.decayedAt;
  if (elapsed < DECAY_INTERVAL_MS) return;
  ledger.decayedAt = now;
  const factor = Math.exp(-elapsed / PERIOD_MS);
  for (const sums of [ledger.asked, ledger.accepted]) {
    for (let i = 0; i < sums.length; i++) sums[i] = (sums[i] ?? 0) * factor;
  }
}
