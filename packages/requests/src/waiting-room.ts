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

/** Who may wait, how long, and who gives way. */
export interface WaitingRoom {
  /** Takes a request into the server's queue, without a decision yet. */
  enter(pending: Pending, server: ServerQueue): Ticket<Pending>;
  /**
   * Decides on a request that entered and could not be sent at once: it
   * stays, or it is refused now, or another one gives way.
   */
  admit(pending: Pending, server: ServerQueue): void;
  /** Lets a request wait for its shard. */
  park(pending: Pending, gate: ShardGate): void;
  /** Puts a request back that was taken from the server's queue. */
  putBack(ticket: Ticket<Pending>, server: ServerQueue): void;
  /** Ends the wait of a taken request, and learns from how long it was. */
  leave(pending: Pending, server: ServerQueue): void;
}

export interface WaitingRoomOptions {
  readonly clock: Clock;
  readonly wheel: DeadlineWheel;
  readonly rules: () => Pick<Rules, 'limits'>;
  /** Refuses on arrival what its deadline leaves no time for. */
  readonly refuseEarly: boolean;
}

/**
 * A request that leaves time for so many service times and still can't be
 * served in time shows an overload; one in more of a hurry shows only that.
 * The entry throttles its cell for the first kind alone.
 */
const PATIENCE = 4;

/**
 * Makes the rules of waiting of one cell.
 *
 * @example
 * ```ts
 * const ticket = room.enter(pending, server);
 * pump(server);
 * if (pending.spot?.ticket === ticket) room.admit(pending, server);
 * ```
 */
export function createWaitingRoom(options: WaitingRoomOptions): WaitingRoom {
  const {clock, wheel, rules} = options;

  const sit = (pending: Pending, queue: FairQueue<Pending>): void => {
    const ticket = queue.push(pending);
    pending.spot = {queue, ticket, since: clock.now(), expectedMs: 0};
  };

  /** Makes room for a newcomer, or refuses it where it is the last. */
  const trim = (newcomer: Pending, why: () => Failure): void => {
    const {maxQueued, maxQueuedBytes} = rules().limits;
    while (newcomer.spot !== null) {
      const {queue, ticket} = newcomer.spot;
      if (queue.size() <= maxQueued && queue.bytes() <= maxQueuedBytes) return;
      refuse(queue.victim(ticket, clock.now()).item, why());
    }
  };

  const learn = (pending: Pending, server: ServerQueue): void => {
    if (pending.spot === null) return;
    const {since, expectedMs} = pending.spot;
    server.waited(pending.level, since, expectedMs);
  };

  /** Refuses the request once there is no time left to run it. */
  const guardAtServer = (pending: Pending, server: ServerQueue): void => {
    const until = pending.req.deadline - server.lowMs(pending.level);
    guard(pending, wheel, until, () => {
      learn(pending, server);
      const ticket = pending.spot?.ticket;
      refuse(pending, expired(ticket ? server.waitMs(ticket) : 0));
    });
  };

  /** Why the request has to go at once, or null where it may stay. */
  const objection = (
    {level, req}: Pending,
    server: ServerQueue,
    waitMs: number,
  ): Failure | null => {
    const spareMs = req.deadline - clock.now();
    if (!options.refuseEarly) return null;
    if (waitMs + server.lowMs(level) <= spareMs) return null;
    const patient = spareMs >= PATIENCE * server.meanMs(level);
    if (!patient) return expired(waitMs);
    return overloaded('the queue is too long', waitMs);
  };

  return {
    enter(pending, server) {
      sit(pending, server.waiting);
      return (pending.spot as NonNullable<Pending['spot']>).ticket;
    },
    admit(pending, server) {
      const {spot} = pending;
      if (spot === null) return;
      const waitMs = server.waitMs(spot.ticket);
      const why = objection(pending, server, waitMs);
      if (why !== null) return refuse(pending, why);
      trim(pending, () => overloaded('the queue is full', waitMs));
      if (pending.spot === null) return;
      spot.expectedMs = waitMs;
      guardAtServer(pending, server);
    },
    park(pending, gate) {
      sit(pending, gate.waiting);
      trim(pending, tooManyWait);
      if (pending.spot === null) return;
      guard(pending, wheel, pending.req.deadline, () =>
        refuse(pending, expired(SETTLING_RETRY_MS)),
      );
    },
    putBack(ticket, server) {
      const queue = server.waiting;
      const pending = ticket.item;
      queue.putBack(ticket);
      pending.spot = {queue, ticket, since: clock.now(), expectedMs: 0};
      guardAtServer(pending, server);
    },
    leave(pending, server) {
      learn(pending, server);
      pending.spot = null;
    },
  };
}
