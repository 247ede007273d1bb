import type {Clock} from '@banyandrum/base/clock.js';
import type {Failure} from '@banyandrum/base/failure.js';
import type {Rules} from '@banyandrum/config/rules.js';
import type {DeadlineWheel} from './deadline.js';
import type {Ticket} from './fair-level.js';
import type {FairQueue} from './fair-queue.js';
import {guard, refuse, type Pending} from './pending.js';
import {
  expired,
  overloaded,
  SETTLING_RETRY_MS,
  tooManyWait,
} from './refusals.js';
import type {ServerQueue} from './server-queue.js';
import type {ShardGate} from './shard-gate.js';

/** Decides which requests wait, for how long, and which are dropped. */
export interface WaitingRoom {
  /** Adds a request to the server's queue, to be decided by `admit`. */
  enter(pending: Pending, server: ServerQueue): Ticket<Pending>;
  /**
   * Decides on a request that could not be sent at once: it waits, or it is
   * refused, or another one is dropped for it.
   */
  admit(pending: Pending, server: ServerQueue): void;
  /** Adds a request to those that wait for their shard. */
  waitForShard(pending: Pending, gate: ShardGate): void;
  /** Adds a request again that was taken from the server's queue. */
  putBack(ticket: Ticket<Pending>, server: ServerQueue): void;
  /** Ends the wait of a taken request and records its duration. */
  leave(pending: Pending, server: ServerQueue): void;
}

export interface WaitingRoomOptions {
  readonly clock: Clock;
  readonly wheel: DeadlineWheel;
  readonly rules: () => Pick<Rules, 'limits'>;
  /** Whether to refuse requests on arrival that can't meet their deadline. */
  readonly refuseEarly: boolean;
}

/**
 * A request with time for this many service times that can't be served in time
 * indicates overload, for which the entry throttles the cell. One with less time
 * only has a short deadline.
 */
const OVERLOAD_SERVICE_TIMES = 4;

/**
 * Creates the waiting room of one cell.
 *
 * @example
 * ```ts
 * const ticket = waitingRoom.enter(pending, server);
 * sendWaiting(server);
 * if (pending.position?.ticket === ticket)
 *   waitingRoom.admit(pending, server);
 * ```
 */
export function createWaitingRoom(options: WaitingRoomOptions): WaitingRoom {
  const {clock, wheel, rules} = options;

  const enqueue = (pending: Pending, queue: FairQueue<Pending>): void => {
    const ticket = queue.push(pending);
    pending.position = {queue, ticket, since: clock.now(), expectedMs: 0};
  };

  /** Drops requests beyond the limits, if need be the newcomer. */
  const enforceLimits = (newcomer: Pending, why: () => Failure): void => {
    const {maxQueued, maxQueuedBytes} = rules().limits;
    while (newcomer.position !== null) {
      const {queue, ticket} = newcomer.position;
      if (queue.size() <= maxQueued && queue.bytes() <= maxQueuedBytes) return;
      refuse(queue.chooseToDrop(ticket, clock.now()).item, why());
    }
  };

  const recordWait = (pending: Pending, server: ServerQueue): void => {
    if (pending.position === null) return;
    const {since, expectedMs} = pending.position;
    server.waited(pending.level, since, expectedMs);
  };

  /** Refuses the request once there is no time left to serve it. */
  const guardAtServer = (pending: Pending, server: ServerQueue): void => {
    const until = pending.req.deadline - server.lowMs(pending.level);
    guard(pending, wheel, until, () => {
      recordWait(pending, server);
      const ticket = pending.position?.ticket;
      refuse(pending, expired(ticket ? server.waitMs(ticket) : 0));
    });
  };

  /** Why the request must be refused at once; null if it may wait. */
  const refusalReason = (
    {level, req}: Pending,
    server: ServerQueue,
    waitMs: number,
  ): Failure | null => {
    const spareMs = req.deadline - clock.now();
    if (!options.refuseEarly) return null;
    if (waitMs + server.lowMs(level) <= spareMs) return null;
    const hasTime = spareMs >= OVERLOAD_SERVICE_TIMES * server.meanMs(level);
    if (!hasTime) return expired(waitMs);
    return overloaded('the queue is too long', waitMs);
  };

  return {
    enter(pending, server) {
      enqueue(pending, server.waiting);
      return (pending.position as NonNullable<Pending['position']>).ticket;
    },
    admit(pending, server) {
      const {position: spot} = pending;
      if (spot === null) return;
      const waitMs = server.waitMs(spot.ticket);
      const why = refusalReason(pending, server, waitMs);
      if (why !== null) return refuse(pending, why);
      enforceLimits(pending, () => overloaded('the queue is full', waitMs));
      if (pending.position === null) return;
      spot.expectedMs = waitMs;
      guardAtServer(pending, server);
    },
    waitForShard(pending, gate) {
      enqueue(pending, gate.waiting);
      enforceLimits(pending, tooManyWait);
      if (pending.position === null) return;
      guard(pending, wheel, pending.req.deadline, () =>
        refuse(pending, expired(SETTLING_RETRY_MS)),
      );
    },
    putBack(ticket, server) {
      const queue = server.waiting;
      const pending = ticket.item;
      queue.putBack(ticket);
      pending.position = {queue, ticket, since: clock.now(), expectedMs: 0};
      guardAtServer(pending, server);
    },
    leave(pending, server) {
      recordWait(pending, server);
      pending.position = null;
    },
  };
}
