import type {Canceller} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';

/** The requests of one interface whose answers aren't written yet. */
export interface InFlight {
  size(): number;
  add(controller: Canceller): void;
  delete(controller: Canceller): void;
  /** Aborts all of them; yields how many. */
  abortAll(): number;
  /** Resolves as soon as there is none, or after `ms`. */
  idleWithin(ms: number): Promise<void>;
}

/**
 * Counts requests in flight, so that a graceful stop can wait for them.
 *
 * @example
 * ```ts
 * const inFlight = createInFlight(clock);
 * await inFlight.idleWithin(5000);
 * ```
 */
export function createInFlight(clock: Clock): InFlight {
  const controllers = new Set<Canceller>();
  const waiting = new Set<() => void>();

  const idleWithin = async (ms: number): Promise<void> => {
    if (controllers.size === 0) return;
    const idle = new AbortController();
    const notify = (): void => idle.abort();
    waiting.add(notify);
    await sleep(clock, ms, idle.signal);
    waiting.delete(notify);
  };

  return {
    size: () => controllers.size,
    add: controller => {
      controllers.add(controller);
    },
    delete: controller => {
      controllers.delete(controller);
      if (controllers.size === 0) waiting.forEach(notify => notify());
    },
    abortAll: () => {
      const {size} = controllers;
      controllers.forEach(controller => controller.abort());
      return size;
    },
    idleWithin,
  };
}
