import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {TableStore, TermLeader} from '@banyandrum/ranges/table-store.js';
import type {OwnTerm} from './own-terms.js';

/** A new leader asks the previous one whether its term has ended. */
export interface TermEndQuestion {
  /** The process that led; another one at its address can't answer for it. */
  readonly run: string;
  /** The epoch of its term. */
  readonly epoch: number;
  /** The epoch of the new leader's term, which ends all earlier ones. */
  readonly successorEpoch: number;
}

/** The answer of the process at the previous leader's address. */
export type TermEndAnswer =
  /**
   * The process never acts in that term again, and none of its calls to servers
   * is in flight. Leaders before it act for at most `earlierMs` more.
   */
  | {readonly kind: 'ended'; readonly earlierMs: number}
  /** Not known yet; may be asked again. */
  | {readonly kind: 'not-ended'}
  /** Another process runs at the address, so nothing is known. */
  | {readonly kind: 'other-run'};

export const NOT_ENDED: TermEndAnswer = {kind: 'not-ended'};
export const OTHER_RUN: TermEndAnswer = {kind: 'other-run'};

/** What proving the end of the previous term needs. */
export interface TermEndConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  readonly ledger: Pick<TableStore, 'previousLeader'>;
  /** Asks the process at the leader's address; null without an answer. */
  ask(
    leader: TermLeader,
    question: TermEndQuestion,
  ): Promise<TermEndAnswer | null>;
  /** Whether the own term still goes on. */
  goesOn(): boolean;
}

/**
 * Interval at which the previous leader is asked again, in ms. One that shuts
 * down answers for a few of these after its term has ended.
 */
const ASK_INTERVAL_MS = 200;
/**
 * The interval grows by this factor up to this maximum, in ms, because a host
 * without power never answers.
 */
const BACKOFF = 1.5;
const MAX_ASK_INTERVAL_MS = 1_500;

/**
 * Asks the leader of the previous term whether its term has ended, until it
 * confirms that or can no longer act anyway. Then only leaders before it remain,
 * for as long as it says. See `docs/design/takeover.md`.
 *
 * @example
 * ```ts
 * void provePreviousEnd(cfg, ownTerm);
 * ```
 */
export async function provePreviousEnd(
  cfg: TermEndConfig,
  ownTerm: OwnTerm,
): Promise<void> {
  const {clock, emit} = cfg;
  const startedAt = clock.now();
  const leader = await cfg.ledger.previousLeader();
  if (leader === null) return;
  const {run, epoch} = leader;
  const question = {run, epoch, successorEpoch: ownTerm.epoch};
  let pauseMs = ASK_INTERVAL_MS;
  while (cfg.goesOn() && clock.now() < ownTerm.earlierActUntil()) {
    const answer = await cfg.ask(leader, question);
    if (answer?.kind === 'other-run') return;
    if (answer?.kind === 'ended') {
      const {earlierMs} = answer;
      ownTerm.limitEarlier(earlierMs);
      const tookMs = Math.round(clock.now() - startedAt);
      emit('previous-term-ended', {epoch, earlierMs, tookMs});
      return;
    }
    await sleep(clock, pauseMs);
    pauseMs = Math.min(MAX_ASK_INTERVAL_MS, pauseMs * BACKOFF);
  }
}

/**
 * Checks an answer from another process; null if it isn't one.
 *
 * @example
 * ```ts
 * readTermEndAnswer({kind: 'ended', earlierMs: 300});
 * ```
 */
export function readTermEndAnswer(value: unknown): TermEndAnswer | null {
  if (typeof value !== 'object' || value === null) return null;
  const {kind, earlierMs} = value as Record<string, unknown>;
  if (kind === 'not-ended') return NOT_ENDED;
  if (kind === 'other-run') return OTHER_RUN;
  if (kind !== 'ended' || typeof earlierMs !== 'number') return null;
  return earlierMs >= 0 ? {kind, earlierMs} : null;
}
