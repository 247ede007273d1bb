import {holderOf, type PlaceIssuerConfig} from './free-server.js';
import {join, NO_HOLDER, waitersIn, type Lane} from './lane.js';
import type {PlaceAsk} from './places.js';

/** All that wait, by the servers that may serve them. */
export interface Lanes {
  /** The lane for the ask, as keys are held now. */
  of(ask: PlaceAsk): Lane;
  /** Lanes that a free place at the server may serve. */
  at(service: string, server: string): readonly Lane[];
  all(): Iterable<Lane>;
  /** Keys may have other holders: all wait where they belong now. */
  sort(): void;
  clear(): void;
}

/**
 * Keeps the lanes. A place that becomes free concerns one lane: looking through
 * all that wait for a service at each end kept the processor of the leader busy
 * at 2,000 places a second with some hundred waiting.
 *
 * @example
 * ```ts
 * const lanes = createLanes(cfg);
 * join(lanes.of(ask), waiter);
 * ```
 */
export function createLanes(cfg: PlaceIssuerConfig): Lanes {
  const services = new Map<string, Map<string | null, Lane>>();

  const laneAt = (service: string, holder: string | null): Lane => {
    const lanes = services.get(service) ?? new Map<string | null, Lane>();
    services.set(service, lanes);
    const lane = lanes.get(holder) ?? {service, holder, ranks: []};
    lanes.set(holder, lane);
    return lane;
  };

  const laneOf = (ask: PlaceAsk): Lane =>
    laneAt(
      ask.service,
      ask.key === null ? null : (holderOf(cfg, ask) ?? NO_HOLDER),
    );

  function* all(): Iterable<Lane> {
    for (const lanes of services.values()) yield* lanes.values();
  }

  return {
    of: laneOf,
    at(service, server) {
      const lanes = services.get(service);
      return [lanes?.get(null), lanes?.get(server)].filter(
        lane => lane !== undefined,
      );
    },
    all,
    sort() {
      const waiting = [...all()].flatMap(waitersIn);
      // Lanes of servers that left go as well.
      services.clear();
      waiting.sort((a, b) => a.askedAt - b.askedAt);
      for (const waiter of waiting) join(laneOf(waiter.ask), waiter);
    },
    clear: () => services.clear(),
  };
}
