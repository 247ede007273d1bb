import {type Clock, sleep} from '@banyandrum/base/clock.js';
import type {ShardId} from '@banyandrum/base/ids.js';
import type {InheritedState} from './authority.js';
import {untilAborted} from './condition.js';
import type {LeaseRegistry} from './lease-registry.js';
import type {LeaseTask} from './lease-task.js';
import type {LeaseTiming} from './lease-timing.js';
import type {ShardLocator} from './shard-locator.js';
import {
  type ShardMap,
  type TrackedShard,
  type TableRecorder,
  hotKeyOf,
} from './shard-table.js';
import type {ShardEntry, ShardTable} from './table.js';

export interface RecoveryOptions {
  readonly inheritance: InheritedState;
  readonly map: ShardMap;
  readonly registry: LeaseRegistry;
  readonly recorder: TableRecorder;
  readonly locator: ShardLocator;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly signal: AbortSignal;
}

/** Recovers the state of a cell after a change of its leader. */
export interface Recovery {
  /** Runs the recovery; resolves when shards may be granted. */
  run(): Promise<void>;
  /** Records the shards that a server reported in its first answer. */
  recordReport(task: LeaseTask, shards: readonly ShardId[]): void;
  /** Whether the cell's table is known. */
  isTableKnown(): boolean;
  /** Addresses of the servers that the table's entries refer to, by name. */
  addresses(): ReadonlyMap<string, string>;
  /**
   * Local time by which every lease granted by a former leader has expired;
   * infinite until the former leader can no longer act.
   */
  formerLeaseExpiry(): number;
}

/**
 * Creates the recovery of one cell. It starts from the former leader's table
 * or, if that is lost, asks the servers which shards they own.
 *
 * @example
 * ```ts
 * await createRecovery(options).run();
 * ```
 */
export function createRecovery(options: RecoveryOptions): Recovery {
  const {inheritance, map, registry, recorder, clock, signal} = options;
  /** Shards that two servers reported. */
  const disputed = new Set<ShardId>();
  let inheritedAddresses: ReadonlyMap<string, string> = new Map();
  let isQuerying = false;
  let isTableKnown = false;
  let formerLeaseExpiry = Infinity;

  const limitFormerLeases = (): void => {
    const {ttlMs, marginMs} = options.timing;
    // The former leader sent its last lease call before now, and a lease is
    // counted from a server timestamp that the leader received even earlier.
    const clearedAt = clock.now();
    formerLeaseExpiry = clearedAt + ttlMs + marginMs;
    registry.limitFormerLeases({clearedAt, expiresAt: formerLeaseExpiry});
  };

  const takeOver = async (table: ShardTable): Promise<void> => {
    inheritedAddresses = table.addresses ?? inheritedAddresses;
    for (const entry of table.entries) adoptEntry(entry);
    isTableKnown = true;
    for (const task of registry.tasks.values()) {
      if (isAtTableAddress(table, task)) {
        task.add(shardsOf(map, task.server.name));
      }
    }
    registry.runFenceChecking();
    options.locator.start();
    recordForStandby();
    await untilAborted(inheritance.cleared, signal);
    if (signal.aborted) return;
    limitFormerLeases();
    registry.runAll();
  };

  /** Sends the table to the new standby early, even if nothing changes. */
  const recordForStandby = (): void => {
    recorder.markChanged();
    void recorder.commit();
  };

  const adoptEntry = (entry: ShardEntry): void => {
    const tracked = findOrAddShard(map, entry.shard);
    if (tracked === null || entry.server === null) return;
    // A shard that was moving is covered by its old server's lease or by none.
    // In both cases the old server may continue to serve it.
    tracked.state = 'held';
    tracked.server = entry.server;
    tracked.reason = 'inherited with the table of the former leader';
  };

  const queryServers = async (): Promise<void> => {
    await untilAborted(inheritance.cleared, signal);
    if (signal.aborted) return;
    limitFormerLeases();
    isQuerying = true;
    registry.runAll();
    // A server that is unreachable or no longer in the inventory may own a
    // shard or hot key that nobody else reports. Only the expiry of its lease
    // rules that out.
    await sleep(clock, formerLeaseExpiry - clock.now(), signal);
    isQuerying = false;
    if (signal.aborted) return;
    removeDisputedHotKeys();
    isTableKnown = true;
    recordForStandby();
    options.locator.start();
  };

  const recordReport = (task: LeaseTask, shards: readonly ShardId[]): void => {
    if (!isQuerying) return;
    for (const shard of shards) recordShard(task, shard);
  };

  const recordShard = (task: LeaseTask, shard: ShardId): void => {
    const tracked = findOrAddShard(map, shard);
    if (tracked === null || disputed.has(shard)) return;
    const {name} = task.server;
    if (tracked.server === null) {
      tracked.state = 'held';
      tracked.server = name;
      tracked.reason = 'reported by its server';
      task.add([shard]);
      return;
    }
    if (tracked.server === name) return;
    disputed.add(shard);
    registry.tasks.get(tracked.server)?.remove([shard]);
    tracked.state = 'free';
    tracked.server = null;
    tracked.reason = 'reported by two servers';
  };

  const removeDisputedHotKeys = (): void => {
    for (const shard of disputed) {
      const key = hotKeyOf(shard);
      if (key !== null) map.removeHotKey(key);
    }
  };

  return {
    run: () =>
      inheritance.table === null ? queryServers() : takeOver(inheritance.table),
    recordReport,
    isTableKnown: () => isTableKnown,
    // Entries may refer to inherited addresses until former leases expire.
    addresses: () =>
      new Map([
        ...registry.addresses(),
        ...(clock.now() < formerLeaseExpiry ? inheritedAddresses : []),
      ]),
    formerLeaseExpiry: () => formerLeaseExpiry,
  };
}

/**
 * Whether the table's entries for this server's name refer to the process at
 * its present address. If an operator has changed the server's address since,
 * they refer to a process that may still have a lease at the old address:
 * granting the shards at the new address would give them two owners. They wait
 * until every earlier lease has expired.
 */
function isAtTableAddress(table: ShardTable, task: LeaseTask): boolean {
  const {name, address} = task.server;
  const known = table.addresses?.get(name);
  return known === undefined || known === address;
}

function findOrAddShard(map: ShardMap, shard: ShardId): TrackedShard | null {
  const known = map.get(shard);
  if (known !== undefined) return known;
  const key = hotKeyOf(shard);
  if (key === null || map.findRange(key) === null) return null;
  const tracked = map.addHotKey(key);
  map.activateHotKey(key);
  return tracked;
}

function shardsOf(map: ShardMap, server: string): readonly ShardId[] {
  const shards: ShardId[] = [];
  for (const tracked of map.all()) {
    if (tracked.server === server) shards.push(tracked.shard);
  }
  return shards;
}
