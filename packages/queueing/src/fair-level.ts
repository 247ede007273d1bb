import {createAgeList, type AgedNode} from './age-list.js';
import {createFlows} from './flows.js';
import {createHeap, type HeapNode} from './heap.js';

/** The properties by which a level orders its items. */
export interface FairItem {
  readonly caller: string;
  readonly key: string;
}

/** An item's entry in a queue. */
export interface Ticket<T extends FairItem>
  extends HeapNode, AgedNode<Ticket<T>> {
  readonly item: T;
  /** Turn within the level; the lowest is served first. */
  readonly turn: number;
}

/** The requests of one level of precedence, fair by caller and by key. */
export interface FairLevel<T extends FairItem> {
  push(item: T): Ticket<T>;
  /** Adds a removed ticket again; its turn puts it at the head. */
  putBack(ticket: Ticket<T>): void;
  /** The ticket to serve next. */
  next(): Ticket<T> | null;
  oldest(): Ticket<T> | null;
  /** Removes a ticket. One that wasn't `served` releases its turn. */
  remove(ticket: Ticket<T>, served: boolean): boolean;
  /** The ticket with the latest turn among those that `may` be dropped. */
  last(may: (item: T) => boolean): Ticket<T> | null;
  /** Maximum number of tickets that are served before this one. */
  ahead(ticket: Ticket<T>): number;
  size(): number;
  tickets(): readonly Ticket<T>[];
}

/**
 * Creates one level. Each caller and each key reserves consecutive turns for its
 * requests; a request has the later one of the two. So a caller that sends many
 * requests at once, or a hot key, only delays its own requests, and another
 * caller with another key is served within one turn.
 *
 * @example
 * ```ts
 * const level = createFairLevel<Pending>(true);
 * const ticket = level.push(pending);
 * ```
 */
export function createFairLevel<T extends FairItem>(
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
    return Math.max(
      callers.reserveTurn(caller, now),
      keys.reserveTurn(key, now),
    );
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

function createTicket<T extends FairItem>(
  item: T,
  turn: number,
  order: number,
): Ticket<T> {
  return {item, turn, order, index: -1, older: null, newer: null};
}

function isBefore<T extends FairItem>(a: Ticket<T>, b: Ticket<T>): boolean {
  return a.turn < b.turn || (a.turn === b.turn && a.order < b.order);
}
