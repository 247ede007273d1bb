import type {Clock} from '@banyandrum/base/clock.js';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {bornOfRun, nameOfRun} from '@banyandrum/dispatch/server-run.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {ListChange, ListRead} from './platform.js';

/** The list of backend servers at one point of its history. */
export interface ListSnapshot {
  readonly cursor: number;
  readonly servers: readonly ServerInfo[];
}

/** The newest list of backend servers that this router knows. */
export interface ServerList {
  /** Takes a read of the platform's own list. */
  applyRead(read: ListRead): void;
  /** Takes another router's list, where it is newer. */
  applySnapshot(snapshot: ListSnapshot, ageMs: number): void;
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
  sinceNewServerMs(): number;
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
const MAX_REMOVAL_GRACE_MS = 2_200;
const REMOVAL_GRACE_MARGIN_MS = 200;
/**
 * Runs of servers that are remembered, to tell that one took another's place:
 * some weeks of restarts at the size designed for, in about 1 MB.
 */
const MAX_REMEMBERED_INSTANCES = 10_000;

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
  const removalGraceMs = Math.min(
    MAX_REMOVAL_GRACE_MS,
    leaveWithinMs + REMOVAL_GRACE_MARGIN_MS,
  );
  const servers = new Map<string, ServerInfo>();
  /** The newest run under each name that has a run listed. */
  const instances = new Map<string, string>();
  /** Address and order of first sight of each server ever listed. */
  const seen = new Map<string, {address: string; order: number}>();
  const pendingRemovals = new Set<string>();
  /** Servers that a restored list lacks, until they had time to register. */
  const awaitingRegistration = new Set<string>();
  /** Runs that were ever reported as leaving; none of them comes back. */
  const leavingInstances = new Set<string>();
  const listeners = new Set<() => void>();
  let cursor: number | null = null;
  let version = 0;
  let confirmedAt = -Infinity;
  let lastFailureAt = -Infinity;
  let restoredAt = -Infinity;
  let lastNewServerAt = clock.now();

