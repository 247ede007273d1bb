import type {Clock} from '@banyandrum/base/clock.js';
import type {FailureCode} from '@banyandrum/base/failure.js';
import {cellOfKey} from '@banyandrum/base/hash.js';
import type {CellId, Incarnation} from '@banyandrum/base/ids.js';
import type {RequestHandler, ServiceRequest} from '@banyandrum/base/request.js';
import {Err} from '@banyandrum/base/result.js';
import type {Rules} from '@banyandrum/config/rules.js';
import type {View} from '@banyandrum/config/state.js';
import type {Outcome} from './deadline-guard.js';
import {createDeadlineWheel} from './deadline.js';
import {
  createEntryLimits,
  DEFAULT_CAPACITY,
  type EntryCapacity,
} from './entry-limits.js';
import type {LeaderQueue} from './queue.js';
import {overloaded, unknownService} from './refusals.js';
import {createRetryBudget} from './retry-budget.js';
import {createRoute} from './route.js';
import {trackBody} from './tracked-body.js';
import {createThrottle} from './throttle.js';
import {createViewWatch} from './view-watch.js';

/** Division of a service's keys; never changes for a service. */
export interface ServiceTopology {
  readonly shards: number;
  readonly cells: number;
}

/** Called for metrics; must not throw. */
export interface EntryEvents {
  /** A request is sent again because of `code`. */
  retried(cell: CellId, code: FailureCode): void;
  /** A request is refused because its cell refuses most of its level. */
  throttled(cell: CellId, level: number): void;
}

export interface EntryOptions {
  readonly self: Incarnation;
  readonly topology: (service: string) => ServiceTopology | null;
  readonly leaderOf: (cell: CellId) => View | null;
  /** Calls back after each change of views; returns a function that stops. */
  readonly subscribe: (listener: () => void) => () => void;
  /** The queue of a cell if this process leads it, else null. */
  readonly localLeader: (cell: CellId) => LeaderQueue | null;
  /** Sends a request to another router: `Peers.send`. */
  readonly send: (
    to: Incarnation,
    req: ServiceRequest,
  ) => ReturnType<RequestHandler>;
  readonly rules: () => Pick<Rules, 'limits' | 'precedence'>;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly events?: Partial<EntryEvents>;
  readonly capacity?: EntryCapacity;
}

/** Handles callers' requests. */
export interface Entry {
  readonly handle: RequestHandler;
  /** Stops watching the views; requests in progress continue. */
  close(): void;
}

/**
 * Creates the entry. It sends requests to the leader of the key's cell, and to
 * its successor if the leader changes. Failures are retried according to their
 * verdict, within the retry budget and the request's deadline.
 *
 * @example
 * ```ts
 * const entry = createEntry({self, topology, leaderOf, subscribe,
 *   localLeader: queues.queueOf, send: peers.send, rules, clock,
 *   random: Math.random});
 * const result = await entry.handle(req);
 * ```
 */
export function createEntry(options: EntryOptions): Entry {
  const wheel = createDeadlineWheel(options.clock);
  const {leaderOf, subscribe} = options;
  const watch = createViewWatch({leaderOf, subscribe, wheel});
  const budget = createRetryBudget(() => options.rules().limits.retryPercent);
  const route = createRoute({...options, wheel, watch, budget});
  const limits = createEntryLimits(
    options.capacity ?? DEFAULT_CAPACITY,
    options.rules,
  );
  const throttle = createThrottle(options);

  const admit = async (cell: CellId, req: ServiceRequest): Promise<Outcome> => {
    const retryAfterMs = throttle.refuses(cell, req);
    if (retryAfterMs !== null) {
      options.events?.throttled?.(cell, req.precedence);
      return Err(overloaded('the cell is overloaded', retryAfterMs));
    }
    budget.deposit();
    const outcome = await route(cell, trackBody(req));
    if (outcome.ok || outcome.val.code !== 'overloaded') {
      throttle.accepted(cell, req);
    } else {
      throttle.refused(cell, req, outcome.val.retryAfterMs ?? 0);
    }
    return outcome;
  };

  const handle: RequestHandler = async req => {
    const topology = options.topology(req.service);
    if (topology === null) return Err(unknownService(req.service));
    const {shards, cells} = topology;
    const cell = cellOfKey(req.service, req.key, shards, cells);
    const refusal = limits.enter(req);
    if (refusal !== null) return Err(refusal);
    try {
      return await admit(cell, req);
    } finally {
      limits.leave(req);
    }
  };

  return {handle, close: watch.close};
}
