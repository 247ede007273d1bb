import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';
import {toWireConfig, type WireConfig} from './link-config.js';
import type {ConfigRead, Platform} from './platform.js';
import {repeat} from './repeat.js';

/** How up to date this router's configuration is, for logs and metrics. */
export interface ConfigStatus {
  /** Time since it was last confirmed that nothing is newer, in ms. */
  readonly ageMs: number;
  /** What confirmed it last; null while nothing has. */
  readonly confirmedBy: ConfigSource | null;
  /** How long the longest pending read has taken, in ms; 0 without one. */
  readonly readMs: number;
}

/** An own read of the platform, or the address of the leader that relayed. */
export type ConfigSource = 'read' | `leader ${string}`;

/** Keeps the newest configuration that this router knows. */
export interface ConfigKeeper {
  current(): RoutingConfig | null;
  /**
   * The log position that may be announced to other routers; null before the
   * first read. It lags `cursor` so that their own reads find a change first.
   */
  announcedCursor(): number | null;
  /** Another router has read up to `cursor`: reads at once if that is newer. */
  onCursorAnnounced(cursor: number): void;
  /**
   * Applies a version that the leader relayed, which it read up to `cursor`.
   */
  applyRelayed(config: RoutingConfig, cursor: number, leader: string): void;
  /** The leader confirmed that nothing is newer, `ageMs` ago. */
  confirmRelayed(ageMs: number, leader: string): void;
  status(): ConfigStatus;
  /** Up to where the platform's log was read; null before the first read. */
  cursor(): number | null;
  /** The newest version in wire format; null while none is known. */
  wireConfig(): WireConfig | null;
  /** Time since the platform last confirmed that nothing is newer, in ms. */
  ageMs(): number;
  subscribe(listener: () => void): void;
  stop(): void;
}

/**
 * While no leader announces changes, a read that has taken this long, in ms,
 * may have stalled, since it is longer than a short wait: a second read is
 * started.
 */
const STALLED_READ_MS = 1_200;
const STALL_CHECK_MS = 300;
/** How long the platform may hold a read until there is a change, in ms. */
const LONG_WAIT_MS = 15_000;
/** The same while no leader announces changes that a read missed, in ms. */
const SHORT_WAIT_MS = 900;
/** Initial delay after a failed read, in ms. */
const RETRY_MS = 200;
/**
 * Longest delay after a failed read, in ms. Without backoff, 27 routers that
 * the platform rejected sent it 270 reads per second for ten seconds. Once it
 * accepts calls again, routers are reconnected after 3 s and must have the
 * newest version 2 s later.
 */
const RETRY_MAX_MS = 1_600;
/**
 * Delay after the first read, in ms. A starting router finds a leader within
 * about this time and needs no further reads of its own then.
 */
const STARTUP_PAUSE_MS = 500;
/** Interval at which a router checks whether the leader still relays, in ms. */
const RELAY_CHECK_MS = 250;
/**
 * Delay before a change is announced to other routers, in ms. Their own pending
 * reads return the change as well: announced at once, each of them read a
 * second time, which doubled the calls for every change.
 */
const ANNOUNCE_DELAY_MS = 300;

/** A read that takes this much longer than its wait is reported, in ms. */
const SLOW_READ_MS = 400;

interface PendingRead {
  readonly startedAt: number;
}

interface Confirmation {
  /** Monotonic time as of which nothing newer existed, in ms. */
  readonly at: number;
  readonly by: ConfigSource | null;
}

/**
 * Reads the configuration until stopped. A version never replaces a newer one.
 * `isNotified` tells whether a leader announces changes to this router. While
 * the leader relays the versions that it reads (`isRelayed`), this router reads
 * nothing itself: its reads would cost two calls per change and four per minute
 * while idle, or one per second before the first version.
 *
 * @example
 * ```ts
 * const keeper = createConfigKeeper(platform, clock, emit, () => isFollowing);
 * keeper.current();
 * ```
 */
