import {createHash} from 'node:crypto';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {
  fromServerEntry,
  toServerEntry,
  type ServerEntry,
} from '@banyandrum/dispatch/server-entry.js';
import type {ServedRange} from '@banyandrum/ranges/table.js';
import type {ServedTables} from './key-owners.js';
import {isSameServer} from './server-list.js';

/** Changes of the server list since the last message of a stream. */
export interface ListDelta {
  /** Whether `put` is the whole list instead of changes. */
  readonly isWhole: boolean;
  readonly put: readonly ServerEntry[];
  /** Ids of servers that are no longer listed. */
  readonly gone: readonly string[];
}

/** A range in wire format: from, to, server. */
export type RangeRow = readonly [number, number, string | null];

/** Changed ranges by service; each replaces the ranges that it overlaps. */
export type TablesDelta = Readonly<Record<string, readonly RangeRow[]>>;

/**
 * Returns the changes from one list to a later one, or null if there are none.
 * Without an earlier list it returns the whole later one. They are sent at the
 * monotonic time `now`, in ms.
 */
export function diffList(
  before: readonly ServerInfo[] | null,
  after: readonly ServerInfo[],
  now: number,
): ListDelta | null {
  const toEntry = (server: ServerInfo): ServerEntry =>
    toServerEntry(server, now);
  if (before === null)
    return {isWhole: true, put: after.map(toEntry), gone: []};
  if (before === after) return null;
  const known = new Map(before.map(server => [server.id, server]));
  const put = after.filter(server => {
    const old = known.get(server.id);
    known.delete(server.id);
    return old === undefined || !isSameServer(old, server);
  });
  const gone = [...known.keys()];
  if (put.length + gone.length === 0) return null;
  return {isWhole: false, put: put.map(toEntry), gone};
}

/** Applies changes to a list that arrived at the monotonic time `now`, in ms. */
export function applyList(
  before: readonly ServerInfo[],
  {isWhole, put, gone}: ListDelta,
  now: number,
): readonly ServerInfo[] {
  const changed = put.map(entry => fromServerEntry(entry, now));
  if (isWhole) return changed;
  const servers = new Map(before.map(server => [server.id, server]));
  for (const server of changed) servers.set(server.id, server);
  for (const id of gone) servers.delete(id);
  return [...servers.values()];
}

/** Returns the changes from tables to later ones, or null if there are none. */
export function diffTables(
  before: ServedTables,
  now: ServedTables,
): TablesDelta | null {
  if (before === now) return null;
  const delta: Record<string, readonly RangeRow[]> = {};
  for (const [service, ranges] of now) {
    const known = new Set(before.get(service)?.map(rangeId));
    const changed = ranges.filter(range => !known.has(rangeId(range)));
    if (changed.length > 0) delta[service] = changed.map(toRow);
  }
  return Object.keys(delta).length === 0 ? null : delta;
}

/** Applies changes to tables; the result has no gaps if `before` has none. */
export function applyTables(
  before: ServedTables,
  delta: TablesDelta,
): ServedTables {
  const tables = new Map(before);
  for (const [service, rows] of Object.entries(delta)) {
    const changed = rows.map(toRange);
    const kept = (before.get(service) ?? []).filter(
      ({from, to}) => !changed.some(each => each.from <= to && from <= each.to),
    );
    const ranges = [...kept, ...changed].sort((a, b) => a.from - b.from);
    tables.set(service, ranges);
  }
  return tables;
}

function toRow({from, to, server}: ServedRange): RangeRow {
  return [from, to, server];
}

function toRange([from, to, server]: RangeRow): ServedRange {
  return {from, to, server};
}

function rangeId({from, to, server}: ServedRange): string {
  return `${from}-${to}-${server}`;
}

/**
 * Returns a digest that is independent of the order of the entries. Two routers
 * that read the platform's list at different times mostly know the same
 * servers.
 */
export function digestServers(servers: readonly ServerInfo[]): string {
  const lines = servers.map(
    ({id, service, address, slots, isLeaving}) =>
      `${id} ${service} ${address} ${slots} ${isLeaving}`,
  );
  return createHash('sha1').update(lines.sort().join('\n')).digest('base64');
}
