import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Leadership} from './leadership.js';

/**
 * How long a leader that shuts down waits for its successor, and how often it
 * checks for one, in ms. Covers two membership renewals of the chosen router
 * and the start of its term.
 */
const SUCCESSOR_WAIT_MS = 1_200;
const SUCCESSOR_CHECK_MS = 200;

/** Keeps leading, and so allocating slots, until a successor leads. */
export async function handOverLeadership(
  leadership: Leadership,
  clock: Clock,
): Promise<void> {
  const deadline = clock.now() + SUCCESSOR_WAIT_MS;
  while (leadership.isLeading() && clock.now() < deadline) {
    await sleep(clock, SUCCESSOR_CHECK_MS);
    leadership.checkTerm();
  }
  leadership.resign();
}
