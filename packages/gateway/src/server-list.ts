import type {Clock} from '@banyandrum/base/clock.js';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {bornOfRun, nameOfRun} from '@banyandrum/dispatch/server-run.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {ServerListChange, ServerListRead} from './platform.js';

/** The list of backend servers at one point of its history. */
export interface ListSnapshot {
  readonly cursor: number;
  readonly servers: readonly ServerInfo[];
}

/** The newest list of backend servers that this router knows. */
export interface ServerList {
  /** Takes a read of the platform's own list. */
  take(read: ServerListRead): void;
  /** Takes another router's list, where it is newer. */
  takeSnapshot(snapshot: ListSnapshot, ageMs: number): void;
  snapshot(): ListSnapshot | null;
  /**
   * Marks a run as leaving for the rest of its lifetime, regardless of later
   * lists. Returns whether it was not marked before.
   */
  noteLeaving(id: string): boolean;
  /** Changes whenever the snapshot holds other servers, or in another state. */
  version(): number;
  /** Where the next read goes on; null: it takes the whole list. */
  cursor(): number | null;
  /** Time since a server came that was never listed before, in ms. */
  settledMs(): number;
  /** Time since the platform confirmed this list, in ms. */
  ageMs(): number;
  has(id: string): boolean;
  /** Whether another run of a server is listed at this one's address. */
  isReplaced(id: string): boolean;
  subscribe(listener: () => void): void;
}

/**
 * Entries that are removed are kept until so long after the last failed read:
 * servers couldn't renew theirs either, and they come back when the platform
 * does. In ms, at the most; it must also end soon after the time by which a
 * server that is really gone must have no request any more.
 */
const RETURN_MS = 2_200;
const RETURN_MARGIN_MS = 200;
/**
 * Runs of servers that are remembered, to tell that one took another's place:
 * some weeks of restarts at the size designed for, in about 1 MB.
 */
const MAX_SEEN = 10_000;

/**
 * Keeps the list.
 *
 * @example
 * ```ts
 * const list = createServerList(clock, emit, 2_000);
 * list.take(await platform.readServers(list.cursor()));
 * ```
 */
