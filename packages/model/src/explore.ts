import {getAdjacencyMap} from '@xstate/graph';
import {fromTransition, type EventObject} from 'xstate';

/** A finite specification: its states, the steps of each, and a promise. */
export interface Specification<S extends object, E extends EventObject> {
  readonly initial: S;
  /** The steps possible in a state. */
  events(state: S): readonly E[];
  next(state: S, event: E): S;
  /** What is broken in this state, or null. */
  violation(state: S): string | null;
  /** Equal for states that behave alike from here on, and only for those. */
  serialize(state: S): string;
  describe(event: E): string;
}

/** The outcome of an exhaustive exploration. */
export interface Exploration {
  readonly states: number;
  /** Steps on the longest of all shortest ways from the initial state. */
  readonly depth: number;
  readonly violation: string | null;
  /** The steps to the violation found first, or empty. */
  readonly trace: readonly string[];
}

/** Ends an exploration of a specification that has grown out of bounds. */
const STATE_LIMIT = 1_000_000;

/** How a state was reached first. */
interface Arrival {
  readonly from: string;
  readonly event: string;
  readonly depth: number;
}

interface Snapshot<S> {
  readonly context: S;
}

/**
 * Explores every state of a specification until one breaks its promise,
 * nearest states first, so that the trace is a shortest one.
 *
 * @example
 * ```ts
 * const {states, trace} = explore(createAuthoritySpec(guards, scope));
 * ```
 */
export function explore<S extends object, E extends EventObject>(
  spec: Specification<S, E>,
): Exploration {
  const arrivals = new Map<string, Arrival>();
  let depth = 0;
  let broken: S | null = null;

  // The library queues each step it is given, also those to states that it
  // has seen. It is given only steps to new states: its queue stays short.
  const listNewSteps = (state: S): readonly E[] => {
    if (broken !== null) return [];
    const from = spec.serialize(state);
    const reached = (arrivals.get(from)?.depth ?? 0) + 1;
    return spec.events(state).filter(event => {
      const to = spec.serialize(spec.next(state, event));
      if (arrivals.has(to)) return false;
      arrivals.set(to, {from, event: spec.describe(event), depth: reached});
      depth = reached;
      return true;
    });
  };

  arrivals.set(spec.serialize(spec.initial), {from: '', event: '', depth: 0});
  const logic = fromTransition<S, E, never, undefined, EventObject>(
    (state, event) => spec.next(state, event),
    spec.initial,
  );
  const options = {
    events: ({context}: Snapshot<S>) => listNewSteps(context),
    serializeState: ({context}: Snapshot<S>) => spec.serialize(context),
    serializeEvent: spec.describe,
    limit: STATE_LIMIT,
    stopWhen: ({context}: Snapshot<S>) => {
      if (broken !== null) return true;
      if (spec.violation(context) === null) return false;
      broken = context;
      return true;
    },
  };
  // The library's types want a machine's snapshots; these are a function's.
  getAdjacencyMap(logic as never, options as never);

  const end = broken as S | null;
  return {
    states: arrivals.size,
    depth,
    violation: end && spec.violation(end),
    trace: end ? traceTo(arrivals, spec.serialize(end)) : [],
  };
}

function traceTo(
  arrivals: ReadonlyMap<string, Arrival>,
  target: string,
): readonly string[] {
  const trace: string[] = [];
  let arrival = arrivals.get(target);
  while (arrival !== undefined && arrival.depth > 0) {
    trace.unshift(arrival.event);
    arrival = arrivals.get(arrival.from);
  }
  return trace;
}
