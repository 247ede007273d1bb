import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Leadership} from './leadership.js';

/**
 * A leader that leaves waits so long for the next one, in ms, and looks for it
 * this often: two joins of whoever is chosen, and the start of its term.
 */
const SUCCESSOR_WAIT_MS = 1_200;
const SUCCESSOR_CHECK_MS = 200;

/** Leads on until another one does, so that places go on being issued. */
export async function handOverLeadership(
  leadership: Leadership,
  clock: Clock,
): Promise<void> {
  const end = clock.now() + SUCCESSOR_WAIT_MS;
  while (leadership.isLeading() && clock.now() < end) {
    await sleep(clock, SUCCESSOR_CHECK_MS);
    leadership.checkTerm();
  }
  leadership.resign();
}