  const notifyChanged = (): void => {
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

  const rememberLeavingInstance = (id: string): void => {
    leavingInstances.add(id);
    if (leavingInstances.size > MAX_REMEMBERED_INSTANCES)
      leavingInstances.delete([...leavingInstances][0]!);
  };

  /** Returns whether the list changed. */
  const markLeaving = (id: string): boolean => {
    rememberLeavingInstance(id);
    const known = servers.get(id);
    if (known === undefined || known.isLeaving) return false;
    servers.set(id, {...known, isLeaving: true});
    version++;
    return true;
  };

  /** Other routers may learn it before the platform's list shows it. */
  const markListedLeaving = (listed: readonly ServerInfo[]): boolean => {
    const newlyLeaving = listed.filter(
      ({id, isLeaving}) => isLeaving && !leavingInstances.has(id),
    );
    return newlyLeaving.map(({id}) => markLeaving(id)).includes(true);
  };

  const upsert = (entry: ServerInfo): boolean => {
    awaitingRegistration.delete(entry.id);
    if (entry.isLeaving) rememberLeavingInstance(entry.id);
    const server = leavingInstances.has(entry.id)
      ? {...entry, isLeaving: true}
      : entry;
    const last = instances.get(nameOfRun(server.id));
    if (last !== undefined && last !== server.id) {
      // What an earlier run said may come later, from another router.
      if (isEarlierInstance(server.id, last)) return false;
      emit('server-reborn', {server: server.id, before: last});
      remove(last);
    }
    instances.set(nameOfRun(server.id), server.id);
    if (pendingRemovals.delete(server.id)) version++;
    const known = servers.get(server.id);
    servers.set(server.id, server);
    if (!seen.has(server.id)) {
      seen.set(server.id, {address: server.address, order: version});
      lastNewServerAt = clock.now();
      if (seen.size > MAX_REMEMBERED_INSTANCES) forgetOldest();
    }
    if (known !== undefined && isSameServer(known, server)) return false;
    const {id, service, address, isLeaving, coldMs} = server;
    emit('server-listed', {server: id, service, address, isLeaving, coldMs});
    return true;
  };

  const remove = (id: string): boolean => {
    if (!servers.delete(id)) return false;
    pendingRemovals.delete(id);
    if (instances.get(nameOfRun(id)) === id) instances.delete(nameOfRun(id));
    emit('server-removed', {server: id, cursor});
    return true;
  };

  const removeAfterGrace = (id: string): boolean => {
    if (!servers.has(id)) return false;
    awaitingRegistration.delete(id);
    if (clock.now() - lastFailureAt > removalGraceMs) return remove(id);
    // Others are told of it by the version: with an older one they would take
    // the cursor that lies behind the removal, and keep the server for good.
    if (!pendingRemovals.has(id)) version++;
    pendingRemovals.add(id);
    return false;
  };

  /** What can't be read says nothing of whether the server is there. */
  const reportUnreadable = (server: string, detail: string): boolean => {
    emit('server-unreadable', {server, detail});
    return false;
  };

  const apply = (change: ListChange): boolean => {
    if (change.kind === 'listed') return upsert(change.server);
    if (change.kind === 'removed') {
      return removeAfterGrace(instances.get(nameOfRun(change.id)) ?? change.id);
    }
    return reportUnreadable(change.id, change.detail);
  };

  const applyWholeList = (
    changes: readonly ListChange[],
    isRestored: boolean,
  ): boolean => {
    const listed = new Set<string>();
    for (const change of changes) {
      if (change.kind === 'listed') listed.add(nameOfRun(change.server.id));
      if (change.kind === 'unreadable') listed.add(nameOfRun(change.id));
    }
    const gone = [...servers.keys()].filter(id => !listed.has(nameOfRun(id)));
    if (isRestored) gone.forEach(id => awaitingRegistration.add(id));
    const expired = gone.filter(id => !awaitingRegistration.has(id));
    const results = [...changes.map(apply), ...expired.map(removeAfterGrace)];
    return results.includes(true);
  };

  const removeUnregistered = (): boolean => {
    if (clock.now() - restoredAt <= removalGraceMs) return false;
    return [...awaitingRegistration].map(removeAfterGrace).includes(true);
  };

  const applyDueRemovals = (): boolean => {
    if (clock.now() - lastFailureAt <= removalGraceMs) return false;
    const due = [...pendingRemovals];
    pendingRemovals.clear();
    return due.map(remove).includes(true);
  };

  return {
    applyRead(read) {
      if (read.kind === 'failed') {
        lastFailureAt = clock.now();
        return;
      }
      const {isRestored = false} = read;
      if (isRestored) restoredAt = clock.now();
      const results = [
        read.isWhole
          ? applyWholeList(read.changes, isRestored)
          : read.changes.map(apply).includes(true),
        removeUnregistered(),
        applyDueRemovals(),
      ];
      cursor = read.cursor;
      confirmedAt = clock.now();
      if (results.includes(true)) notifyChanged();
    },
    applySnapshot(snapshot, ageMs) {
      const hasNewLeaving = markListedLeaving(snapshot.servers);
      if (cursor !== null && snapshot.cursor < cursor) {
        if (hasNewLeaving) notifyChanged();
        return;
      }
      confirmedAt = Math.max(confirmedAt, clock.now() - ageMs);
      const isNewer = snapshot.cursor !== cursor;
      cursor = snapshot.cursor;
      const results = [
        hasNewLeaving,
        isNewer && applyWholeList(snapshot.servers.map(toListed), false),
        applyDueRemovals(),
      ];
      if (results.includes(true)) notifyChanged();
    },
    snapshot: () =>
      cursor === null
        ? null
        : {
            cursor,
            // What was removed is no news to others, though this router keeps
            // it for a while: they would list a server again that is gone.
            servers: [...servers.values()].filter(
              ({id}) => !pendingRemovals.has(id),
            ),
          },
    noteLeaving(id) {
      if (leavingInstances.has(id)) return false;
      const hasChanged = markLeaving(id);
      emit('server-says-leaving', {server: id});
      if (hasChanged && cursor !== null) notifyChanged();
      return true;
    },
    version: () => version,
    cursor: () => cursor,
    sinceNewServerMs: () => clock.now() - lastNewServerAt,
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
function isEarlierInstance(id: string, other: string): boolean {
  return (bornOfRun(id) ?? 0) < (bornOfRun(other) ?? 0);
}

function toListed(server: ServerInfo): ListChange {
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
