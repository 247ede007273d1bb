/** A key that is asked for often. */
export interface CountedKey {
  readonly key: string;
  /** Weight over the last while, at most `error` too high. */
  readonly weight: number;
  readonly error: number;
  /** Times that it was surely counted over the last while. */
  readonly count: number;
}

/** Finds the keys that are asked for most, in bounded memory. */
export interface HotKeySketch {
  /** Counts a key, at a monotonic time in ms that never goes back. */
  add(key: string, now: number, weight?: number): void;
  /** The heaviest keys, the heaviest first. */
  top(count: number, now: number): readonly CountedKey[];
  /** Weight of all keys over the last while. */
  total(now: number): number;
  size(): number;
}

export interface HotKeyOptions {
  /** Keys remembered at most. */
  readonly capacity: number;
  /** After this time a count is worth half. */
  readonly halfLifeMs: number;
}

interface Counter {
  key: string;
  /** In units that grow with time, so that old counts fade by themselves. */
  weight: number;
  error: number;
  count: number;
  /** Its place in the heap. */
  heapIndex: number;
}

/** Units are brought back to size before they lose precision. */
const MAX_UNIT = 2 ** 40;

/**
 * Makes a space-saving sketch with fading counts. A key that is new to a full
 * sketch takes the place, and the count, of the lightest one: a key whose
 * share of all weight is above 1 / capacity is always in it.
 *
 * Counts fade by letting the unit of new counts grow, so that a count costs
 * one step through a heap and nothing is swept over.
 *
 * @example
 * ```ts
 * const sketch = createHotKeySketch({capacity: 512, halfLifeMs: 20_000});
 * sketch.add('ward-7', clock.now());
 * sketch.top(73, clock.now());
 * ```
 */
export function createHotKeySketch(options: HotKeyOptions): HotKeySketch {
  const {capacity, halfLifeMs} = options;
  const counters = new Map<string, Counter>();
  /** A heap with the lightest counter first. */
  const heap: Counter[] = [];
  let origin = 0;
  let total = 0;

  const unitAt = (now: number): number => {
    const unit = 2 ** ((now - origin) / halfLifeMs);
    if (unit <= MAX_UNIT) return unit;
    for (const counter of heap) {
      counter.weight /= unit;
      counter.error /= unit;
      counter.count /= unit;
    }
    total /= unit;
    origin = now;
    return 1;
  };

  const siftDown = (counter: Counter): void => {
    for (;;) {
      const left = heap[2 * counter.heapIndex + 1];
      const right = heap[2 * counter.heapIndex + 2];
      const lighter =
        right !== undefined && left !== undefined && right.weight < left.weight
          ? right
          : left;
      if (lighter === undefined || lighter.weight >= counter.weight) return;
      swap(heap, counter, lighter);
    }
  };

  const siftUp = (counter: Counter): void => {
    while (counter.heapIndex > 0) {
      const parent = heap[(counter.heapIndex - 1) >> 1];
      if (parent === undefined || parent.weight <= counter.weight) return;
      swap(heap, counter, parent);
    }
  };

  const insert = (key: string, weight: number, count: number): void => {
    const counter = {key, weight, error: 0, count, heapIndex: heap.length};
    counters.set(key, counter);
    heap.push(counter);
    siftUp(counter);
  };

  const replaceLightest = (
    key: string,
    weight: number,
    count: number,
  ): void => {
    const lightest = heap[0];
    if (lightest === undefined) return;
    counters.delete(lightest.key);
    counters.set(key, lightest);
    lightest.key = key;
    lightest.error = lightest.weight;
    lightest.weight += weight;
    lightest.count = count;
    siftDown(lightest);
  };

  return {
    add(key, now, weight = 1) {
      const unit = unitAt(now);
      const scaled = weight * unit;
      total += scaled;
      const counter = counters.get(key);
      if (counter !== undefined) {
        counter.weight += scaled;
        counter.count += unit;
        siftDown(counter);
      } else if (heap.length < capacity) {
        insert(key, scaled, unit);
      } else {
        replaceLightest(key, scaled, unit);
      }
    },
    top(count, now) {
      const unit = unitAt(now);
      return [...heap]
        .sort((a, b) => b.weight - a.weight || (a.key < b.key ? -1 : 1))
        .slice(0, count)
        .map(({key, weight, error, count}) => ({
          key,
          weight: weight / unit,
          error: error / unit,
          count: count / unit,
        }));
    },
    total: now => total / unitAt(now),
    size: () => heap.length,
  };
}

function swap(heap: Counter[], a: Counter, b: Counter): void {
  const index = a.heapIndex;
  a.heapIndex = b.heapIndex;
  b.heapIndex = index;
  heap[a.heapIndex] = a;
  heap[b.heapIndex] = b;
}
