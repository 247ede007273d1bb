/** What the queue needs to know of a request. */
export interface QueueItem {
  /** Index into the levels of precedence; 0 goes first. */
  readonly level: number;
  readonly bytes: number;
}

/** The requests that wait for one server, by precedence. */
export interface FairQueue<T extends QueueItem> {
  push(item: T): void;
  /** Puts an item back that was taken, ahead of its level. */
  putBack(item: T): void;
  /** Takes the next one, or null where none waits. */
  take(): T | null;
  /** `false` where it doesn't wait here. */
  remove(item: T): boolean;
  /** All that wait, in no particular order. */
  items(): T[];
  size(): number;
  bytes(): number;
}

/**
 * Makes an empty queue.
 *
 * @example
 * ```ts
 * const queue = createFairQueue<Pending>();
 * queue.push(pending);
 * const next = queue.take();
 * ```
 */
export function createFairQueue<T extends QueueItem>(): FairQueue<T> {
  const levels: T[][] = [];
  let size = 0;
  let bytes = 0;

  const levelOf = (item: T): T[] => (levels[item.level] ??= []);

  const count = (item: T, sign: 1 | -1): void => {
    size += sign;
    bytes += sign * item.bytes;
  };

  return {
    push(item) {
      levelOf(item).push(item);
      count(item, 1);
    },
    putBack(item) {
      levelOf(item).unshift(item);
      count(item, 1);
    },
    take() {
      const item = levels.find(level => level?.length)?.shift();
      if (item === undefined) return null;
      count(item, -1);
      return item;
    },
    remove(item) {
      const level = levelOf(item);
      const index = level.indexOf(item);
      if (index < 0) return false;
      level.splice(index, 1);
      count(item, -1);
      return true;
    },
    items: () => levels.flat(),
    size: () => size,
    bytes: () => bytes,
  };
}
