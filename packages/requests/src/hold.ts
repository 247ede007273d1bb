import type {Clock} from '@banyandrum/base/clock.js';
import type {DeadlineWheel} from './deadline.js';
import type {ServerQueue} from './server-queue.js';

/** Wakes queues that were stopped for a reason that may pass by itself. */
export interface Hold {
  /** The leader may not act now. */
  lost(): void;
  /** The leader may act. */
  found(): void;
  /** Looks at all queues again a little later. */
  poll(): void;
  /** Looks at one server's queue again at `at`. */
  wake(server: ServerQueue, at: number): void;
}

export interface HoldOptions {
  readonly clock: Clock;
  readonly wheel: DeadlineWheel;
  readonly pollMs: number;
  /** How long requests wait for the authority to return, in ms. */
  readonly limitMs: () => number;
  readonly pump: (server: ServerQueue) => void;
  readonly pumpAll: () => void;
  /** The authority did not return. */
  readonly giveUp: () => void;
}

/**
 * Makes the wake-up calls of one cell. A short lapse of authority, such as
 * after a pause of the process, is waited out; after a longer one somebody
 * else leads, and the requests go back to their entries.
 *
 * @example
 * ```ts
 * if (!led.mayAct()) return hold.lost();
 * hold.found();
 * ```
 */
export function createHold(options: HoldOptions): Hold {
  const {clock, wheel} = options;
  const asleep = new Set<ServerQueue>();
  let polling = false;
  let lostAt: number | null = null;

  const look = (): void => {
    polling = false;
    options.pumpAll();
    if (lostAt === null) return;
    if (clock.now() - lostAt > options.limitMs()) options.giveUp();
  };

  const poll = (): void => {
    if (polling) return;
    polling = true;
    clock.after(options.pollMs, look);
  };

  return {
    lost() {
      lostAt ??= clock.now();
      poll();
    },
    found() {
      lostAt = null;
    },
    poll,
    wake(server, at) {
      if (asleep.has(server)) return;
      asleep.add(server);
      wheel.schedule(at, () => {
        asleep.delete(server);
        options.pump(server);
      });
    },
  };
}
