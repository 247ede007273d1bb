import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';
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
const RETRY_MS = 200;
/**
 * Reads that the platform holds end at the news by themselves. Others are told
 * so much later, in ms: told at once, each of them asked a second time, and
 * every change cost twice the calls.
 */
const OWN_READ_MS = 300;

/**
 * Reads the configuration until stopped. A version never replaces a newer one.
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
): ConfigKeeper {
  let config: RoutingConfig | null = null;
  let cursor: number | null = null;
  let toldCursor: number | null = null;
  let isStopped = false;
  let isLooking = false;
  let beganAt = clock.now();
  let hasFailed = false;
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
      return false;
    }
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
  repeat({...loop, name: 'config', ms: 0}, async () => {
    const waitMs = isToldOfNews() ? LONG_WAIT_MS : SHORT_WAIT_MS;
    beganAt = clock.now();
    const isRead = await read(config === null ? SHORT_WAIT_MS : waitMs);
    if (!isRead) await sleep(clock, RETRY_MS);
  });

  const look = (): void => {
    if (isLooking) return;
    isLooking = true;
    void read(0).finally(() => {
      isLooking = false;
    });
  };

  repeat({...loop, name: 'config-watch', ms: WATCH_MS}, async () => {
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
    subscribe: listener => void listeners.add(listener),
    stop() {
      isStopped = true;
    },
  };
}
