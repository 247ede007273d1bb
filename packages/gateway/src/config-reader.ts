import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {ConfigRead} from './platform.js';
import {logLoopError} from './repeat.js';
import type {StoreReads} from './store-contact.js';

/** Dependencies of the configuration reader. */
export interface ConfigReaderConfig {
  readonly clock: Clock;
  /** Monotonic time that also advances while the host is suspended, in ms. */
  suspendAwareNow(): number;
  readonly emit: Emit;
  /** Whether a leader relays versions, and has relayed all that it knows. */
  isRelayed(): boolean;
  /** Reads from the keeper's cursor on; waits up to `waitMs` for a change. */
  read(waitMs: number): Promise<ConfigRead>;
  /** `asOf` is the suspend-aware time as of which the answer is valid. */
  applyRead(result: ConfigRead, asOf: number): void;
  /** Time since the log was known to end at the keeper's cursor, in ms. */
  cursorAgeMs(): number;
  /** When reads are held back; never if absent. */
  readonly reads?: Pick<StoreReads, 'mayProbe' | 'subscribe'>;
}

/** Reads the configuration whenever nobody relays it. */
export interface ConfigReader {
  /** A newer version exists: a pending read should return it now. */
  expectChange(): void;
  /** How long the longest pending read has taken, in ms; 0 without one. */
  pendingMs(): number;
  stop(): void;
}

/**
 * Age at which the leader's knowledge no longer counts, in ms. A version must be
 * in force 2 s after it was accepted: the rest is for one failed read and the
 * next. It covers a leader's waiting read, a heartbeat and delays of timers.
 */
const MAX_RELAYED_AGE_MS = 1_200;
/** How long the platform may hold a read until there is a change, in ms. */
const WAIT_MS = 800;
/**
 * A read whose answer is this late is not waited for, in ms: another is started
 * on another connection. Doubled for each further one.
 */
const OVERDUE_MS = 300;
/** Initial delay after a failed read, in ms; doubled for each further one. */
const RETRY_MS = 200;
/**
 * Longest interval between reads that fail, in ms. A router has 3 s to be up to
 * date again after the platform accepts its calls.
 */
const MAX_INTERVAL_MS = 1_000;
/**
 * Delay after the first read, in ms. A starting router finds a leader within
 * about this time and needs no further reads of its own then: after a restart of
 * all routers, the platform chooses a leader once those before are removed.
 */
const STARTUP_PAUSE_MS = 500;
/** The same if a starting router waits for a leader before it reads, in ms. */
const LONG_STARTUP_PAUSE_MS = 800;
/** Shortest interval between two reads that are answered at once, in ms. */
const MIN_INTERVAL_MS = 100;
/** Interval at which a router checks whether the leader still relays, in ms. */
const RELAY_CHECK_MS = 250;

interface PendingRead {
  readonly startedAt: number;
  readonly waitMs: number;
}

/**
 * Reads until stopped. A read that gets no answer never delays the next one:
 * its connection may have failed without a sign. A read waits for a change only
 * right after an answer without news: a dead connection is noticed early, and
 * what is known is up to date when the wait begins.
 *
 * @example
 * ```ts
 * const reader = startConfigReader({...cfg, read, applyRead, cursorAgeMs});
 * reader.stop();
 * ```
 */
