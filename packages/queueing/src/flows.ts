/** Name of a flow; a number is cheaper to find than its text. */
export type FlowName = string | number;

/** Turns of callers, or of keys, among the waiting requests. */
export interface Flows {
  /**
   * Reserves the flow's next turn, at `now` (virtual time) or later. The one
   * after it follows by `cost`, which is one by default.
   */
  reserveTurn(name: FlowName, now: number, cost?: number): number;
  /** A request of the flow waits again, with the turn reserved before. */
  rejoin(name: FlowName, turn: number): void;
  /** A request of the flow no longer waits. */
  leave(name: FlowName, served: boolean, now: number, cost?: number): void;
  /** Number of flows with waiting requests. */
  active(): number;
}

/** Settings of `createFlows`. */
export interface FlowsOptions {
  /**
   * Maximum lead over the virtual time at which a flow without waiting requests
   * is forgotten at a cleanup. A forgotten flow starts again at the virtual
   * time.
   */
  readonly forgivenLead: number;
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
export function createFlows(
  {forgivenLead}: FlowsOptions = {forgivenLead: 1},
): Flows {
  const flows = new Map<FlowName, Flow>();
  let active = 0;
  let departures = 0;

  const enter = (flow: Flow): void => {
    if (flow.queued++ === 0) active++;
  };

  const cleanUp = (now: number): void => {
    departures = 0;
    for (const [name, flow] of flows) {
      const isForgiven = flow.next <= now + forgivenLead;
      if (flow.queued === 0 && isForgiven) flows.delete(name);
    }
  };

  const flowOf = (name: FlowName, next: number): Flow => {
    const known = flows.get(name);
    if (known !== undefined) return known;
    const flow = {next, queued: 0};
    flows.set(name, flow);
    return flow;
  };

  return {
    reserveTurn(name, now, cost = 1) {
      const flow = flowOf(name, now);
      const turn = Math.max(now, flow.next);
      flow.next = turn + cost;
      enter(flow);
      return turn;
    },
    rejoin: (name, turn) => enter(flowOf(name, turn + 1)),
    leave(name, served, now, cost = 1) {
      const flow = flows.get(name);
      if (flow === undefined) return;
      if (--flow.queued === 0) active--;
      // A request that wasn't served releases its turn.
      if (!served) flow.next = Math.max(now, flow.next - cost);
      if (++departures >= DEPARTURES_PER_CLEAN_UP) cleanUp(now);
    },
    active: () => active,
  };
}
