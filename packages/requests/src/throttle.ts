import type {Clock} from '@banyandrum/base/clock.js';
import {hash32} from '@banyandrum/base/hash.js';
import type {CellId} from '@banyandrum/base/ids.js';
import type {ServiceRequest} from '@banyandrum/base/request.js';

/** Refuses at the entry what the leader would most likely refuse. */
export interface Throttle {
  /**
   * Null where the request may go to the leader; then `accepted` or `refused`
   * is called once with its outcome. A number where it is to be refused at
   * once: the leader's own retry hint in ms.
   */
  refuses(cell: CellId, req: ServiceRequest): number | null;
  /** The request was not refused for lack of capacity. */
  accepted(cell: CellId, req: ServiceRequest): void;
  /** The leader refused it for lack of capacity. */
  refused(cell: CellId, req: ServiceRequest, retryAfterMs: number): void;
}

export interface ThrottleOptions {
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Over how long the leader's answers count, in ms. */
const PERIOD_MS = 2000;

/**
 * Requests let through for each one accepted. Above 1, so that the entry
 * notices when the leader takes more again.
 */
const HEADROOM = 2;

/** Requests of one bucket let through in any case, over the period. */
const FREE_REQUESTS = 2;

/** Callers share these by their hash, and so do keys. */
const BUCKETS = 256;

/** Counts are faded this often, in ms. */
const GRAIN_MS = 50;

/** Requests of one cell and one level of precedence. */
interface Ledger {
  /** All by bucket of the key, then by bucket of the caller. */
  readonly asked: Float64Array;
  readonly accepted: Float64Array;
  /** With the leader now; it refuses fast, so they count as accepted. */
  readonly underWay: Float64Array;
  fadedAt: number;
  retryAfterMs: number;
}

/**
 * Makes the entry's throttle: it refuses at random just as many that what is
 * left is a fixed multiple of what the leader accepts, by level of precedence.
 * It does so only where the caller's requests and the key's requests are both
 * being refused: with a count for the whole cell, one contested key or one
 * noisy caller would get everybody else's requests refused here, before the
 * leader's fair turns could protect them.
 *
 * @example
 * ```ts
 * const throttle = createThrottle({clock, random: Math.random});
 * const retryAfterMs = throttle.refuses('holds/0', req);
 * ```
 */
export function createThrottle(options: ThrottleOptions): Throttle {
  const {clock, random} = options;
  const cells = new Map<CellId, Ledger[]>();

  const ledgerOf = (cell: CellId, level: number): Ledger => {
    const levels = cells.get(cell) ?? [];
    if (levels.length === 0) cells.set(cell, levels);
    return (levels[level] ??= createLedger(clock.now()));
  };

  return {
    refuses(cell, req) {
      const ledger = ledgerOf(cell, req.precedence);
      const [key, caller] = bucketsOf(req);
      fade(ledger, clock.now());
      const share = Math.min(excess(ledger, key), excess(ledger, caller));
      if (share > 0 && random() < share) {
        count(ledger.asked, key, caller, 1);
        return ledger.retryAfterMs;
      }
      count(ledger.underWay, key, caller, 1);
      return null;
    },
    accepted(cell, req) {
      const ledger = ledgerOf(cell, req.precedence);
      const [key, caller] = bucketsOf(req);
      count(ledger.underWay, key, caller, -1);
      count(ledger.asked, key, caller, 1);
      count(ledger.accepted, key, caller, 1);
    },
    refused(cell, req, retryAfterMs) {
      const ledger = ledgerOf(cell, req.precedence);
      const [key, caller] = bucketsOf(req);
      count(ledger.underWay, key, caller, -1);
      count(ledger.asked, key, caller, 1);
      ledger.retryAfterMs = retryAfterMs;
    },
  };
}

function createLedger(now: number): Ledger {
  return {
    asked: new Float64Array(2 * BUCKETS),
    accepted: new Float64Array(2 * BUCKETS),
    underWay: new Float64Array(2 * BUCKETS),
    fadedAt: now,
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

/** The part of a bucket's requests that is too much; below 0 where none is. */
function excess(ledger: Ledger, bucket: number): number {
  const underWay = ledger.underWay[bucket] ?? 0;
  const asked = (ledger.asked[bucket] ?? 0) + underWay;
  const accepted = (ledger.accepted[bucket] ?? 0) + underWay;
  return 1 - (accepted * HEADROOM + FREE_REQUESTS) / Math.max(1, asked);
}

function fade(ledger: Ledger, now: number): void {
  const elapsed = now - ledger.fadedAt;
  if (elapsed < GRAIN_MS) return;
  ledger.fadedAt = now;
  const factor = Math.exp(-elapsed / PERIOD_MS);
  for (const sums of [ledger.asked, ledger.accepted]) {
    for (let i = 0; i < sums.length; i++) sums[i] = (sums[i] ?? 0) * factor;
  }
}
