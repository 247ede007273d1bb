/** Requests for one service and their arrivals, for the rule on retries. */
export interface RepeatLog {
  /** Records a caller's request for the service. */
  noteRequest(): void;
  /** Records a request's arrival at a server, whatever the server does. */
  noteArrival(requestId: string): void;
  /** The window in which the repeats exceed most what is allowed. */
  worstWindow(): RepeatWindow;
}

/** One window of the rule. */
export interface RepeatWindow {
  /** Arrivals beyond the first of each request. */
  readonly repeats: number;
  readonly allowed: number;
}

/** The rule's bounds, as the platform's settings give them. */
export interface RepeatRule {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Creates an empty log; `now` returns the time in ms.
 *
 * @example
 * ```ts
 * const log = createRepeatLog(rule, () => performance.now());
 * log.noteRequest();
 * log.noteArrival('r1');
 * const {repeats, allowed} = log.worstWindow();
 * ```
 */
export function createRepeatLog(
  {ratio, slack, windowMs}: RepeatRule,
  now: () => number,
): RepeatLog {
  const requests: number[] = [];
  const repeats: number[] = [];
  const seen = new Set<string>();

  /** The most requests in the window, the one before, and half a window ago. */
  const requestsFor = (from: number): number =>
    Math.max(
      ...[0, windowMs / 2, windowMs].map(earlierMs =>
        countBetween(requests, from - earlierMs, from - earlierMs + windowMs),
      ),
    );

  return {
    noteRequest: () => void requests.push(now()),
    noteArrival(requestId) {
      if (seen.has(requestId)) repeats.push(now());
      seen.add(requestId);
    },
    worstWindow() {
      const windows = repeats.map(from => ({
        repeats: countBetween(repeats, from, from + windowMs),
        allowed: ratio * requestsFor(from) + slack,
      }));
      const excess = (window: RepeatWindow): number =>
        window.repeats - window.allowed;
      const [first, ...others] = windows;
      if (first === undefined) return {repeats: 0, allowed: slack};
      return others.reduce<RepeatWindow>(
        (worst, each) => (excess(each) > excess(worst) ? each : worst),
        first,
      );
    },
  };
}

/** Number of the ascending `times` from `from` on and before `to`. */
function countBetween(
  times: readonly number[],
  from: number,
  to: number,
): number {
  return countBefore(times, to) - countBefore(times, from);
}

function countBefore(times: readonly number[], limit: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (times[middle]! < limit) low = middle + 1;
    else high = middle;
  }
  return low;
}
