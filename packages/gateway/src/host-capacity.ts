/** What a router's host has for the work of a leader. */
export interface HostCapacity {
  /** Processor, in cores of the usual speed. */
  readonly processors: number;
  /** The host's own link, in Mbit/s. */
  readonly linkMbps: number;
}

/** A router that could lead instead. */
export interface Candidate {
  /** `ip:port` for other routers. */
  readonly address: string;
  readonly room: HostCapacity;
  readonly dataCentre: string;
}

/**
 * Leading moves to a host with so many times the processor: a change costs a
 * grant of all keys, and hosts of one kind differ by less. Among 80 routers a
 * leader of 0.27 cores came 250 to 350 ms late to all that it did, and sent on
 * requests whose callers had left; one of 1.35 cores was busy for half its time.
 */
const MIN_PROCESSOR_RATIO = 1.5;

/** Whether leading is clearly better off on `other` than on `own`. */
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
 * The candidate with the most room, where it has clearly more than `own`; null
 * where none has.
 *
 * @example
 * ```ts
 * const next = pickRoomiest(own, followers);
 * if (next !== null) ask(next.address);
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

/** Two that are lost together with the leader leave one more. */
const MAX_DEPUTIES = 3;

/**
 * Who should lead next: those with the most room, of as many data centres as
 * possible, since one of these may be lost with all that it has.
 */
export function pickDeputies(
  candidates: Iterable<Candidate>,
): readonly Candidate[] {
  const sorted = [...candidates].sort(
    (a, b) => b.room.processors - a.room.processors,
  );
  const seen = new Set<string>();
  const firsts = sorted.filter(({dataCentre}) => {
    if (seen.has(dataCentre)) return false;
    seen.add(dataCentre);
    return true;
  });
  const others = sorted.filter(each => !firsts.includes(each));
  return [...firsts, ...others].slice(0, MAX_DEPUTIES);
}
