import type {Failure} from '@banyandrum/base/failure.js';
import type {ServiceRequest} from '@banyandrum/base/request.js';
import {Err} from '@banyandrum/base/result.js';
import {bodySize} from './body-size.js';
import type {Outcome} from './deadline-guard.js';
import type {DeadlineWheel} from './deadline.js';
import type {QueueItem, Ticket} from './fair-level.js';
import type {FairQueue} from './fair-queue.js';
import {cancelled} from './refusals.js';
import {trackBody} from './tracked-body.js';

/** One request in the leader's hands. */
export interface Pending extends QueueItem {
  readonly req: ServiceRequest;
  /** Whether the body can be sent once more. */
  isWhole(): boolean;
  resolve(outcome: Outcome): void;
  /** Where it waits, if it does. */
  spot: Spot | null;
  /** Times that a server refused it as not the owner. */
  fenced: number;
  /** Stops what `guard` started. */
  unguard: () => void;
}

/** A place in one of the queues. */
export interface Spot {
  readonly queue: FairQueue<Pending>;
  readonly ticket: Ticket<Pending>;
  readonly since: number;
  /** Wait estimated on arrival, in ms; 0 where there was no estimate. */
  expectedMs: number;
}

/** Takes a request into the leader's hands; `levels` are in the rules. */
export function createPending(
  req: ServiceRequest,
  levels: number,
  now: number,
  resolve: (outcome: Outcome) => void,
): Pending {
  const tracked = trackBody(req);
  return {
    req: tracked.req,
    isWhole: tracked.isWhole,
    resolve,
    level: clampLevel(req.precedence, levels),
    caller: req.caller,
    key: req.key,
    bytes: bodySize(req.body),
    queuedAt: now,
    spot: null,
    fenced: 0,
    unguard: noop,
  };
}

/** Ends a waiting request with the reason why it was not run. */
export function refuse(pending: Pending, why: Failure): void {
  leaveSpot(pending);
  pending.unguard();
  pending.resolve(Err(why));
}

/** Takes a request out of the queue that it waits in. */
export function leaveSpot(pending: Pending): void {
  pending.spot?.queue.remove(pending.spot.ticket);
  pending.spot = null;
}

/**
 * Ends a waiting request when its caller gives up, or at `until`, where it
 * calls `expire`. Requests that are sent at once never come here, which
 * saves them a listener and a timer.
 */
export function guard(
  pending: Pending,
  wheel: DeadlineWheel,
  until: number,
  expire: () => void,
): void {
  pending.unguard();
  const {signal} = pending.req;
  if (signal.aborted) return refuse(pending, cancelled());
  const giveUp = (): void => refuse(pending, cancelled());
  const cancel = wheel.schedule(until, expire);
  signal.addEventListener('abort', giveUp);
  pending.unguard = () => {
    cancel();
    signal.removeEventListener('abort', giveUp);
    pending.unguard = noop;
  };
}

/** Another router's rules may be older and name more levels. */
function clampLevel(precedence: number, levels: number): number {
  return Math.max(0, Math.min(levels - 1, precedence));
}

function noop(): void {}