export function createConfigKeeper(
  platform: Platform,
  clock: Clock,
  emit: Emit,
  isNotified: () => boolean,
  isRelayed: () => boolean = () => false,
): ConfigKeeper {
  let config: RoutingConfig | null = null;
  let cursor: number | null = null;
  let wireConfig: WireConfig | null = null;
  let announcedCursor: number | null = null;
  let isStopped = false;
  let isReadingNow = false;
  let readStartedAt = clock.now();
  let hasFailed = false;
  let confirmedAt = -Infinity;
  let lastConfirmation: Confirmation = {at: -Infinity, by: null};
  const pendingReads = new Set<PendingRead>();
  let backoffMs = RETRY_MS;
  let retryAt = -Infinity;
  const listeners = new Set<() => void>();

  const status = (): ConfigStatus => {
    const now = clock.now();
    const starts = [...pendingReads].map(({startedAt}) => startedAt);
    return {
      ageMs: now - lastConfirmation.at,
      confirmedBy: lastConfirmation.by,
      readMs: now - Math.min(now, ...starts),
    };
  };

  const confirm = (at: number, by: ConfigSource): void => {
    if (at >= lastConfirmation.at) lastConfirmation = {at, by};
  };

  const apply = (next: RoutingConfig | null, by: ConfigSource): void => {
    if (next === null) return;
    if (config !== null && next.version <= config.version) return;
    config = next;
    const ageMs = Math.round(status().ageMs);
    emit('config-taken', {version: next.version, cursor, by, ageMs});
    listeners.forEach(listener => listener());
  };

  const advanceCursor = (next: number): void => {
    cursor = next;
    clock.after(ANNOUNCE_DELAY_MS, () => {
      if (announcedCursor === null || next > announcedCursor)
        announcedCursor = next;
    });
  };

  /** Reads, and reports a read that takes much longer than it may wait. */
  const readPlatform = async (waitMs: number): Promise<ConfigRead> => {
    const pending: PendingRead = {startedAt: clock.now()};
    pendingReads.add(pending);
    const cancelReport = clock.after(waitMs + SLOW_READ_MS, () =>
      emit('config-read-slow', {
        ...{waitMs, readMs: Math.round(clock.now() - pending.startedAt)},
        ageMs: Math.round(status().ageMs),
      }),
    );
    const result = await platform.readConfig(cursor, waitMs);
    cancelReport();
    pendingReads.delete(pending);
    return result;
  };

  const read = async (waitMs: number): Promise<boolean> => {
    const startedAt = clock.now();
    const result = await readPlatform(waitMs);
    if (result.kind === 'failed') {
      if (!hasFailed) emit('config-unreadable', {detail: result.detail});
      hasFailed = true;
      retryAt = clock.now() + backoffMs * (0.75 + Math.random() / 2);
      backoffMs = Math.min(RETRY_MAX_MS, backoffMs * 2);
      return false;
    }
    confirmedAt = clock.now();
    backoffMs = RETRY_MS;
    if (hasFailed) emit('config-readable', {cursor: result.cursor});
    hasFailed = false;
    if (cursor === null || result.cursor > cursor) advanceCursor(result.cursor);
    if (result.unreadable !== null) {
      const detail = result.unreadable;
      emit('config-refused', {detail, cursor: result.cursor});
    }
    apply(result.config, 'read');
    confirm(startedAt, 'read');
    return true;
  };

  const goesOn = (): boolean => !isStopped;
  const loop = {clock, emit, goesOn};
  let wasRelayed = false;
  const reportSource = (): void => {
    if (isRelayed() === wasRelayed) return;
    wasRelayed = !wasRelayed;
    const ageMs = Math.round(status().ageMs);
    emit('config-source', {by: wasRelayed ? 'leader' : 'read', ageMs});
  };
  repeat({...loop, name: 'config', pauseMs: 0}, async () => {
    reportSource();
    if (isRelayed()) {
      await sleep(clock, RELAY_CHECK_MS);
      readStartedAt = clock.now();
      return;
    }
    const waitMs = isNotified() ? LONG_WAIT_MS : SHORT_WAIT_MS;
    readStartedAt = clock.now();
    const isFirst = cursor === null;
    const isRead = await read(config === null ? SHORT_WAIT_MS : waitMs);
    if (!isRead) await sleep(clock, Math.max(0, retryAt - clock.now()));
    else if (isFirst) await sleep(clock, STARTUP_PAUSE_MS);
  });

  const readNow = (): void => {
    if (isReadingNow || clock.now() < retryAt) return;
    isReadingNow = true;
    void read(0).finally(() => {
      isReadingNow = false;
    });
  };

  repeat({...loop, name: 'config-watch', pauseMs: STALL_CHECK_MS}, async () => {
    if (isNotified() || clock.now() - readStartedAt < STALLED_READ_MS) return;
    readNow();
  });

  return {
    current: () => config,
    announcedCursor: () => announcedCursor,
    onCursorAnnounced(other) {
      if (cursor !== null && other <= cursor) return;
      readNow();
    },
    applyRelayed(next, other, leader) {
      if (cursor === null || other > cursor) advanceCursor(other);
      apply(next, `leader ${leader}`);
    },
    confirmRelayed(ageMs, leader) {
      confirm(clock.now() - ageMs, `leader ${leader}`);
    },
    status,
    cursor: () => cursor,
    wireConfig() {
      if (config === null || cursor === null) return null;
      if (wireConfig?.version !== config.version) {
        wireConfig = toWireConfig(config, cursor);
      }
      return wireConfig;
    },
    ageMs: () => clock.now() - confirmedAt,
    subscribe: listener => void listeners.add(listener),
    stop() {
      isStopped = true;
    },
  };
}
