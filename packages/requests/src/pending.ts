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

/** A request that the leader has not answered yet. */
export interface Pending extends QueueItem {
  readonly req: ServiceRequest;
  /** Whether the body can be sent again. */
  isWhole(): boolean;
  resolve(outcome: Outcome): void;
  /** Its position while it waits, else null. */
  position: QueuePosition | null;
  /** Number of refusals by servers that don't own the shard. */
  fenced: number;
  /** Removes the listener and the timer of `guard`. */
  unguard: () => void;
}

/** A position in one of the queues. */
export interface QueuePosition {
  readonly queue: FairQueue<Pending>;
  readonly ticket: Ticket<Pending>;
  readonly since: number;
  /** Wait estimated on arrival, in ms; 0 if there was no estimate. */
  expectedMs: number;
}

/** Creates the state of a request; `levels` is their number in the rules. */
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
    position: null,
    fenced: 0,
    unguard: noop,
  };
}

/** Refuses a waiting request with the reason why it was not run. */
export function refuse(pending: Pending, why: Failure): void {
  leaveQueue(pending);
  pending.unguard();
  pending.resolve(Err(why));
}

/** Removes a request from the queue in which it waits. */
export function leaveQueue(pending: Pending): void {
  pending.position?.queue.remove(pending.position.ticket);
  pending.position = null;
}

/**
 * Refuses a waiting request when its caller cancels, and calls `expire` at
 * `until`. Requests that are sent at once need neither listener nor timer.
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

/** Another router's rules may be older and have more levels. */
function clampLevel(precedence: number, levels: number): number {
  return Math.max(0, Math.min(levels - 1, precedence));
}

function noop(): void {}
