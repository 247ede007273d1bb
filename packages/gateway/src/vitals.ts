import {performance} from 'node:perf_hooks';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';

/** What a process tells of itself from time to time. */
export interface VitalsSource {
  /** How late it comes to its work now, in ms. */
  lagMs(): number;
  inFlight(): number;
  isLeading(): boolean;
  /** Routers that follow this one. */
  followers(): number;
  /** Requests that wait here for a place. */
  waiting(): number;
  /** Calls to the platform since the start, by what they were for. */
  callCounts(): Readonly<Record<string, number>>;
}

/** A line is written this often, in ms: 81 hosts write 40 lines a second. */
const PERIOD_MS = 2_000;
/** The lag is looked at this often, in ms. */
const LOOK_MS = 500;

/**
 * Writes a line about the process itself every two seconds. Without it nothing
 * told a leader that was short of processor time from one whose link or whose
 * servers were slow: callers saw the same refusals.
 *
 * @example
 * ```ts
 * const stop = watchVitals(clock, emit, source);
 * ```
 */
export function watchVitals(
  clock: Clock,
  emit: Emit,
  source: VitalsSource,
): () => void {
  let usedBefore = performance.eventLoopUtilization();
  let callsBefore = source.callCounts();
  let worstLagMs = 0;
  let tellAt = clock.now() + PERIOD_MS;

  const tell = (): void => {
    const used = performance.eventLoopUtilization();
    const calls = source.callCounts();
    const {utilization} = performance.eventLoopUtilization(used, usedBefore);
    emit('vitals', {
      busy: Math.round(utilization * 100) / 100,
      lagMs: Math.round(worstLagMs),
      inFlight: source.inFlight(),
      isLeading: source.isLeading(),
      followers: source.followers(),
      waiting: source.waiting(),
      calls: describeCalls(callsBefore, calls),
    });
    usedBefore = used;
    callsBefore = calls;
    worstLagMs = 0;
    tellAt = clock.now() + PERIOD_MS;
  };

  const look = (): void => {
    worstLagMs = Math.max(worstLagMs, source.lagMs());
    if (clock.now() >= tellAt) tell();
    cancel = clock.after(LOOK_MS, look);
  };
  let cancel = clock.after(LOOK_MS, look);
  return () => cancel();
}

/** New calls as `config:2 join:6`, those without any left out. */
function describeCalls(
  before: Readonly<Record<string, number>>,
  now: Readonly<Record<string, number>>,
): string {
  return Object.entries(now)
    .map(([purpose, count]) => [purpose, count - (before[purpose] ?? 0)])
    .filter(([, count]) => count !== 0)
    .map(([purpose, count]) => `${purpose}:${count}`)
    .join(' ');
}
