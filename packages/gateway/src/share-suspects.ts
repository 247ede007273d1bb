import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Suspect} from '@banyandrum/dispatch/suspect.js';
import type {Suspects} from '@banyandrum/dispatch/suspects.js';
import type {Leadership} from './leadership.js';
import type {LinkClient} from './link-client.js';
import type {Platform} from './platform.js';
import {repeat, type RepeatConfig} from './repeat.js';

/** What sharing what is suspected needs of the router. */
export interface ShareConfig extends Pick<RepeatConfig, 'emit' | 'goesOn'> {
  readonly clock: Clock;
  readonly suspects: Suspects;
  readonly leadership: Leadership;
  readonly link: LinkClient;
  readonly platform: Platform;
  /** Time of day, in ms since 1970. */
  unixNow(): number;
}

/** Pause after a call that failed, in ms. */
const RETRY_MS = 500;
/** Pause before a router that starts reads again what it could not read, in ms. */
const REREAD_MS = 400;
/** It serves after this time, in ms, though it can't know what is quarantined. */
const UNKNOWN_MS = 2_000;
/** Clearings stay in the record for this time, as its audit trail, in ms. */
const KEEP_MS = 90 * 86_400_000;

/**
 * Shares what this router knows of requests under which servers ended. Each
 * tells the leader, which alone quarantines them, tells all, and writes down
 * what must outlive every router. The result tells whether this router knows
 * what is quarantined: each one that starts would end servers with the same
 * request once more.
 *
 * @example
 * ```ts
 * const isInformed = shareSuspects(cfg);
 * ```
 */
export function shareSuspects(cfg: ShareConfig): () => boolean {
  const {clock, suspects, leadership, link, platform} = cfg;
  /** The rows in the record, by content. */
  const recorded = new Map<string, Suspect>();
  let isRead = false;
  let ledEpoch: number | null = null;
  let isWriting = false;

  const read = async (): Promise<boolean> => {
    const rows = await platform.suspects.load();
    if (rows === null) return false;
    isRead = true;
    // A store that was restored from a copy may lack what it had.
    recorded.clear();
    for (const row of rows) recorded.set(row.content, row);
    suspects.merge(rows);
    return true;
  };

  /** What the record lacks; each clearing of what it has, too. */
  const unwritten = (): readonly Suspect[] =>
    suspects.rows().filter(row => {
      const known = recorded.get(row.content);
      if (known === undefined) return row.isQuarantined;
      return (
        row.round > known.round || (!known.isQuarantined && row.isQuarantined)
      );
    });

  /** Writes what is unwritten, in whichever term this router leads. */
  const write = async (): Promise<void> => {
    if (isWriting) return;
    isWriting = true;
    for (;;) {
      const epoch = leadership.epoch();
      const [next] = unwritten();
      if (epoch === null || next === undefined) break;
      const end = await platform.suspects.save(epoch, next);
      if (end === 'saved') recorded.set(next.content, next);
      if (end === 'fenced') leadership.check();
      if (end !== 'saved') await sleep(clock, RETRY_MS);
    }
    isWriting = false;
  };

  const dropOld = async (epoch: number): Promise<void> => {
    const before = cfg.unixNow() - KEEP_MS;
    for (const {content, isQuarantined, cleared} of [...recorded.values()]) {
      if (isQuarantined || (cleared?.at ?? 0) > before) continue;
      if (leadership.epoch() !== epoch) return;
      const end = await platform.suspects.drop(epoch, content);
      if (end === 'saved') recorded.delete(content);
    }
  };

  const lead = async (epoch: number): Promise<void> => {
    suspects.judge();
    while (leadership.epoch() === epoch && !(await read())) {
      await sleep(clock, RETRY_MS);
    }
    await write();
    await dropOld(epoch);
  };

  suspects.subscribe((rows, isOwn) => {
    if (!leadership.isLeading()) {
      if (isOwn) link.tellSuspects(rows);
      return;
    }
    suspects.judge();
    // Before it was read, a clearing would not be known as one of a record.
    if (isRead) void write();
  });
  leadership.subscribe(() => {
    const epoch = leadership.epoch();
    if (epoch === ledEpoch) return;
    ledEpoch = epoch;
    if (epoch !== null) void lead(epoch);
  });
  const startedAt = clock.now();
  const isUnread = (): boolean => !isRead && !link.isTold();
  const goesOn = (): boolean => cfg.goesOn() && isUnread();
  repeat({...cfg, name: 'suspects', pauseMs: REREAD_MS, goesOn}, async () => {
    await read();
  });
  return () => !isUnread() || clock.now() - startedAt > UNKNOWN_MS;
}
