import type {ServerInfo} from './backend.js';

/**
 * What the platform's list, or another router, says of a server. Clocks of hosts
 * differ, so that only remaining times travel.
 */
export interface ServerEntry extends Omit<ServerInfo, 'coldUntil'> {
  /**
   * Remaining time for which the server is cold, in ms, as of the moment at
   * which the entry was read or sent; 0 if it is warm.
   */
  readonly coldMs: number;
}

/**
 * Converts an entry that was received at the monotonic time `now`, in ms.
 *
 * @example
 * ```ts
 * const server = fromServerEntry({...entry, coldMs: 3_000}, clock.now());
 * ```
 */
export function fromServerEntry(
  {coldMs, ...entry}: ServerEntry,
  now: number,
): ServerInfo {
  return {...entry, coldUntil: coldMs > 0 ? now + coldMs : 0};
}

/** Converts a server to an entry that is sent at the monotonic time `now`. */
export function toServerEntry(
  {coldUntil, ...server}: ServerInfo,
  now: number,
): ServerEntry {
  return {...server, coldMs: Math.max(0, Math.round(coldUntil - now))};
}
