import type {Clock} from '@banyandrum/base/clock.js';
import type {DeadlineWheel} from './deadline.js';
import type {ServerQueue} from './server-queue.js';

/** Resumes sending after a temporary obstacle. */
export interface DispatchResumer {
  /** The leader may not act now. */
  noteAuthorityLost(): void;
  /** The leader may act. */
  noteAuthorityHeld(): void;
  /** Checks all queues again after the poll interval. */
  poll(): void;
  /** Checks one server's queue again at `at`. */
  wake(server: ServerQueue, at: number): void;
}

export interface DispatchResumerOptions {
  readonly clock: Clock;
  readonly wheel: DeadlineWheel;
  readonly pollMs: number;
  /** Maximum time that requests wait for the authority, in ms. */
  readonly limitMs: () => number;
  readonly sendWaiting: (server: ServerQueue) => void;
  readonly sendAllWaiting: () => void;
  /** Called if the authority wasn't regained in time. */
  readonly giveUp: () => void;
}

/**
 * Creates the resumer of one cell. Requests wait during a short loss of
 * authority, such as after a pause of the process. After a longer one another
 * process leads, and they are returned to their entries.
 *
 * @example
 * ```ts
 * if (!led.mayAct()) return resumer.noteAuthorityLost();
 * resumer.noteAuthorityHeld();
 * ```
 */
export function createDispatchResumer(
  options: DispatchResumerOptions,
): DispatchResumer {
  const {clock, wheel} = options;
  const scheduled = new Set<ServerQueue>();
  let polling = false;
  let lostAt: number | null = null;

  const recheck = (): void => {
    polling = false;
    options.sendAllWaiting();
    if (lostAt === null) return;
    if (clock.now() - lostAt > options.limitMs()) options.giveUp();
  };

  const poll = (): void => {
    if (polling) return;
    polling = true;
    clock.after(options.pollMs, recheck);
  };

  return {
    noteAuthorityLost() {
      lostAt ??= clock.now();
      poll();
    },
    noteAuthorityHeld() {
      lostAt = null;
    },
    poll,
    wake(server, at) {
      if (scheduled.has(server)) return;
      scheduled.add(server);
      wheel.schedule(at, () => {
        scheduled.delete(server);
        options.sendWaiting(server);
      });
    },
  };
}
