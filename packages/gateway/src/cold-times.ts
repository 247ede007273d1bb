import type {Clock} from '@banyandrum/base/clock.js';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';

/** When the cold times of servers end, by their entries and their own answers. */
export interface ColdTimes {
  /**
   * End of the cold time after an entry was received, as a monotonic time in ms; 0
   * if the server is warm. `isOutdated` is set if the entry may be older than what
   * is known.
   */
  endByEntry(
    known: ServerInfo | undefined,
    entry: ServerInfo,
    isOutdated: boolean,
  ): number;
  /**
   * The same for a server that says itself to be cold for `coldMs` more; null if
   * that is no news.
   */
  endBySelf(known: ServerInfo, coldMs: number): number | null;
  /** The server itself was warm at the monotonic time `asOf`, in ms. */
  noteWarm(id: string, asOf: number): void;
  /**
   * Monotonic time as of which it is known whether the server is cold, in ms.
   */
  knownAt(id: string): number;
  forget(id: string): void;
}

/** Dependencies of `createColdTimes`. */
export interface ColdTimesConfig {
  readonly clock: Clock;
  /** Monotonic time as of which the entries are known, in ms. */
  entriesKnownAt(): number;
}

/**
 * Differences between the ends of a cold time that are no news, in ms: entries
 * arrive with varying delays. Between the known end and a later one the server
 * would get too much.
 */
export const MAX_IGNORED_COLD_MS = 50;
const MAX_IGNORED_WARM_MS = 1_000;

/**
 * Creates the record of cold times. An end that has passed is kept until it is
 * known as of a later time that the server is warm: it may have become cold again
 * meanwhile.
 *
 * @example
 * ```ts
 * const coldTimes = createColdTimes({clock, entriesKnownAt});
 * const coldUntil = coldTimes.endByEntry(known, entry, false);
 * ```
 */
export function createColdTimes({
  clock,
  entriesKnownAt,
}: ColdTimesConfig): ColdTimes {
  /** Monotonic time until which servers themselves said to be cold, in ms. */
  const saidColdUntil = new Map<string, number>();
  /** Monotonic time at which servers themselves said to be warm, in ms. */
  const saidWarmAt = new Map<string, number>();

  const knownAt = (id: string): number =>
    Math.max(entriesKnownAt(), saidWarmAt.get(id) ?? -Infinity);

  const isUnconfirmed = ({id, coldUntil}: ServerInfo): boolean =>
    coldUntil <= clock.now() && coldUntil > knownAt(id);

  const byEntry = (
    known: ServerInfo | undefined,
    entry: ServerInfo,
    isOutdated: boolean,
  ): number => {
    if (known === undefined || entry.coldUntil !== 0)
      return laterEnd(known, entry);
    return isOutdated || isUnconfirmed(known) ? known.coldUntil : 0;
  };

  return {
    endByEntry: (known, entry, isOutdated) =>
      Math.max(
        byEntry(known, entry, isOutdated),
        saidColdUntil.get(entry.id) ?? 0,
      ),
    endBySelf(known, coldMs) {
      const coldUntil = laterEnd(known, {
        ...known,
        coldUntil: clock.now() + coldMs,
      });
      if (coldUntil <= known.coldUntil) return null;
      saidColdUntil.set(known.id, coldUntil);
      return coldUntil;
    },
    noteWarm: (id, asOf) => void saidWarmAt.set(id, asOf),
    knownAt,
    forget(id) {
      saidColdUntil.delete(id);
      saidWarmAt.delete(id);
    },
  };
}

/**
 * Until when the server is cold. Each entry of one cold time shows an end that is
 * too late by the entry's delay, and a later end may as well be that of another
 * cold time, so the latest counts.
 */
function laterEnd(
  known: ServerInfo | undefined,
  {coldUntil}: ServerInfo,
): number {
  if (known === undefined) return coldUntil;
  const laterMs = coldUntil - known.coldUntil;
  const isKnown =
    laterMs <= MAX_IGNORED_COLD_MS && laterMs >= -MAX_IGNORED_WARM_MS;
  return isKnown ? known.coldUntil : coldUntil;
}
