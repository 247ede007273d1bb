import {createCanceller, type CancelSignal} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {LedCell, Owned} from '@banyandrum/ownership/led-cell.js';
import {VERDICT_GRACE_MS} from './deadline-guard.js';
import type {DeadlineWheel} from './deadline.js';

/** Watches the lease under which a request runs. */
export interface LeaseWatch {
  /** Aborted when the caller cancels or the lease is lost. */
  readonly signal: CancelSignal;
  /** Whether the server has lost the shard, and so stopped the request. */
  isLost(): boolean;
  /** Called when the request has ended. */
  end(): void;
}

export interface LeaseWatchOptions {
  readonly led: LedCell;
  readonly where: Owned;
  /** The caller's signal. */
  readonly signal: CancelSignal;
  readonly wheel: DeadlineWheel;
  readonly clock: Clock;
}

/** Interval at which a process without authority checks again, in ms. */
const AUTHORITY_RECHECK_MS = 500;

/**
 * Watches the lease of a request that may outlive it. A server that lost its
 * lease has stopped the request but may be unable to report it, and the caller
 * would only learn it at its deadline, minutes later. A process without
 * authority ends no request, as its successor may renew the lease.
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
  let isLost = false;
  let hasEnded = false;
  let cancel = (): void => {};

  const schedule = (at: number, task: () => void): void => {
    if (!hasEnded && at < Infinity) cancel = wheel.schedule(at, task);
  };

  const giveUp = (): void => {
    isLost = true;
    stop();
  };

  const check = (): void => {
    const now = clock.now();
    if (!led.mayAct()) return schedule(now + AUTHORITY_RECHECK_MS, check);
    const until = where.heldUntil();
    if (until > now) return schedule(until, check);
    // The server's own answer may still be in transit.
    schedule(now + VERDICT_GRACE_MS, giveUp);
  };

  if (signal.aborted) stop();
  signal.addEventListener('abort', stop);
  schedule(where.leaseEnd, check);
  return {
    signal: stopper.signal,
    isLost: () => isLost,
    end() {
      hasEnded = true;
      cancel();
      signal.removeEventListener('abort', stop);
    },
  };
}
