import {performance} from 'node:perf_hooks';
import process from 'node:process';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {ReadDelay} from './read-delay.js';
import type {SlotResponseSummary} from './slot-response-times.js';

/** Values that the periodic `vitals` event reports. */
export interface VitalsSource {
  /** Current event loop lag, in ms. */
  lagMs(): number;
  /** The longest delay of a read since the last call. */
  takeWorstDelay(): ReadDelay;
  /** How long replies to slot requests took since the last call. */
  takeSlotResponses(): SlotResponseSummary;
  /** The share of requests that this router asks the leader for. */
  admittedShare(): number;
  inFlight(): number;
  isLeading(): boolean;
  /** Number of routers that follow this one. */
  followers(): number;
  /** Requests that wait here for a slot at a server. */
  waiting(): number;
  /** Number of calls to the platform since the start, by purpose. */
  callCounts(): Readonly<Record<string, number>>;
}

/** Interval between reports, in ms; 81 hosts together log 40 lines a second. */
const REPORT_MS = 2_000;
/** Interval between samples of the event loop lag, in ms. */
const SAMPLE_MS = 500;
const MICROS_PER_MS = 1_000;

/**
 * Logs a `vitals` event about the process itself every two seconds. Without it
 * the log doesn't show whether a leader refuses requests because it is short of
 * processor time, or because its network link or its servers are slow.
 *
 * @example
 * ```ts
 * const stop = reportVitals(clock, emit, source);
 * ```
 */
export function reportVitals(
  clock: Clock,
  emit: Emit,
  source: VitalsSource,
): () => void {
  let lastUtilization = performance.eventLoopUtilization();
  let lastCpu = process.cpuUsage();
  let lastCalls = source.callCounts();
  let maxLagMs = 0;
  let reportAt = clock.now() + REPORT_MS;

  const report = (): void => {
    const currentUtilization = performance.eventLoopUtilization();
    const calls = source.callCounts();
    const {utilization} = performance.eventLoopUtilization(
      currentUtilization,
      lastUtilization,
    );
    const cpu = process.cpuUsage(lastCpu);
    const delay = source.takeWorstDelay();
    const slots = source.takeSlotResponses();
    emit('vitals', {
      busy: Math.round(utilization * 100) / 100,
      cpuMs: Math.round((cpu.user + cpu.system) / MICROS_PER_MS),
      lagMs: Math.round(maxLagMs),
      readDelayMs: Math.round(delay.ms),
      readDelayBy: delay.by,
      slotReplies: slots.count,
      slotP10Ms: Math.round(slots.p10Ms),
      slotP99Ms: Math.round(slots.p99Ms),
      admitted: Math.round(source.admittedShare() * 100) / 100,
      inFlight: source.inFlight(),
      isLeading: source.isLeading(),
      followers: source.followers(),
      waiting: source.waiting(),
      calls: formatNewCalls(lastCalls, calls),
    });
    lastUtilization = currentUtilization;
    lastCpu = process.cpuUsage();
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

/** Formats the new calls as `config:2 join:6`; omits purposes without any. */
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
