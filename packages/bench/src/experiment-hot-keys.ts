/** The true frequency of each key, to hold the leader's finding against. */
export interface HotKeyCount {
  add(key: string, now: number): void;
  /** The keys asked for most in the last minute, the first 73 of them. */
  hottest(now: number): readonly string[];
}

const WANTED = 73;
const MINUTE_MS = 60_000;

/**
 * Counts every key of the last minute without bound, which only an
 * experiment may do.
 *
 * @example
 * ```ts
 * count.add('ward-7', clock.now());
 * count.hottest(clock.now());
 * ```
 */
export function createHotKeyCount(): HotKeyCount {
  const asked: {readonly key: string; readonly at: number}[] = [];
  return {
    add: (key, at) => void asked.push({key, at}),
    hottest(now) {
      const counts = new Map<string, number>();
      for (const {key, at} of asked) {
        if (at < now - MINUTE_MS) continue;
        counts.set(key, (counts.get(key) ?? 0) + 1);
      }
      return [...counts]
        .sort((a, b) => b[1] - a[1])
        .slice(0, WANTED)
        .map(([key]) => key);
    },
  };
}
