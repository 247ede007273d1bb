/** First in, first out. */
export interface Queue<T> {
  push(item: T): void;
  /** The oldest, or null where there is none. */
  shift(): T | null;
  size(): number;
  clear(): void;
}

/** Taken items are kept until there are so many, then let go together. */
const MAX_TAKEN = 256;

/**
 * Makes a queue. `shift` of a long array would move all of it each time.
 *
 * @example
 * ```ts
 * const queue = createQueue<Outgoing>();
 * queue.push(out);
 * ```
 */
export function createQueue<T extends object>(): Queue<T> {
  let items: T[] = [];
  let head = 0;
  return {
    push(item) {
      items.push(item);
    },
    shift() {
      const item = items[head];
      if (item === undefined) return null;
      head++;
      if (head === items.length || head === MAX_TAKEN) {
        items = items.slice(head);
        head = 0;
      }
      return item;
    },
    size: () => items.length - head,
    clear() {
      items = [];
      head = 0;
    },
  };
}
