import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';
import {packConfig, type WireConfig} from './link-config.js';
import type {Platform} from './platform.js';
import {repeat} from './repeat.js';

/** The newest configuration that this router knows. */
export interface ConfigKeeper {
  current(): RoutingConfig | null;
  /**
   * Up to where others may be told that the platform's log was read; null
   * before the first. Late enough for their own reads to have seen it.
   */
  toldCursor(): number | null;
  /** Another router has read up to `cursor`: looks at once if that's news. */
  noteCursor(cursor: number): void;
  /** A version that another router passed on, read up to `cursor`. */
  takeRelayed(config: RoutingConfig, cursor: number): void;
  /** Up to where the platform's log was read; null before the first. */
  cursor(): number | null;
  /** The newest version as it travels. */
  packed(): WireConfig | null;
  /** Time since the platform showed that there is nothing newer, in ms. */
  ageMs(): number;
  subscribe(listener: () => void): void;
  stop(): void;
}

/**
 * Where nobody tells of news, a read under way that began longer ago than a
 * short one lasts may have gone silent: another one looks, in ms.
 */
const SILENT_MS = 1_200;
const WATCH_MS = 300;
/** A read that the platform holds until there is news, in ms. */
const LONG_WAIT_MS = 15_000;
/** The same where nobody else would tell of news that a read missed, in ms. */
const SHORT_WAIT_MS = 900;
/** First and longest pause after a read that failed, in ms. */
const RETRY_MS = 200;
/**
 * 27 routers that the platform turned away asked it 270 times a second between
 * them, for ten seconds. Once it answers them they are in touch after 3 s, and
 * must have the newest version 2 s later.
 */
const RETRY_MAX_MS = 1_600;
/**
 * A router that just started hears a leader within about this time, in ms, and
 * reads no more by itself then; without one it goes on.
 */
const FIRST_PAUSE_MS = 500;
/** Whether the leader still passes versions on is looked at this often, ms. */
const RELAY_LOOK_MS = 250;
/**
 * Reads that the platform holds end at the news by themselves. Others are told
 * so much later, in ms: told at once, each of them asked a second time, and
 * every change cost twice the calls.
 */
const OWN_READ_MS = 300;

/**
 * Reads the configuration until stopped. A version never replaces a newer one.
 * While the leader passes on what it reads (`isRelayed`) nothing is read here:
 * each change cost two calls for each router, and each router's waiting reads
 * four a minute; before the first version, one a second.
 *
 * @example
 * ```ts
 * const keeper = keepConfig(platform, clock, emit, () => isFollowing);
 * keeper.current();
 * ```
 */
export function keepConfig(
  platform: Platform,
  clock: Clock,
  emit: Emit,
  isToldOfNews: () => boolean,
  isRelayed: () => boolean = () => false,
): ConfigKeeper {
  let config: RoutingConfig | null = null;
  let cursor: number | null = null;
  let packed: WireConfig | null = null;
  let toldCursor: number | null = null;
  let isStopped = false;
  let isLooking = false;
  let beganAt = clock.now();
  let hasFailed = false;
  let confirmedAt = -Infinity;
  let pauseMs = RETRY_MS;
  let retryAt = -Infinity;
  const listeners = new Set<() => void>();

  const take = (next: RoutingConfig | null): void => {
    if (next === null) return;
    if (config !== null && next.version <= config.version) return;
    config = next;
    emit('config-taken', {version: next.version, cursor});
    listeners.forEach(listener => listener());
  };

  const moveTo = (next: number): void => {
    cursor = next;
    clock.after(OWN_READ_MS, () => {
      if (toldCursor === null || next > toldCursor) toldCursor = next;
    });
  };

  const read = async (waitMs: number): Promise<boolean> => {
    const result = await platform.readConfig(cursor, waitMs);
    if (result.kind === 'failed') {
      if (!hasFailed) emit('config-unreadable', {detail: result.detail});
      hasFailed = true;
      retryAt = clock.now() + pauseMs * (0.75 + Math.random() / 2);
      pauseMs = Math.min(RETRY_MAX_MS, pauseMs * 2);
      return false;
    }
    confirmedAt = clock.now();
    pauseMs = RETRY_MS;
    if (hasFailed) emit('config-readable', {cursor: result.cursor});
    hasFailed = false;
    if (cursor === null || result.cursor > cursor) moveTo(result.cursor);
    if (result.unreadable !== null) {
      const detail = result.unreadable;
      emit('config-refused', {detail, cursor: result.cursor});
    }
    take(result.config);
    return true;
  };

  const goesOn = (): boolean => !isStopped;
  const loop = {clock, emit, goesOn};
  repeat({...loop, name: 'config', pauseMs: 0}, async () => {
    if (isRelayed()) {
      await sleep(clock, RELAY_LOOK_MS);
      beganAt = clock.now();
      return;
    }
    const waitMs = isToldOfNews() ? LONG_WAIT_MS : SHORT_WAIT_MS;
    beganAt = clock.now();
    const isFirst = cursor === null;
    const isRead = await read(config === null ? SHORT_WAIT_MS : waitMs);
    if (!isRead) await sleep(clock, Math.max(0, retryAt - clock.now()));
    else if (isFirst) await sleep(clock, FIRST_PAUSE_MS);
  });

  const look = (): void => {
    if (isLooking || clock.now() < retryAt) return;
    isLooking = true;
    void read(0).finally(() => {
      isLooking = false;
    });
  };

  repeat({...loop, name: 'config-watch', pauseMs: WATCH_MS}, async () => {
    if (isToldOfNews() || clock.now() - beganAt < SILENT_MS) return;
    look();
  });

  return {
    current: () => config,
    toldCursor: () => toldCursor,
    noteCursor(other) {
      if (cursor !== null && other <= cursor) return;
      look();
    },
    takeRelayed(next, other) {
      if (cursor === null || other > cursor) moveTo(other);
      take(next);
    },
    cursor: () => cursor,
    packed() {
      if (config === null || cursor === null) return null;
      if (packed?.version !== config.version) {
        packed = packConfig(config, cursor);
      }
      return packed;
    },
    ageMs: () => clock.now() - confirmedAt,
    subscribe: listener => void listeners.add(listener),
    stop() {
      isStopped = true;
    },
  };
}
