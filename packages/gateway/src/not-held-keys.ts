import type {Clock} from '@banyandrum/base/clock.js';

/** Keys that their owners answered not to hold. */
export interface NotHeldKeys {
  note(service: string, key: number, server: string): void;
  /** Time until the server may be asked for the key again, in ms; else 0. */
  remainingMs(service: string, key: number, server: string): number;
}

/**
 * Time until the same server is asked again, in ms. Without a leader nobody
 * grants it the key, and a leader that this router can't reach sends no table;
 * the recorded table is read at the same interval.
 */
const RECHECK_MS = 1_000;
/** Limit of remembered keys; the oldest are forgotten first. */
const MAX_KEYS = 10_000;

/**
 * Remembers for a second which keys a server answered not to hold.
 *
 * @example
 * ```ts
 * const notHeld = createNotHeldKeys(clock);
 * notHeld.note('rounds', 7, 'r1');
 * if (notHeld.remainingMs('rounds', 7, 'r1') > 0) refuse();
 * ```
 */
export function createNotHeldKeys(clock: Clock): NotHeldKeys {
  const untilByKey = new Map<string, number>();
  const nameOf = (service: string, key: number, server: string): string =>
    `${service} ${key} ${server}`;
  return {
    note(service, key, server) {
      const name = nameOf(service, key, server);
      untilByKey.delete(name);
      untilByKey.set(name, clock.now() + RECHECK_MS);
      if (untilByKey.size <= MAX_KEYS) return;
      const [oldest] = untilByKey.keys();
      untilByKey.delete(oldest!);
    },
    remainingMs(service, key, server) {
      const until = untilByKey.get(nameOf(service, key, server)) ?? -Infinity;
      return Math.max(0, until - clock.now());
    },
  };
}
