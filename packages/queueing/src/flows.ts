/** Turns of callers, or of keys, among the waiting requests. */
export interface Flows {
  /** Reserves the flow's next turn, at `now` (virtual time) or later. */
  reserveTurn(name: string, now: number): number;
  /** A request of the flow waits again, with the turn reserved before. */
  rejoin(name: string, turn: number): void;
  /** A request of the flow no longer waits. */
  leave(name: string, served: boolean, now: number): void;
  /** Number of flows with waiting requests. */
  active(): number;
}

interface Flow {
  /** The first turn that isn't reserved. */
  next: number;
  queued: number;
}

/** Departures between two cleanups of flows without waiting requests. */
const DEPARTURES_PER_CLEAN_UP = 512;

/**
 * Creates an empty set of flows. Its memory is bounded by the waiting requests
 * plus the departures between two cleanups, however many names callers use.
 *
 * @example
 * ```ts
 * const callers = createFlows();
 * const turn = callers.reserveTurn('night-desk', now);
 * ```
 */
export function createFlows(): Flows {
  const flows = new Map<string, Flow>();
  let active = 0;
  let departures = 0;

  const enter = (flow: Flow): void => {
    if (flow.queued++ === 0) active++;
  };

  const cleanUp = (now: number): void => {
    departures = 0;
    for (const [name, flow] of flows) {
      if (flow.queued === 0 && flow.next <= now + 1) flows.delete(name);
    }
  };

  const flowOf = (name: string, next: number): Flow => {
    const known = flows.get(name);
    if (known !== undefined) return known;
    const flow = {next, queued: 0};
    flows.set(name, flow);
    return flow;
  };

  return {
    reserveTurn(name, now) {
      const flow = flowOf(name, now);
      const turn = Math.max(now, flow.next);
      flow.next = turn + 1;
      enter(flow);
      return turn;
    },
    rejoin: (name, turn) => enter(flowOf(name, turn + 1)),
    leave(name, served, now) {
      const flow = flows.get(name);
      if (flow === undefined) return;
      if (--flow.queued === 0) active--;
      // A request that wasn't served releases its turn.
      if (!served) flow.next = Math.max(now, flow.next - 1);
      if (++departures >= DEPARTURES_PER_CLEAN_UP) cleanUp(now);
    },
    active: () => active,
  };
}
