/** A slowdown as a server reported it. */
export interface SlowdownReading {
  readonly slowdown: number;
  /** Monotonic time at which it arrived, in ms. */
  readonly at: number;
}

/**
 * A reading says nothing after this time, in ms: other work on a machine changes
 * about every 400 ms.
 */
export const FRESH_MS = 500;
/**
 * Time constant with which the slowdown returns to the usual one, in ms. At a
 * random moment, work that changes about every 400 ms goes on for 200 to 400 ms.
 */
const PERSISTENCE_MS = 300;

/**
 * Mean slowdown that a request meets during `durationMs` from now on: close to
 * the last reading for a short one, and to the usual slowdown for a long one or
 * after an old reading.
 *
 * @example
 * ```ts
 * expectedSlowdown({slowdown: 3, at: now - 20}, 1.4, 180, now); // about 2.5
 * ```
 */
export function expectedSlowdown(
  reading: SlowdownReading | null,
  usual: number,
  durationMs: number,
  now: number,
): number {
  if (reading === null || now - reading.at >= FRESH_MS) return usual;
  const ageFactor = Math.exp(-(now - reading.at) / PERSISTENCE_MS);
  const duration = Math.max(1, durationMs) / PERSISTENCE_MS;
  const durationFactor = (1 - Math.exp(-duration)) / duration;
  return usual + (reading.slowdown - usual) * ageFactor * durationFactor;
}

/**
 * Mean slowdown during a request that has just ended: of the reading in its
 * answer, and of the one before if that isn't older than the request by more
 * than `FRESH_MS`. Speeds are averaged, as the work done is their sum.
 */
export function slowdownDuring(
  before: SlowdownReading | null,
  atEnd: number,
  tookMs: number,
  now: number,
): number {
  if (before === null || now - before.at >= tookMs + FRESH_MS) return atEnd;
  return 2 / (1 / before.slowdown + 1 / atEnd);
}
