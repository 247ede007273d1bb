import type {Clock} from '@banyandrum/base/clock.js';
import type {LeaseClient} from '@banyandrum/ranges/lease-client.js';
import {NOT_ENDED, type TermEndAnswer} from './term-end.js';

/** A term of this process, as far as its successors need to know it. */
export interface OwnTerm {
  readonly epoch: number;
  /** Monotonic time until which leaders of earlier terms may act, in ms. */
  earlierActUntil(): number;
  /** Leaders of earlier terms are now known to act for at most this long. */
  limitEarlier(earlierMs: number): void;
  /** Returns a client whose calls count as calls of this term. */
  countCalls(client: LeaseClient): LeaseClient;
}

/** The last terms of this process. */
export interface OwnTerms {
  /** Adds a term whose earlier leaders may act until then, in ms. */
  add(epoch: number, earlierActUntil: number): OwnTerm;
  /**
   * Whether no call of the term is in flight. Only for a term that has ended,
   * so that it makes no further calls.
   */
  answerEnd(epoch: number): TermEndAnswer;
}

/** A successor asks about the newest terms only. */
const MAX_TERMS = 8;

interface Entry {
  earlierUntil: number;
  callsInFlight: number;
}

/**
 * Creates the record of this process's terms. It outlives each term, because
 * the next leader asks about it.
 *
 * @example
 * ```ts
 * const ownTerms = createOwnTerms(clock);
 * const ownTerm = ownTerms.add(epoch, clock.now() + AUTHORITY_MS);
 * ```
 */
export function createOwnTerms(clock: Clock): OwnTerms {
  const entries = new Map<number, Entry>();

  const dropOldest = (): void => {
    if (entries.size <= MAX_TERMS) return;
    entries.delete(Math.min(...entries.keys()));
  };

  return {
    add(epoch, earlierActUntil) {
      const entry: Entry = {earlierUntil: earlierActUntil, callsInFlight: 0};
      entries.set(epoch, entry);
      dropOldest();
      const count = async <T>(call: Promise<T>): Promise<T> => {
        entry.callsInFlight++;
        return call.finally(() => {
          entry.callsInFlight--;
        });
      };
      return {
        epoch,
        earlierActUntil: () => entry.earlierUntil,
        limitEarlier(earlierMs) {
          const until = clock.now() + earlierMs;
          entry.earlierUntil = Math.min(entry.earlierUntil, until);
        },
        countCalls: client => ({
          grant: (assignment, leaseMs, timeoutMs) =>
            count(client.grant(assignment, leaseMs, timeoutMs)),
          renew: (assignment, leaseMs, timeoutMs, acceptedAt) =>
            count(client.renew(assignment, leaseMs, timeoutMs, acceptedAt)),
          release: (assignment, timeoutMs) =>
            count(client.release(assignment, timeoutMs)),
        }),
      };
    },
    answerEnd(epoch) {
      const entry = entries.get(epoch);
      if (entry === undefined || entry.callsInFlight > 0) return NOT_ENDED;
      const leftMs = Math.ceil(entry.earlierUntil - clock.now());
      return {kind: 'ended', earlierMs: Math.max(0, leftMs)};
    },
  };
}
