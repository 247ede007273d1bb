import type {Clock} from '@banyandrum/base/clock.js';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {
  instanceStartedAt,
  serverName,
} from '@banyandrum/dispatch/server-instance.js';
import {
  fromServerEntry,
  toServerEntry,
} from '@banyandrum/dispatch/server-entry.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import {createColdTimes, MAX_IGNORED_COLD_MS} from './cold-times.js';
import type {ServerListChange, ServerListRead} from './platform.js';

/** The list of backend servers at one position of its change log. */
export interface ListSnapshot {
  readonly cursor: number;
  readonly servers: readonly ServerInfo[];
}

/** Keeps the newest list of backend servers that this router knows. */
export interface ServerList {
  /**
   * Applies the result of a read of the platform's list that was sent at the
   * monotonic time `sentAt`, in ms; now if absent.
   */
  applyRead(read: ServerListRead, sentAt?: number): void;
  /** Applies another router's list if it is newer. */
  applySnapshot(snapshot: ListSnapshot, ageMs: number): void;
  /**
   * Another router knows that the list ended at the cursor `ageMs` ago. Returns
   * whether that is this router's cursor; otherwise nothing changes.
   */
  confirm(cursor: number, ageMs: number): boolean;
  snapshot(): ListSnapshot | null;
  /**
   * Marks an instance as leaving for the rest of its lifetime, regardless of
   * later lists. Returns whether it was not marked before.
   */
  noteLeaving(id: string): boolean;
  /**
   * The server itself says that it is cold for `coldMs` more, which no entry can
   * shorten: those that are read later may have been written before.
   */
  noteCold(id: string, coldMs: number): void;
  /** The server itself says that it was warm at the monotonic time `asOf`. */
  noteWarm(id: string, asOf: number): void;
  /**
   * Monotonic time as of which it is known whether the server is cold, in ms. A
   * list that was restored from a copy tells nothing new until servers had time to
   * write their entries again.
   */
  coldKnownAt(id: string): number;
  /** Changes whenever the servers of the snapshot or their states change. */
  version(): number;
  /** Where the next read continues; null if it must read the whole list. */
  cursor(): number | null;
  /** Time since a server was listed for the first time, in ms. */
  sinceNewServerMs(): number;
  /** Time since the platform confirmed this list, in ms. */
  ageMs(): number;
  has(id: string): boolean;
  /**
   * Whether a newer server is listed at the address of this one. No proof that
   * it has ended, as anyone may write entries.
   */
  isReplaced(id: string): boolean;
  subscribe(listener: () => void): void;
}

/**
 * Longest time after the last failed read during which removed entries are
 * kept, in ms. While the platform was unavailable, servers couldn't renew their
 * entries either; they register again once it is back. The time must end soon
 * after the deadline by which a server that really left may get no more
 * requests, so `leaveWithinMs` plus the margin limits it as well.
 */
const MAX_REMOVAL_GRACE_MS = 2_200;
const REMOVAL_GRACE_MARGIN_MS = 200;
/**
 * Limit of remembered server instances, which are needed to detect that one
 * replaced another: a few weeks of restarts at the largest supported size, in
 * about 1 MB.
 */
const MAX_REMEMBERED_INSTANCES = 10_000;

/**
 * Creates an empty list. `isNamedService` tells whether the configuration names
 * a service; entries of others are not the servers' own.
 *
 * @example
 * ```ts
 * const list = createServerList(clock, emit, 2_000);
 * list.applyRead(await platform.readServers(list.cursor()));
 * ```
 */
