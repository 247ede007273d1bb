import type {SlotProvider} from '@banyandrum/dispatch/slots.js';
import type {Clock} from '@banyandrum/base/clock.js';

/** How long replies to slot requests took in a period. */
export interface SlotResponseSummary {
  readonly count: number;
  /**
   * Tenth percentile, in ms: replies without a wait for a server, so that it
   * shows how late the leader and the link to it are.
   */
  readonly p10Ms: number;
  /** 99th percentile, in ms; includes the wait for a server. */
  readonly p99Ms: number;
}

/** A provider of slots whose response times are measured. */
export interface MeasuredSlotProvider extends SlotProvider {
  /** Summarizes the replies since the last call. */
  takeSummary(): SlotResponseSummary;
}

/** Bounds memory; further replies of a period are left out. */
const MAX_SAMPLES = 2_000;

/**
 * Measures how long a provider takes to reply.
 *
 * @example
 * ```ts
 * const slots = measureSlotResponses(provider, clock);
 * const {p10Ms} = slots.takeSummary();
 * ```
 */
export function measureSlotResponses(
  provider: SlotProvider,
  clock: Pick<Clock, 'now'>,
): MeasuredSlotProvider {
  let samples: number[] = [];
  return {
    async acquire(request, signal) {
      const askedAt = clock.now();
      const result = await provider.acquire(request, signal);
      if (result.kind !== 'unavailable' && samples.length < MAX_SAMPLES)
        samples.push(clock.now() - askedAt);
      return result;
    },
    takeSummary() {
      const sorted = samples.sort((a, b) => a - b);
      samples = [];
      return {
        count: sorted.length,
        p10Ms: quantile(sorted, 0.1),
        p99Ms: quantile(sorted, 0.99),
      };
    },
  };
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.floor(sorted.length * share)] ?? 0;
}
