import type {CancelSignal} from '@banyandrum/base/cancel.js';
import {
  countedDelayMs,
  type ReadDelay,
  type ReadDelayMonitor,
} from './read-delay.js';

/** Decides when requests that were read are handled. */
export interface RequestIntake {
  /**
   * Resolves when the request may be handled; null if it may be at once. By
   * then a close that its caller had sent before is known, which aborts
   * `signal`.
   */
  admit(delay: ReadDelay, signal: CancelSignal): Promise<void> | null;
  /**
   * Resolves when all that open connections had received has been read; null
   * if that can't be much.
   */
  catchUp(signal: CancelSignal): Promise<void> | null;
}

/** Dependencies of the intake. */
export interface RequestIntakeConfig {
  readonly delays: Pick<
    ReadDelayMonitor,
    'isAccepting' | 'pollDelayMs' | 'afterTurn'
  >;
  /** Monotonic time, in ms. */
  now(): number;
}

interface HeldRequest {
  readonly heldAt: number;
  /** Turns of the event loop until one complete poll has taken place. */
  turnsLeft: number;
  readonly signal: CancelSignal;
  resume(): void;
}

/**
 * While connections wait, some requests are handled after this time at the
 * latest, in ms.
 */
const MAX_ACCEPTING_MS = 25;
/**
 * Handling more requests in one turn would delay the next connections, and ask
 * for more slots at once than servers have.
 */
const RESUMED_PER_TURN = 4;
/**
 * Once the oldest was held for longer, in ms, newer requests are handled as
 * well as the oldest: the newest can still be answered in time.
 */
const MAX_HELD_MS = 100;
/** The rest of the turn in which a request was read, and the next one. */
const TURNS_UNTIL_POLLED = 2;
/**
 * Time since the last complete poll, in ms, after which callers may have left
 * unnoticed for so long that it matters.
 */
const MAX_BEHIND_MS = 200;

/**
 * Accepts connections before it handles requests. The event loop accepts one
 * connection a turn: a router that handles each request at once, when more
 * connections come than turns pass, reads requests seconds late, and sends on
 * those whose callers have left, as it reads their close only in a later turn.
 *
 * @example
 * ```ts
 * const intake = createRequestIntake({delays, now: () => clock.now()});
 * await intake.admit(delays.delayOf(req.socket));
 * ```
 */
export function createRequestIntake(cfg: RequestIntakeConfig): RequestIntake {
  const {delays, now} = cfg;
  const held: HeldRequest[] = [];
  let isScheduled = false;
  /** When the last requests were handled, or the first was held. */
  let acceptingSince = 0;

  const schedule = (): void => {
    if (isScheduled || held.length === 0) return;
    isScheduled = true;
    delays.afterTurn(onTurnEnd);
  };

  const onTurnEnd = (): void => {
    isScheduled = false;
    for (const request of held) request.turnsLeft--;
    resumeAborted();
    if (!mayHoldLonger()) resumeSome();
    schedule();
  };

  const mayHoldLonger = (): boolean =>
    delays.isAccepting() && now() - acceptingSince < MAX_ACCEPTING_MS;

  /** Ends requests whose callers have left, which costs next to nothing. */
  const resumeAborted = (): void => {
    const aborted = held.filter(({signal}) => signal.aborted);
    if (aborted.length === 0) return;
    const waiting = held.filter(({signal}) => !signal.aborted);
    held.splice(0, held.length, ...waiting);
    for (const {resume} of aborted) resume();
  };

  const resumeSome = (): void => {
    const unpolled = held.findIndex(({turnsLeft}) => turnsLeft > 0);
    const due = unpolled < 0 ? held.length : unpolled;
    if (due === 0) return;
    const isOverloaded = now() - held[0]!.heldAt > MAX_HELD_MS;
    const newest = isOverloaded ? Math.min(due, RESUMED_PER_TURN / 2) : 0;
    const oldest = Math.min(due - newest, RESUMED_PER_TURN - newest);
    const resumed = [
      ...held.splice(due - newest, newest),
      ...held.splice(0, oldest),
    ];
    for (const {resume} of resumed) resume();
    acceptingSince = now();
  };

  const hold = (signal: CancelSignal): Promise<void> =>
    new Promise(resolve => {
      const turnsLeft = TURNS_UNTIL_POLLED;
      if (held.length === 0) acceptingSince = now();
      held.push({heldAt: now(), turnsLeft, signal, resume: resolve});
      schedule();
    });

  return {
    admit: ({ms}, signal) =>
      countedDelayMs(ms) > 0 || delays.isAccepting() ? hold(signal) : null,
    catchUp: signal =>
      delays.pollDelayMs() > MAX_BEHIND_MS ? hold(signal) : null,
  };
}
