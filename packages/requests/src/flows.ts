/** Turns of callers, or of keys, among the requests that wait. */
export interface Flows {
  /** Books the flow's next turn, at `now` (virtual time) or later. */
  book(name: string, now: number): number;
  /** One request of the flow waits again; its turn was booked before. */
  rejoin(name: string, turn: number): void;
  /** One request of the flow waits no more. */
  leave(name: string, served: boolean, now: number): void;
  /** Flows of which something waits. */
  active(): number;
}

interface Flow {
  /** The first turn that is not booked. */
  next: number;
  queued: number;
}

/** Departures between two clean-ups of flows that nobody waits in. */
const CLEAN_UP_EVERY = 512;

/**
 * Makes an empty account of flows. Memory is bounded by what waits plus the
 * departures between two clean-ups, however many names callers make up.
 *
 * @example
 * ```ts
 * const callers = createFlows();
 * const turn = callers.book('night-desk', now);
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
    book(name, now) {
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
      // One that was never served gives its turn back.
      if (!served) flow.next = Math.max(now, flow.next - 1);
      if (++departures >= CLEAN_UP_EVERY) cleanUp(now);
    },
    active: () => active,
  };
}