export function createServerList(
  clock: Clock,
  emit: Emit,
  leaveWithinMs: number,
  isNamedService: (service: string) => boolean = () => true,
): ServerList {
  const removalGraceMs = Math.min(
    MAX_REMOVAL_GRACE_MS,
    leaveWithinMs + REMOVAL_GRACE_MARGIN_MS,
  );
  const servers = new Map<string, ServerInfo>();
  /** The newest instance of each server name that has a listed instance. */
  const instances = new Map<string, string>();
  /** Address and order of first listing of each server ever listed. */
  const seen = new Map<string, {address: string; order: number}>();
  const coldTimes = createColdTimes({
    clock,
    entriesKnownAt: () =>
      isRestoring() ? Math.min(restoredFrom, confirmedAt) : confirmedAt,
  });
  const pendingRemovals = new Set<string>();
  /** Servers missing from a restored list that have time to register again. */
  const awaitingRegistration = new Set<string>();
  /** Instances that were ever reported as leaving, which is final for each. */
  const leavingInstances = new Set<string>();
  const listeners = new Set<() => void>();
  let cursor: number | null = null;
  let version = 0;
  let confirmedAt = -Infinity;
  let lastFailureAt = -Infinity;
  let restoredAt = -Infinity;
  /** When the list was last confirmed before it was restored, in ms. */
  let restoredFrom = -Infinity;
  let lastNewServerAt = clock.now();

  const isRestoring = (): boolean => clock.now() - restoredAt <= removalGraceMs;

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

  /**
   * Marks the servers that another router lists as leaving, even if its list is
   * older: it may know of a report that isn't in the platform's list yet.
   */
  const markListedLeaving = (listed: readonly ServerInfo[]): boolean => {
    const newlyLeaving = listed.filter(
      ({id, isLeaving}) => isLeaving && !leavingInstances.has(id),
    );
    return newlyLeaving.map(({id}) => markLeaving(id)).includes(true);
  };

  /**
   * Adopts the later ends of cold times, even if the other router's list is older:
   * a server may have told it.
   */
  const markListedCold = (listed: readonly ServerInfo[]): boolean => {
    let hasChanged = false;
    for (const {id, coldUntil} of listed) {
      const known = servers.get(id);
      if (known === undefined || coldUntil <= clock.now()) continue;
      if (coldUntil <= known.coldUntil + MAX_IGNORED_COLD_MS) continue;
      servers.set(id, {...known, coldUntil});
      hasChanged = true;
    }
    return hasChanged;
  };

  const upsert = (entry: ServerInfo, isOutdated: boolean): boolean => {
    awaitingRegistration.delete(entry.id);
    if (entry.isLeaving) rememberLeavingInstance(entry.id);
    const server = leavingInstances.has(entry.id)
      ? {...entry, isLeaving: true}
      : entry;
    const lastId = instances.get(serverName(server.id));
    if (lastId !== undefined && lastId !== server.id) {
      // An entry of an earlier instance may arrive late, from another router.
      if (isEarlierInstance(server.id, lastId)) return false;
      emit('server-reborn', {server: server.id, before: lastId});
      remove(lastId);
    }
    instances.set(serverName(server.id), server.id);
    if (pendingRemovals.delete(server.id)) version++;
    const known = servers.get(server.id);
    const coldUntil = coldTimes.endByEntry(known, server, isOutdated);
    const next = {...server, coldUntil};
    servers.set(server.id, next);
    if (!seen.has(server.id)) {
      seen.set(server.id, {address: server.address, order: version});
      lastNewServerAt = clock.now();
      if (seen.size > MAX_REMEMBERED_INSTANCES) forgetOldest();
    }
    if (known !== undefined && isSameServer(known, next)) return false;
    const {id, service, address, isLeaving} = next;
    const coldMs = Math.max(0, Math.round(coldUntil - clock.now()));
    emit('server-listed', {server: id, service, address, isLeaving, coldMs});
    return true;
  };

  const remove = (id: string): boolean => {
    coldTimes.forget(id);
    if (!servers.delete(id)) return false;
    pendingRemovals.delete(id);
    if (instances.get(serverName(id)) === id) instances.delete(serverName(id));
    emit('server-removed', {server: id, cursor});
    return true;
  };

  const removeAfterGrace = (id: string): boolean => {
    if (!servers.has(id)) return false;
    awaitingRegistration.delete(id);
    if (clock.now() - lastFailureAt > removalGraceMs) return remove(id);
    // The snapshot no longer includes the server, so its version must change.
    // Otherwise other routers would adopt the cursor after the removal without
    // the removal itself, and keep the server for good.
    if (!pendingRemovals.has(id)) version++;
    pendingRemovals.add(id);
    return false;
  };

  /** An unreadable entry doesn't show whether the server still exists. */
  const reportUnreadable = (server: string, detail: string): boolean => {
    emit('server-unreadable', {server, detail});
    return false;
  };

  /** `isOutdated` is set if entries may be older than those known. */
  const apply = (change: ServerListChange, isOutdated = false): boolean => {
    if (change.kind === 'listed')
      return upsert(fromServerEntry(change.server, clock.now()), isOutdated);
    if (change.kind === 'removed') {
      return removeAfterGrace(
        instances.get(serverName(change.id)) ?? change.id,
      );
    }
    return reportUnreadable(change.id, change.detail);
  };

  const applyWholeList = (
    changes: readonly ServerListChange[],
    isRestored: boolean,
  ): boolean => {
    const listed = new Set<string>();
    for (const change of changes) {
      if (change.kind === 'listed') listed.add(serverName(change.server.id));
      if (change.kind === 'unreadable') listed.add(serverName(change.id));
    }
    const missing = [...servers.keys()].filter(
      id => !listed.has(serverName(id)),
    );
    if (isRestored) missing.forEach(id => awaitingRegistration.add(id));
    const expired = missing.filter(id => !awaitingRegistration.has(id));
    const results = [
      ...changes.map(change => apply(change, isRestored)),
      ...expired.map(removeAfterGrace),
    ];
    return results.includes(true);
  };

  const removeUnregistered = (): boolean => {
    if (isRestoring()) return false;
    return [...awaitingRegistration].map(removeAfterGrace).includes(true);
  };

  const applyDueRemovals = (): boolean => {
    if (clock.now() - lastFailureAt <= removalGraceMs) return false;
    const dueIds = [...pendingRemovals];
    pendingRemovals.clear();
    return dueIds.map(remove).includes(true);
  };

  return {
    applyRead(read, sentAt = clock.now()) {
      if (read.kind === 'failed') {
        lastFailureAt = clock.now();
        return;
      }
      const {isRestored = false} = read;
      if (isRestored) {
        restoredFrom = isRestoring() ? restoredFrom : confirmedAt;
        restoredAt = clock.now();
      }
      confirmedAt = Math.max(confirmedAt, sentAt);
      const results = [
        read.isWhole
          ? applyWholeList(read.changes, isRestored)
          : read.changes.map(change => apply(change)).includes(true),
        removeUnregistered(),
        applyDueRemovals(),
      ];
      cursor = read.cursor;
      if (results.includes(true)) notifyChanged();
    },
    applySnapshot(snapshot, ageMs) {
      const hasNewLeaving = markListedLeaving(snapshot.servers);
      const hasNewCold = markListedCold(snapshot.servers);
      if (cursor !== null && snapshot.cursor < cursor) {
        if (hasNewLeaving || hasNewCold) notifyChanged();
        return;
      }
      confirmedAt = Math.max(confirmedAt, clock.now() - ageMs);
      const isNewer = snapshot.cursor !== cursor;
      cursor = snapshot.cursor;
      const results = [
        ...[hasNewLeaving, hasNewCold],
        isNewer && applyWholeList(toChanges(snapshot, clock.now()), false),
        applyDueRemovals(),
      ];
      if (results.includes(true)) notifyChanged();
    },
    confirm(other, ageMs) {
      if (other !== cursor) return false;
      confirmedAt = Math.max(confirmedAt, clock.now() - ageMs);
      return true;
    },
    snapshot: () =>
      cursor === null
        ? null
        : {
            cursor,
            // Entries kept for the grace time are left out: other routers would
            // list a removed server again.
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
    noteCold(id, coldMs) {
      const known = servers.get(id);
      if (known === undefined) return;
      const coldUntil = coldTimes.endBySelf(known, coldMs);
      if (coldUntil === null) return;
      servers.set(id, {...known, coldUntil});
      emit('server-says-cold', {server: id, coldMs: Math.round(coldMs)});
      if (cursor !== null) notifyChanged();
    },
    noteWarm(id, asOf) {
      const known = servers.get(id);
      if (known === undefined) return;
      const {coldUntil} = known;
      if (coldUntil > coldTimes.knownAt(id) && coldUntil <= asOf)
        emit('server-says-warm', {server: id});
      coldTimes.noteWarm(id, asOf);
    },
    coldKnownAt: coldTimes.knownAt,
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
        // Another writer's entry proves nothing of the server at its address,
        // which may still hold keys and work on them.
        if (!isNamedService(server.service)) continue;
        // A later instance of the same server accepts lease calls meant for the
        // earlier one, so its keys are revoked as for any server that leaves.
        if (serverName(server.id) === serverName(id)) continue;
        // Entries of servers that terminated long ago may remain in the list.
        if (seen.get(server.id)!.order > old.order) return true;
      }
      return false;
    },
    subscribe: listener => void listeners.add(listener),
  };
}

/** Whether the instance started before the other one of the same server. */
function isEarlierInstance(id: string, other: string): boolean {
  return (instanceStartedAt(id) ?? 0) < (instanceStartedAt(other) ?? 0);
}

function toChanges(
  {servers}: ListSnapshot,
  now: number,
): readonly ServerListChange[] {
  return servers.map(server => ({
    kind: 'listed',
    server: toServerEntry(server, now),
  }));
}

/** Whether the two entries are equivalent for routing. */
export function isSameServer(a: ServerInfo, b: ServerInfo): boolean {
  return (
    a.address === b.address &&
    a.isLeaving === b.isLeaving &&
    a.coldUntil === b.coldUntil &&
    a.slots === b.slots &&
    a.service === b.service
  );
}
