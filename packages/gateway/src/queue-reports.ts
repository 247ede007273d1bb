import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {FlowReport, RefusalCount} from '@banyandrum/slots/queue-report.js';
import type {SlotAllocator} from '@banyandrum/slots/slot-allocator.js';

/** Interval between reports, in ms, as of the `vitals` events. */
const REPORT_MS = 2_000;

/**
 * Logs a `queue-shares` event every two seconds in which this router refused
 * requests as the leader: how many by reason, and the callers and keys that hold
 * the most slots. Without it, the log shows who was refused, but not for whom.
 *
 * @example
 * ```ts
 * const stop = reportQueueShares(clock, emit, allocator);
 * ```
 */
export function reportQueueShares(
  clock: Clock,
  emit: Emit,
  allocator: Pick<SlotAllocator, 'refusals' | 'largestFlows'>,
): () => void {
  let last = countByReason(allocator.refusals());

  const report = (): void => {
    cancel = clock.after(REPORT_MS, report);
    const counts = countByReason(allocator.refusals());
    const refused = formatNewCounts(last, counts);
    last = counts;
    if (refused === '') return;
    const flows = allocator.largestFlows();
    if (flows.length === 0) return;
    emit('queue-shares', {
      refused,
      callers: formatFlows(flows, 'caller'),
      keys: formatFlows(flows, 'key'),
    });
  };
  let cancel = clock.after(REPORT_MS, report);
  return () => cancel();
}

function countByReason(
  counts: readonly RefusalCount[],
): ReadonlyMap<string, number> {
  const totals = new Map<string, number>();
  for (const {why, count} of counts)
    totals.set(why, (totals.get(why) ?? 0) + count);
  return totals;
}

/** Formats the new refusals as `overdue:2 too-many-wait:40`. */
function formatNewCounts(
  before: ReadonlyMap<string, number>,
  now: ReadonlyMap<string, number>,
): string {
  return [...now]
    .map(([why, count]) => [why, count - (before.get(why) ?? 0)] as const)
    .filter(([, count]) => count > 0)
    .map(([why, count]) => `${why}:${count}`)
    .join(' ');
}

/** Formats flows as `holds/s4:917=2.4/6.1`: slots that it has and asks for. */
function formatFlows(
  flows: readonly FlowReport[],
  kind: FlowReport['kind'],
): string {
  return flows
    .filter(flow => flow.kind === kind)
    .map(
      ({service, owner, name, slotsTaken, slotsAsked}) =>
        `${service}/${owner ?? '*'}:${name}=` +
        `${slotsTaken.toFixed(1)}/${slotsAsked.toFixed(1)}`,
    )
    .join(' ');
}
