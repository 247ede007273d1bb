import {holderOf, type PlaceIssuerConfig} from './free-server.js';
import type {Waiter} from './place-queue.js';
import type {PlaceAsk} from './places.js';

/** Requests that wait for the same servers. */
export interface Lane {
  readonly service: string;
  /**
   * The server that holds their keys; `NO_HOLDER` while nobody does, null where
   * any server of the service will do.
   */
  readonly holder: string | null;
  waiters: Waiter[];
}

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

/** Keys that are moving, or held by nobody. */
export const NO_HOLDER = '';

/**
 * Keeps the lanes. A place that becomes free concerns one lane: looking through
 * all that wait for a service at each end kept the processor of the leader busy
 * at 2,000 places a second with some hundred waiting.
 *
 * @example
 * ```ts
 * const lanes = createLanes(cfg);
 * lanes.of(ask).waiters.push(waiter);
 * ```
 */
export function createLanes(cfg: PlaceIssuerConfig): Lanes {
  const services = new Map<string, Map<string | null, Lane>>();

  const laneAt = (service: string, holder: string | null): Lane => {
    const lanes = services.get(service) ?? new Map<string | null, Lane>();
    services.set(service, lanes);
    const lane = lanes.get(holder) ?? {service, holder, waiters: []};
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
      const waiting = [...all()].flatMap(({waiters}) => waiters);
      // Lanes of servers that left go as well.
      services.clear();
      for (const waiter of waiting) {
        if (!waiter.isOver) laneOf(waiter.ask).waiters.push(waiter);
      }
    },
    clear: () => services.clear(),
  };
}
