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
const REPORT_MS = 2_000;
/** The lag is looked at this often, in ms. */
const SAMPLE_MS = 500;

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
export function reportVitals(
  clock: Clock,
  emit: Emit,
  source: VitalsSource,
): () => void {
  let lastUtilization = performance.eventLoopUtilization();
  let lastCalls = source.callCounts();
  let maxLagMs = 0;
  let reportAt = clock.now() + REPORT_MS;

  const report = (): void => {
    const currentUtilization = performance.eventLoopUtilization();
    const calls = source.callCounts();
    const {utilization} = performance.eventLoopUtilization(currentUtilization, lastUtilization);
    emit('vitals', {
      busy: Math.round(utilization * 100) / 100,
      lagMs: Math.round(maxLagMs),
      inFlight: source.inFlight(),
      isLeading: source.isLeading(),
      followers: source.followers(),
      waiting: source.waiting(),
      calls: formatNewCalls(lastCalls, calls),
    });
    lastUtilization = currentUtilization;
    lastCalls = calls;
    maxLagMs = 0;
    reportAt = clock.now() + REPORT_MS;
  };

  const sample = (): void => {
    maxLagMs = Math.max(maxLagMs, source.lagMs());
    if (clock.now() >= reportAt) report();
    cancel = clock.after(SAMPLE_MS, sample);
  };
  let cancel = clock.after(SAMPLE_MS, sample);
  return () => cancel();
}

/** New calls as `config:2 join:6`, those without any left out. */
function formatNewCalls(
  before: Readonly<Record<string, number>>,
  now: Readonly<Record<string, number>>,
): string {
  return Object.entries(now)
    .map(([purpose, count]) => [purpose, count - (before[purpose] ?? 0)])
    .filter(([, count]) => count !== 0)
    .map(([purpose, count]) => `${purpose}:${count}`)
    .join(' ');
}
