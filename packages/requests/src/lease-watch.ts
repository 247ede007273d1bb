import {createCanceller, type CancelSignal} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {LedCell, Owned} from '@banyandrum/ownership/led-cell.js';
import {VERDICT_GRACE_MS} from './deadline-guard.js';
import type {DeadlineWheel} from './deadline.js';

/** Follows the lease that a request runs under. */
export interface LeaseWatch {
  /** Aborted when the caller gives up, or with the lease. */
  readonly signal: CancelSignal;
  /** The server has lost the shard, so it has stopped the request. */
  isLost(): boolean;
  /** The request is over. */
  end(): void;
}

export interface LeaseWatchOptions {
  readonly led: LedCell;
  readonly where: Owned;
  /** The caller's. */
  readonly signal: CancelSignal;
  readonly wheel: DeadlineWheel;
  readonly clock: Clock;
}

/** How soon a process without authority asks again who keeps the lease. */
const UNSURE_MS = 500;

/**
 * Watches the lease of a request that may outlive it. A server that lost its
 * lease has stopped the request, but may be unable to say so: without the
 * watch the caller would hear of it at its own deadline, minutes later. A
 * process that may not act ends nothing: its successor may keep the lease.
 *
 * @example
 * ```ts
 * const watch = createLeaseWatch({led, where, signal, wheel, clock});
 * const outcome = await send(watch.signal);
 * watch.end();
 * ```
 */
export function createLeaseWatch(options: LeaseWatchOptions): LeaseWatch {
  const {led, where, signal, wheel, clock} = options;
  const stopper = createCanceller();
  const stop = (): void => stopper.abort();
  let lost = false;
  let over = false;
  let cancel = (): void => {};

  const schedule = (at: number, task: () => void): void => {
    if (!over && at < Infinity) cancel = wheel.schedule(at, task);
  };

  const giveUp = (): void => {
    lost = true;
    stop();
  };

  const check = (): void => {
    const now = clock.now();
    if (!led.mayAct()) return schedule(now + UNSURE_MS, check);
    const until = where.heldUntil();
    if (until > now) return schedule(until, check);
    // The server's own word may still be on its way.
    schedule(now + VERDICT_GRACE_MS, giveUp);
  };

  if (signal.aborted) stop();
  signal.addEventListener('abort', stop);
  schedule(where.leaseEnd, check);
  return {
    signal: stopper.signal,
    isLost: () => lost,
    end() {
      over = true;
      cancel();
      signal.removeEventListener('abort', stop);
    },
  };
}
