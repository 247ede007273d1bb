import {createHash} from 'node:crypto';
import type {LimitRow} from '@banyandrum/dispatch/server-limits.js';
import type {Suspect} from '@banyandrum/dispatch/suspect.js';
import type {ServedTables} from './key-owners.js';
import type {WireConfig} from './link-config.js';

/** What a leader sent to a follower, kept for its next stream. */
export interface HeldState {
  readonly tables: ServedTables;
  /** Null if none was relayed. */
  readonly config: WireConfig | null;
  readonly limits: readonly LimitRow[];
  readonly suspects: readonly Suspect[];
}

/** A part of the state that a follower names in its `hello`. */
export type HeldPart = keyof HeldState;

/** Digests of the parts that a follower has. */
export type HeldDigests = Readonly<Record<HeldPart, string>>;

/** The state of a follower that no leader sent any. */
export const NOTHING_HELD: HeldState = {
  ...{tables: new Map(), config: null, limits: [], suspects: []},
};

/** Digests of each part; two routers compute the same of the same state. */
export const DIGESTS: {
  readonly [K in HeldPart]: (part: HeldState[K]) => string;
} = {
  tables: digestTables,
  config: config =>
    config === null ? '' : `${config.version}@${config.cursor}`,
  limits: rows => digestLines(rows.map(row => row.join(' '))),
  suspects: rows => digestLines(rows.map(row => JSON.stringify(row))),
};

/** Computes the digests that a follower names. */
export function digestHeld(held: HeldState): HeldDigests {
  return {
    tables: DIGESTS.tables(held.tables),
    config: DIGESTS.config(held.config),
    limits: DIGESTS.limits(held.limits),
    suspects: DIGESTS.suspects(held.suspects),
  };
}

/** The versions of a part that were sent, to send only what changed since. */
export interface PartVersions<T extends object> {
  add(part: T): void;
  /** The earliest version with the digest; null if it isn't known any more. */
  find(digest: string | null): T | null;
}

/**
 * Creates an empty history of at most `max` versions. Digests are computed only
 * once one is looked for.
 *
 * @example
 * ```ts
 * const versions = createPartVersions(digestServers, 32);
 * versions.add(servers);
 * const base = versions.find(hello.listDigest);
 * ```
 */
export function createPartVersions<T extends object>(
  digest: (part: T) => string,
  max: number,
): PartVersions<T> {
  const parts: T[] = [];
  const digestOf = digestOnce(digest);
  return {
    add(part) {
      parts.push(part);
      if (parts.length > max) parts.shift();
    },
    find(wanted) {
      if (wanted === null) return null;
      return parts.find(part => digestOf(part) === wanted) ?? null;
    },
  };
}

/** Computes the digest of each object only once. */
export function digestOnce<T extends object>(
  digest: (part: T) => string,
): (part: T) => string {
  const digests = new WeakMap<T, string>();
  return part => {
    const known = digests.get(part) ?? digest(part);
    digests.set(part, known);
    return known;
  };
}

function digestTables(tables: ServedTables): string {
  const lines = [...tables].map(([service, ranges]) => {
    const rows = ranges.map(({from, to, server}) => `${from}-${to}-${server}`);
    return `${service} ${rows.join(' ')}`;
  });
  return digestLines(lines);
}

function digestLines(lines: readonly string[]): string {
  const sorted = [...lines].sort().join('\n');
  return createHash('sha1').update(sorted).digest('base64');
}
