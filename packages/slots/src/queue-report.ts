import type {FlowShare} from '@banyandrum/queueing/fair-shares.js';
import type {Account} from './fair-turns.js';

/** Number of requests of a service that were refused for a reason. */
export interface RefusalCount {
  readonly service: string;
  readonly why: string;
  readonly count: number;
}

/** Counts refusals; there are as many entries as services times reasons. */
export interface RefusalCounts {
  note(service: string, why: string): void;
  all(): readonly RefusalCount[];
}

/** A caller or key that holds many slots of a queue. */
export interface FlowReport extends FlowShare {
  readonly kind: 'caller' | 'key';
  readonly service: string;
  /** Id of the server that owns the keys; null if any server may run them. */
  readonly owner: string | null;
  readonly priority: number;
}

/** Number of callers and of keys in a report, so that its size is bounded. */
const REPORTED_FLOWS = 3;

/**
 * Creates the counts.
 *
 * @example
 * ```ts
 * const refusals = createRefusalCounts();
 * refusals.note('holds', 'overdue');
 * ```
 */
export function createRefusalCounts(): RefusalCounts {
  const services = new Map<string, Map<string, number>>();
  return {
    note(service, why) {
      const counts = services.get(service) ?? new Map<string, number>();
      services.set(service, counts);
      counts.set(why, (counts.get(why) ?? 0) + 1);
    },
    all: () =>
      [...services].flatMap(([service, counts]) =>
        [...counts].map(([why, count]) => ({service, why, count})),
      ),
  };
}

/**
 * Returns the callers and keys that hold the most slots over all queues.
 *
 * @example
 * ```ts
 * const [first] = largestFlows(turns.accounts(), clock.now());
 * ```
 */
export function largestFlows(
  accounts: Iterable<Account>,
  now: number,
): readonly FlowReport[] {
  const callers: FlowReport[] = [];
  const keys: FlowReport[] = [];
  for (const account of accounts) {
    callers.push(...reportsOf(account, 'caller', now));
    keys.push(...reportsOf(account, 'key', now));
  }
  return [...mostTaken(callers), ...mostTaken(keys)];
}

function reportsOf(
  {service, owner, priority, callers, keys}: Account,
  kind: FlowReport['kind'],
  now: number,
): readonly FlowReport[] {
  const {shares} = kind === 'caller' ? callers : keys;
  return shares
    .largest(REPORTED_FLOWS, now)
    .map(share => ({kind, service, owner, priority, ...share}));
}

function mostTaken(reports: readonly FlowReport[]): readonly FlowReport[] {
  return [...reports]
    .sort((a, b) => b.slotsTaken - a.slotsTaken)
    .slice(0, REPORTED_FLOWS);
}
