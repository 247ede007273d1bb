/** A frequently requested key. */
export interface CountedKey {
  readonly key: string;
  /** Decayed weight; overestimated by `error` at most. */
  readonly weight: number;
  readonly error: number;
  /** Decayed count since the key entered the sketch; a lower bound. */
  readonly count: number;
}

/** Finds the most frequent keys, in bounded memory. */
export interface HotKeySketch {
  /** Counts a key; `now` is a monotonic time in ms. */
  add(key: string, now: number, weight?: number): void;
  /** The keys with the highest weights, in descending order. */
  top(count: number, now: number): readonly CountedKey[];
  /** Decayed weight of all keys. */
  total(now: number): number;
  size(): number;
}

export interface HotKeyOptions {
  /** Maximum number of keys tracked. */
  readonly capacity: number;
  /** Time after which a count has decayed to half. */
  readonly halfLifeMs: number;
}

interface Counter {
  key: string;
  /** In units that grow with time, so that old weights decay relatively. */
  weight: number;
  error: number;
  count: number;
  heapIndex: number;
}

/** Weights are rescaled at this unit, before they lose precision. */
const MAX_UNIT = 2 ** 40;

/**
 * Creates a Space-Saving sketch with exponential decay. If the sketch is full,
 * a new key replaces the key with the lowest weight and inherits that weight. A
 * key with a share of more than 1 / capacity of the total weight is always in
 * the sketch.
 *
 * To decay, the unit of new weights grows instead of old weights being reduced.
 * Adding a key costs one heap update, without a sweep over all counters.
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
  /** A min-heap by weight. */
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