export function createServerList(
  clock: Clock,
  emit: Emit,
  leaveWithinMs: number,
): ServerList {
  const returnMs = Math.min(RETURN_MS, leaveWithinMs + RETURN_MARGIN_MS);
  const servers = new Map<string, ServerInfo>();
  /** The newest run under each name that has a run listed. */
  const runs = new Map<string, string>();
  /** Address and order of first sight of each server ever listed. */
  const seen = new Map<string, {address: string; order: number}>();
  const removals = new Set<string>();
  /** Servers that a restored list lacks, until they had time to register. */
  const unregistered = new Set<string>();
  /** Runs that were ever reported as leaving; none of them comes back. */
  const leavingRuns = new Set<string>();
  const listeners = new Set<() => void>();
  let cursor: number | null = null;
  let version = 0;
  let confirmedAt = -Infinity;
  let troubleAt = -Infinity;
  let restoredAt = -Infinity;
  let grewAt = clock.now();

  const changed = (): void => {
    version++;
    listeners.forEach(listener => listener());
  };

  const forgetOldest = (): void => {
    for (const id of seen.keys()) {
      if (servers.has(id)) continue;
      seen.delete(id);
      return;
    }
  };

  const noteLeavingRun = (id: string): void => {
    leavingRuns.add(id);
    if (leavingRuns.size > MAX_SEEN) leavingRuns.delete([...leavingRuns][0]!);
  };

  /** Returns whether the list changed. */
  const markLeaving = (id: string): boolean => {
    noteLeavingRun(id);
    const known = servers.get(id);
    if (known === undefined || known.isLeaving) return false;
    servers.set(id, {...known, isLeaving: true});
    version++;
    return true;
  };

  /** Other routers may learn it before the platform's list shows it. */
  const markListedLeaving = (listed: readonly ServerInfo[]): boolean => {
    const newlyLeaving = listed.filter(
      ({id, isLeaving}) => isLeaving && !leavingRuns.has(id),
    );
    return newlyLeaving.map(({id}) => markLeaving(id)).includes(true);
  };

  const put = (entry: ServerInfo): boolean => {
    unregistered.delete(entry.id);
    if (entry.isLeaving) noteLeavingRun(entry.id);
    const server = leavingRuns.has(entry.id)
      ? {...entry, isLeaving: true}
      : entry;
    const last = runs.get(nameOfRun(server.id));
    if (last !== undefined && last !== server.id) {
      // What an earlier run said may come later, from another router.
      if (isEarlier(server.id, last)) return false;
      emit('server-reborn', {server: server.id, before: last});
      remove(last);
    }
    runs.set(nameOfRun(server.id), server.id);
    if (removals.delete(server.id)) version++;
    const known = servers.get(server.id);
    servers.set(server.id, server);
    if (!seen.has(server.id)) {
      seen.set(server.id, {address: server.address, order: version});
      grewAt = clock.now();
      if (seen.size > MAX_SEEN) forgetOldest();
    }
    if (known !== undefined && isSameServer(known, server)) return false;
    const {id, service, address, isLeaving, coldMs} = server;
    emit('server-listed', {server: id, service, address, isLeaving, coldMs});
    return true;
  };

  const remove = (id: string): boolean => {
    if (!servers.delete(id)) return false;
    removals.delete(id);
    if (runs.get(nameOfRun(id)) === id) runs.delete(nameOfRun(id));
    emit('server-removed', {server: id, cursor});
    return true;
  };

  const expire = (id: string): boolean => {
    if (!servers.has(id)) return false;
    unregistered.delete(id);
    if (clock.now() - troubleAt > returnMs) return remove(id);
    // Others are told of it by the version: with an older one they would take
    // the cursor that lies behind the removal, and keep the server for good.
    if (!removals.has(id)) version++;
    removals.add(id);
    return false;
  };

  /** What can't be read says nothing of whether the server is there. */
  const tellUnreadable = (server: string, detail: string): boolean => {
    emit('server-unreadable', {server, detail});
    return false;
  };

  const apply = (change: ServerListChange): boolean => {
    if (change.kind === 'listed') return put(change.server);
    if (change.kind === 'removed') {
      return expire(runs.get(nameOfRun(change.id)) ?? change.id);
    }
    return tellUnreadable(change.id, change.detail);
  };

  const applyWhole = (
    changes: readonly ServerListChange[],
    isRestored: boolean,
  ): boolean => {
    const listed = new Set<string>();
    for (const change of changes) {
      if (change.kind === 'listed') listed.add(nameOfRun(change.server.id));
      if (change.kind === 'unreadable') listed.add(nameOfRun(change.id));
    }
    const gone = [...servers.keys()].filter(id => !listed.has(nameOfRun(id)));
    if (isRestored) gone.forEach(id => unregistered.add(id));
    const expired = gone.filter(id => !unregistered.has(id));
    const results = [...changes.map(apply), ...expired.map(expire)];
    return results.includes(true);
  };

  const expireUnregistered = (): boolean => {
    if (clock.now() - restoredAt <= returnMs) return false;
    return [...unregistered].map(expire).includes(true);
  };

  const applyDue = (): boolean => {
    if (clock.now() - troubleAt <= returnMs) return false;
    const due = [...removals];
    removals.clear();
    return due.map(remove).includes(true);
  };

  return {
    take(read) {
      if (read.kind === 'failed') {
        troubleAt = clock.now();
        return;
      }
      const {isRestored = false} = read;
      if (isRestored) restoredAt = clock.now();
      const results = [
        read.isWhole
          ? applyWhole(read.changes, isRestored)
          : read.changes.map(apply).includes(true),
        expireUnregistered(),
        applyDue(),
      ];
      cursor = read.cursor;
      confirmedAt = clock.now();
      if (results.includes(true)) changed();
    },
    takeSnapshot(snapshot, ageMs) {
      const hasNewLeaving = markListedLeaving(snapshot.servers);
      if (cursor !== null && snapshot.cursor < cursor) {
        if (hasNewLeaving) changed();
        return;
      }
      confirmedAt = Math.max(confirmedAt, clock.now() - ageMs);
      const isNewer = snapshot.cursor !== cursor;
      cursor = snapshot.cursor;
      const results = [
        hasNewLeaving,
        isNewer && applyWhole(snapshot.servers.map(toListed), false),
        applyDue(),
      ];
      if (results.includes(true)) changed();
    },
    snapshot: () =>
      cursor === null
        ? null
        : {
            cursor,
            // What was removed is no news to others, though this router keeps
            // it for a while: they would list a server again that is gone.
            servers: [...servers.values()].filter(({id}) => !removals.has(id)),
          },
    noteLeaving(id) {
      if (leavingRuns.has(id)) return false;
      const hasChanged = markLeaving(id);
      emit('server-says-leaving', {server: id});
      if (hasChanged && cursor !== null) changed();
      return true;
    },
    version: () => version,
    cursor: () => cursor,
    settledMs: () => clock.now() - grewAt,
    ageMs: () => clock.now() - confirmedAt,
    has: id => servers.has(id),
    isReplaced(id) {
      const old = seen.get(id);
      if (old === undefined || servers.has(id)) return false;
      for (const server of servers.values()) {
        if (server.address !== old.address) continue;
        // It obeys what the run before it was ordered: its keys are taken back
        // like those of any server that goes.
        if (nameOfRun(server.id) === nameOfRun(id)) continue;
        // Entries of servers that ended long ago may linger in the list.
        if (seen.get(server.id)!.order > old.order) return true;
      }
      return false;
    },
    subscribe: listener => void listeners.add(listener),
  };
}

/** Whether the run began before the other one of its name. */
function isEarlier(id: string, other: string): boolean {
  return (bornOfRun(id) ?? 0) < (bornOfRun(other) ?? 0);
}

function toListed(server: ServerInfo): ServerListChange {
  return {kind: 'listed', server};
}

/** Whether routers treat the two entries alike. */
export function isSameServer(a: ServerInfo, b: ServerInfo): boolean {
  return (
    a.address === b.address &&
    a.isLeaving === b.isLeaving &&
    a.slots === b.slots &&
    a.service === b.service
  );
}
