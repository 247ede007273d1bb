/** Capacity of a router's host for the work of a leader. */
export interface HostCapacity {
  /** Processor capacity, in cores of standard speed. */
  readonly processors: number;
  /** Bandwidth of the host's network link, in Mbit/s. */
  readonly linkMbps: number;
}

/** A router that could become the leader. */
export interface Candidate {
  /** The address at which other routers reach it, `ip:port`. */
  readonly address: string;
  readonly room: HostCapacity;
  readonly dataCentre: string;
}

/**
 * Leadership moves only to a host with at least this many times the processor
 * capacity: a change of leader costs a new grant of all keys, and hosts of the
 * same type differ by less. With 80 routers, a leader with 0.27 cores was 250
 * to 350 ms late with all its work and forwarded requests whose callers had
 * left; one with 1.35 cores was busy half the time.
 */
const MIN_PROCESSOR_RATIO = 1.5;

/** Whether `other` has clearly more capacity for leading than `own`. */
export function hasClearlyMoreCapacity(
  other: HostCapacity,
  own: HostCapacity,
): boolean {
  return (
    other.processors >= own.processors * MIN_PROCESSOR_RATIO &&
    other.linkMbps >= own.linkMbps
  );
}

/**
 * Returns the candidate with the highest capacity if that is clearly more than
 * `own`, else null.
 *
 * @example
 * ```ts
 * const next = pickLargestHost(own, followers);
 * if (next !== null) offerLeadership(next.address);
 * ```
 */
export function pickLargestHost<T extends Candidate>(
  own: HostCapacity,
  candidates: Iterable<T>,
): T | null {
  let best: T | null = null;
  for (const candidate of candidates) {
    if (!hasClearlyMoreCapacity(candidate.room, own)) continue;
    if (best === null || isLarger(candidate.room, best.room)) best = candidate;
  }
  return best;
}

function isLarger(a: HostCapacity, b: HostCapacity): boolean {
  if (a.processors !== b.processors) return a.processors > b.processors;
  return a.linkMbps > b.linkMbps;
}

/** If two deputies are lost together with the leader, one remains. */
export const MAX_DEPUTIES = 3;

/**
 * Picks the routers that should lead next: those with the highest capacity,
 * spread over as many data centres as possible, since a whole data centre may
 * be lost.
 */
export function pickDeputies(
  candidates: Iterable<Candidate>,
): readonly Candidate[] {
  const sorted = [...candidates].sort(
    (a, b) => b.room.processors - a.room.processors,
  );
  const seen = new Set<string>();
  const largestPerDataCentre = sorted.filter(({dataCentre}) => {
    if (seen.has(dataCentre)) return false;
    seen.add(dataCentre);
    return true;
  });
  const others = sorted.filter(each => !largestPerDataCentre.includes(each));
  return [...largestPerDataCentre, ...others].slice(0, MAX_DEPUTIES);
}