export function startConfigReader(cfg: ConfigReaderConfig): ConfigReader {
  const startupPauseMs =
    cfg.reads === undefined ? STARTUP_PAUSE_MS : LONG_STARTUP_PAUSE_MS;
  const {clock, emit} = cfg;
  const pending = new Set<PendingRead>();
  let isStopped = false;
  let isFirst = true;
  let wasRelayed = false;
  /** Whether the last read had no news and nothing has been relayed since. */
  let mayWait = false;
  /** Reads in a row that failed or are overdue. */
  let failures = 0;
  /** When the newest pending read should have been answered. */
  let answerDueAt = -Infinity;
  /** No read is started before, after a failed one. */
  let retryAt = -Infinity;
  /** No read is started before, unless a newer version is known to exist. */
  let pausedUntil = -Infinity;
  let cancelStep = (): void => undefined;

  const isRelayed = (): boolean =>
    cfg.isRelayed() && cfg.cursorAgeMs() < MAX_RELAYED_AGE_MS;

  const reportSource = (): void => {
    const isNow = isRelayed();
    if (isNow === wasRelayed) return;
    wasRelayed = isNow;
    const ageMs = Math.round(cfg.cursorAgeMs());
    emit('config-source', {by: isNow ? 'leader' : 'read', ageMs});
  };

  /** Spread, so that routers that fail together don't call together. */
  const backoff = (firstMs: number): number =>
    Math.min(MAX_INTERVAL_MS, firstMs * 2 ** failures) *
    (0.75 + Math.random() / 2);

  const isReadDue = (now: number): boolean => {
    if (now < retryAt || now < pausedUntil) return false;
    if (pending.size > 0 && now < answerDueAt) return false;
    return !isRelayed() && (cfg.reads?.mayProbe() ?? true);
  };

  const step = (): void => {
    if (isStopped) return;
    cancelStep();
    reportSource();
    if (wasRelayed) mayWait = false;
    const now = clock.now();
    if (isReadDue(now)) void runRead();
    cancelStep = clock.after(untilNextStep(), step);
  };

  const untilNextStep = (): number => {
    const now = clock.now();
    const relayedUntil = now + MAX_RELAYED_AGE_MS - cfg.cursorAgeMs();
    const dueTimes = [
      retryAt,
      pausedUntil,
      wasRelayed ? relayedUntil : -Infinity,
      pending.size > 0 ? answerDueAt : -Infinity,
    ].filter(at => at > now);
    return Math.min(RELAY_CHECK_MS, ...dueTimes.map(at => at - now));
  };

  const reportOverdue = (): void => {
    const {startedAt, waitMs} = [...pending].at(-1)!;
    const readMs = Math.round(clock.now() - startedAt);
    const ageMs = Math.round(cfg.cursorAgeMs());
    emit('config-read-slow', {waitMs, readMs, ageMs});
  };

  const registerRead = (): PendingRead => {
    const isRepeated = pending.size > 0;
    if (isRepeated) reportOverdue();
    const waitMs = mayWait && !isRepeated ? WAIT_MS : 0;
    const startedAt = clock.now();
    answerDueAt = startedAt + waitMs + backoff(OVERDUE_MS);
    if (isRepeated) failures++;
    mayWait = false;
    const read = {startedAt, waitMs};
    pending.add(read);
    return read;
  };

  const onFailed = (): void => {
    if (pending.size === 0) retryAt = clock.now() + backoff(RETRY_MS);
    failures++;
  };

  const onAnswered = ({startedAt}: PendingRead, isUnchanged: boolean): void => {
    failures = 0;
    mayWait = isUnchanged;
    pausedUntil = isFirst
      ? clock.now() + startupPauseMs
      : startedAt + MIN_INTERVAL_MS;
    isFirst = false;
  };

  const runRead = async (): Promise<void> => {
    const current = registerRead();
    const startedAt = cfg.suspendAwareNow();
    const result = await readSafely(current.waitMs);
    pending.delete(current);
    if (isStopped) return;
    if (result.kind === 'failed') onFailed();
    else onAnswered(current, result.isUnchanged);
    const elapsedMs = cfg.suspendAwareNow() - startedAt;
    const hasWaited = elapsedMs >= current.waitMs && isUnchanged(result);
    // An answer without news is given when the wait is over, not before.
    cfg.applyRead(result, startedAt + (hasWaited ? current.waitMs : 0));
    step();
  };

  const readSafely = async (waitMs: number): Promise<ConfigRead> => {
    try {
      return await cfg.read(waitMs);
    } catch (err) {
      logLoopError(emit, 'config', err as Error);
      return {kind: 'failed', detail: (err as Error).message};
    }
  };

  /** The store answers again: what was put off because of failures is due. */
  const resume = (): void => {
    failures = 0;
    retryAt = -Infinity;
    answerDueAt = -Infinity;
    step();
  };
  cfg.reads?.subscribe(resume);

  // The first step runs later, so that `cfg` may use variables that are
  // initialized after this call.
  queueMicrotask(step);

  return {
    expectChange() {
      answerDueAt = Math.min(answerDueAt, clock.now() + OVERDUE_MS);
      pausedUntil = -Infinity;
      step();
    },
    pendingMs() {
      const now = clock.now();
      const starts = [...pending].map(({startedAt}) => startedAt);
      return now - Math.min(now, ...starts);
    },
    stop() {
      isStopped = true;
      cancelStep();
    },
  };
}

function isUnchanged(result: ConfigRead): boolean {
  return result.kind === 'read' && result.isUnchanged;
}
