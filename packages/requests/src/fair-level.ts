import {createAgeList, type AgedNode} from './age-list.js';
import {createFlows} from './flows.js';
import {createHeap, type HeapNode} from './heap.js';

/** What the queue goes by. */
export interface QueueItem {
  /** Index into the levels of precedence; 0 goes first. */
  readonly level: number;
  readonly caller: string;
  readonly key: string;
  readonly bytes: number;
  /** Monotonic time in ms at which it first came. */
  readonly queuedAt: number;
}

/** An item's place in a queue. */
export interface Ticket<T extends QueueItem>
  extends HeapNode, AgedNode<Ticket<T>> {
  readonly item: T;
  /** Turn within the level; the lowest goes first. */
  readonly turn: number;
}

/** The requests of one level of precedence, fair by caller and by key. */
export interface FairLevel<T extends QueueItem> {
  push(item: T): Ticket<T>;
  /** Puts a taken ticket back; its turn brings it to the head again. */
  putBack(ticket: Ticket<T>): void;
  /** The one whose turn it is. */
  next(): Ticket<T> | null;
  oldest(): Ticket<T> | null;
  /** `served`: it goes to the server; else it gives its turn back. */
  remove(ticket: Ticket<T>, served: boolean): boolean;
  /** The one with the latest turn among those that `may` go. */
  last(may: (item: T) => boolean): Ticket<T> | null;
  /** At most how many are served before the ticket. */
  ahead(ticket: Ticket<T>): number;
  size(): number;
  tickets(): readonly Ticket<T>[];
}

/**
 * Makes one level. Every caller and every key has an account that moves on
 * by one turn with each of its requests; a request's turn is the later of
 * the two. So a caller who sends a hundred at once, or a key that everybody
 * asks for, waits behind its own requests, and a quiet caller with a quiet
 * key is served within one turn of the others.
 *
 * @example
 * ```ts
 * const level = createFairLevel<Pending>(true);
 * const ticket = level.push(pending);
 * ```
 */
export function createFairLevel<T extends QueueItem>(
  fair: boolean,
): FairLevel<T> {
  const heap = createHeap<Ticket<T>>(isBefore);
  const ages = createAgeList<Ticket<T>>();
  const callers = createFlows();
  const keys = createFlows();
  let now = 0;
  let order = 0;

  const bookTurn = ({caller, key}: T): number => {
    if (!fair) return 0;
    return Math.max(callers.book(caller, now), keys.book(key, now));
  };

  return {
    push(item) {
      const ticket = createTicket(item, bookTurn(item), order++);
      ages.append(ticket);
      heap.push(ticket);
      return ticket;
    },
    putBack(ticket) {
      ages.putBack(ticket);
      heap.push(ticket);
      if (!fair) return;
      callers.rejoin(ticket.item.caller, ticket.turn);
      keys.rejoin(ticket.item.key, ticket.turn);
    },
    next: () => heap.top() ?? null,
    oldest: ages.oldest,
    remove(ticket, served) {
      if (!heap.remove(ticket)) return false;
      ages.remove(ticket);
      if (served) now = Math.max(now, ticket.turn);
      if (!fair) return true;
      callers.leave(ticket.item.caller, served, now);
      keys.leave(ticket.item.key, served, now);
      return true;
    },
    last(may) {
      let last: Ticket<T> | null = null;
      for (const ticket of heap.nodes) {
        if (last !== null && isBefore(ticket, last)) continue;
        if (may(ticket.item)) last = ticket;
      }
      return last;
    },
    ahead(ticket) {
      const others = heap.nodes.length - 1;
      if (!fair) return others;
      const flows = Math.min(callers.active(), keys.active());
      return Math.min(others, (ticket.turn - now) * flows);
    },
    size: () => heap.nodes.length,
    tickets: () => heap.nodes,
  };
}

function createTicket<T extends QueueItem>(
  item: T,
  turn: number,
  order: number,
): Ticket<T> {
  return {item, turn, order, index: -1, older: null, newer: null};
}

function isBefore<T extends QueueItem>(a: Ticket<T>, b: Ticket<T>): boolean {
  return a.turn < b.turn || (a.turn === b.turn && a.order < b.order);
}
