import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Suspect} from '@banyandrum/dispatch/suspect.js';
import type {Suspects} from '@banyandrum/dispatch/suspects.js';
import type {Leadership} from './leadership.js';
import type {LinkClient} from './link-client.js';
import type {Platform} from './platform.js';
import {repeat, type RepeatConfig} from './repeat.js';
import type {StoreReads} from './store-contact.js';

/** What `shareSuspects` needs from the router. */
export interface ShareSuspectsConfig extends Pick<
  RepeatConfig,
  'emit' | 'goesOn'
> {
  readonly clock: Clock;
  readonly suspects: Suspects;
  readonly leadership: Leadership;
  readonly link: LinkClient;
  readonly platform: Platform;
  /** When reads are held back; never if absent. */
  readonly reads?: Pick<StoreReads, 'mayRead' | 'subscribe'>;
  /** Time of day, in ms since 1970. */
  unixNow(): number;
}

/** Delay after a failed call, in ms. */
const RETRY_MS = 500;
/** Interval at which a starting router tries to load the records, in ms. */
const LOAD_RETRY_MS = 400;
/**
 * A starting router serves after this time, in ms, even if it doesn't know yet
 * which requests are quarantined.
 */
const MAX_STARTUP_WAIT_MS = 2_000;
/** Cleared rows stay in the store for this time as an audit trail, in ms. */
const CLEARED_RETENTION_MS = 90 * 86_400_000;

/**
 * Shares what routers know of requests during which servers crashed. Each
 * router reports to the leader. Only the leader quarantines requests, informs
 * all routers and stores what must survive a restart of all of them. The
 * returned function tells whether this router knows which requests are
 * quarantined: otherwise each starting router would crash servers with the same
 * request again.
 *
 * @example
 * ```ts
 * const isQuarantineKnown = shareSuspects(cfg);
 * ```
 */
export function shareSuspects(cfg: ShareSuspectsConfig): () => boolean {
  const {clock, suspects, leadership, link, platform} = cfg;
  /** The stored rows, by content digest. */
  const recorded = new Map<string, Suspect>();
  let isLoaded = false;
  let currentEpoch: number | null = null;
  let isSaving = false;

  const loadRecords = async (): Promise<boolean> => {
    const rows = await platform.suspects.load();
    if (rows === null) return false;
    isLoaded = true;
    // A store that was restored from a snapshot may lack rows that it had.
    recorded.clear();
    for (const row of rows) recorded.set(row.content, row);
    suspects.merge(rows);
    return true;
  };

  /**
   * Quarantined rows that aren't stored, and stored rows that were cleared or
   * quarantined since.
   */
  const unsavedRows = (): readonly Suspect[] =>
    suspects.rows().filter(row => {
      const known = recorded.get(row.content);
      if (known === undefined) return row.isQuarantined;
      return (
        row.round > known.round || (!known.isQuarantined && row.isQuarantined)
      );
    });

  /** Saves all unsaved rows, in whichever term this router leads. */
  const saveRows = async (): Promise<void> => {
    if (isSaving) return;
    isSaving = true;
    for (;;) {
      const epoch = leadership.epoch();
      const [next] = unsavedRows();
      if (epoch === null || next === undefined) break;
      const result = await platform.suspects.save(epoch, next);
      if (result === 'saved') recorded.set(next.content, next);
      if (result === 'fenced') leadership.checkTerm();
      if (result !== 'saved') await sleep(clock, RETRY_MS);
    }
    isSaving = false;
  };

  const dropExpired = async (epoch: number): Promise<void> => {
    const cutoff = cfg.unixNow() - CLEARED_RETENTION_MS;
    for (const {content, isQuarantined, cleared} of [...recorded.values()]) {
      if (isQuarantined || (cleared?.at ?? 0) > cutoff) continue;
      if (leadership.epoch() !== epoch) return;
      const result = await platform.suspects.drop(epoch, content);
      if (result === 'saved') recorded.delete(content);
    }
  };

  const startTerm = async (epoch: number): Promise<void> => {
    suspects.applyQuarantineRules();
    while (leadership.epoch() === epoch && !(await loadRecords())) {
      await sleep(clock, RETRY_MS);
    }
    await saveRows();
    await dropExpired(epoch);
  };

  suspects.subscribe((rows, isOwn) => {
    if (!leadership.isLeading()) {
      if (isOwn) link.reportSuspects(rows);
      return;
    }
    suspects.applyQuarantineRules();
    // Before the records are loaded, a cleared row isn't known to be stored.
    if (isLoaded) void saveRows();
  });
  leadership.subscribe(() => {
    const epoch = leadership.epoch();
    if (epoch === currentEpoch) return;
    currentEpoch = epoch;
    if (epoch !== null) void startTerm(epoch);
  });
  const startedAt = clock.now();
  const isUninformed = (): boolean => !isLoaded && !link.isSynced();
  const goesOn = (): boolean => cfg.goesOn() && isUninformed();
  const loadIfAllowed = async (): Promise<void> => {
    if (goesOn() && (cfg.reads?.mayRead() ?? true)) await loadRecords();
  };
  repeat(
    {...cfg, name: 'suspects', pauseMs: LOAD_RETRY_MS, goesOn},
    loadIfAllowed,
  );
  cfg.reads?.subscribe(() => void loadIfAllowed());
  return () => !isUninformed() || clock.now() - startedAt > MAX_STARTUP_WAIT_MS;
}
