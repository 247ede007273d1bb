import type {PrecedenceLevel} from '@banyandrum/config/rules.js';
import {createFairLevel} from '@banyandrum/queueing/fair-level.js';
import type {FairLevel, QueueItem, Ticket} from './fair-level.js';

/** The requests that wait for one server, ordered by precedence with ageing. */
export interface FairQueue<T extends QueueItem> {
  push(item: T): Ticket<T>;
  /** Adds a taken ticket again; it is next within its level. */
  putBack(ticket: Ticket<T>): void;
  /** Takes the next ticket; null if none waits. */
  take(now: number): Ticket<T> | null;
  /** Returns `false` if it doesn't wait here. */
  remove(ticket: Ticket<T>): boolean;
  /**
   * The ticket to drop if there is no room for `newcomer`, which was already
   * added: the latest turn of the lowest level, possibly the newcomer itself.
   * Tickets that have aged up to the newcomer's level are kept.
   */
  chooseToDrop(newcomer: Ticket<T>, now: number): Ticket<T>;
  /** Maximum number of tickets of `level` that are served before this one. */
  ahead(ticket: Ticket<T>, level: number): number;
  /** All waiting items in no particular order. */
  items(): T[];
  size(): number;
  bytes(): number;
  sizeOf(level: number): number;
}

export interface FairQueueOptions {
  /** Levels of precedence from the rules. */
  readonly levels: () => readonly PrecedenceLevel[];
  /** Whether turns are fair by caller and key; else by order of arrival. */
  readonly fair: boolean;
}

/**
 * While requests of higher levels wait, one turn in this many goes to a request
 * that has aged up to them. Without it, low levels would starve; with more, a
 * backlog of old reports would delay the urgent requests.
 */
const AGED_TURN = 8;

/**
 * Creates an empty queue.
 *
 * @example
 * ```ts
 * const queue = createFairQueue<Pending>({levels, fair: true});
 * queue.push(pending);
 * const next = queue.take(clock.now());
 * ```
 */
export function createFairQueue<T extends QueueItem>(
  options: FairQueueOptions,
): FairQueue<T> {
  const levels: FairLevel<T>[] = [];
  let size = 0;
  let bytes = 0;
  let turnsSinceAged = 0;

  const levelAt = (level: number): FairLevel<T> => {
    while (levels.length <= level) levels.push(createFairLevel(options.fair));
    return levels[level] as FairLevel<T>;
  };

  const count = (item: T, sign: 1 | -1): void => {
    size += sign;
    bytes += sign * item.bytes;
  };

  /** The item's level with ageing. */
  const agedLevel = (item: T, now: number): number => {
    const ageAfterMs = options.levels()[item.level]?.ageAfterMs ?? 0;
    if (ageAfterMs <= 0) return item.level;
    return item.level - Math.floor((now - item.queuedAt) / ageAfterMs);
  };

  /** The oldest ticket of a lower level that has aged up to `level`. */
  const agedUpTo = (level: number, now: number): Ticket<T> | null => {
    let best: Ticket<T> | null = null;
    for (let lower = level + 1; lower < levels.length; lower++) {
      const oldest = levelAt(lower).oldest();
      if (oldest === null || agedLevel(oldest.item, now) > level) continue;
      if (best === null || isOlder(oldest, best)) best = oldest;
    }
    return best;
  };

  const choose = (now: number): Ticket<T> | null => {
    const first = levels.findIndex(level => level.size() > 0);
    if (first < 0) return null;
    const next = levelAt(first).next();
    const aged = agedUpTo(first, now);
    if (aged === null) return next;
    if (++turnsSinceAged < AGED_TURN) return next;
    turnsSinceAged = 0;
    return aged;
  };

  return {
    push(item) {
      count(item, 1);
      return levelAt(item.level).push(item);
    },
    putBack(ticket) {
      count(ticket.item, 1);
      levelAt(ticket.item.level).putBack(ticket);
    },
    take(now) {
      const ticket = choose(now);
      if (ticket === null) return null;
      levelAt(ticket.item.level).remove(ticket, true);
      count(ticket.item, -1);
      return ticket;
    },
    remove(ticket) {
      if (!levelAt(ticket.item.level).remove(ticket, false)) return false;
      count(ticket.item, -1);
      return true;
    },
    chooseToDrop(newcomer, now) {
      const own = newcomer.item.level;
      const isYoung = (item: T): boolean => agedLevel(item, now) > own;
      for (let lower = levels.length - 1; lower > own; lower--) {
        const last = levelAt(lower).last(isYoung);
        if (last !== null) return last;
      }
      return levelAt(own).last(() => true) ?? newcomer;
    },
    ahead(ticket, level) {
      const own = ticket.item.level;
      if (level > own) return 0;
      if (level < own) return levelAt(level).size();
      return levelAt(level).ahead(ticket);
    },
    items: () =>
      levels.flatMap(level => level.tickets().map(ticket => ticket.item)),
    size: () => size,
    bytes: () => bytes,
    sizeOf: level => levels[level]?.size() ?? 0,
  };
}

function isOlder<T extends QueueItem>(a: Ticket<T>, b: Ticket<T>): boolean {
  return a.item.queuedAt < b.item.queuedAt;
}
