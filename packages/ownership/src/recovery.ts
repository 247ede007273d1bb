import {type Clock, sleep} from '@banyandrum/base/clock.js';
import type {ShardId} from '@banyandrum/base/ids.js';
import type {Inheritance} from './authority.js';
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
  readonly inheritance: Inheritance;
  readonly map: ShardMap;
  readonly registry: LeaseRegistry;
  readonly recorder: TableRecorder;
  readonly locator: ShardLocator;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly signal: AbortSignal;
}

/** Takes a cell over from its former leader. */
export interface Recovery {
  /** Resolves when shards may be granted. */
  run(): Promise<void>;
  /** Takes note of what a server held when it was first asked. */
  recordReport(task: LeaseTask, shards: readonly ShardId[]): void;
  /** Whether the cell's table is known by now. */
  isTableKnown(): boolean;
  /** Where the servers are that the table's entries are about. */
  addresses(): ReadonlyMap<string, string>;
  /** When every order of a former leader has lapsed; infinite before. */
  formerLeaseExpiry(): number;
}

/**
 * Makes the recovery of one cell, with the former leader's table or, where
 * that is lost, by asking the servers.
 *
 * @example
 * ```ts
 * await createRecovery(options).run();
 * ```
 */
export function createRecovery(options: RecoveryOptions): Recovery {
  const {inheritance, map, registry, recorder, clock, signal} = options;
  const disputed = new Set<ShardId>();
  let inheritedAddresses: ReadonlyMap<string, string> = new Map();
  let isQuerying = false;
  let isTableKnown = false;
  let formerLeaseExpiry = Infinity;

  const limitFormerLeases = (): void => {
    const {ttlMs, marginMs} = options.timing;
    // The former leader wrote its last order before now, with an echo that
    // it had received before.
    const clearedAt = clock.now();
    formerLeaseExpiry = clearedAt + ttlMs + marginMs;
    registry.limitForeign({clearedAt, until: formerLeaseExpiry});
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
    registry.runChecking();
    options.locator.start();
    replicate();
    await untilAborted(inheritance.cleared, signal);
    if (signal.aborted) return;
    limitFormerLeases();
    registry.runAll();
  };

  /** The new standby should have the table soon, though nothing changes. */
  const replicate = (): void => {
    recorder.markChanged();
    void recorder.commit();
  };

  const adoptEntry = (entry: ShardEntry): void => {
    const slot = findOrAddShard(map, entry.shard);
    if (slot === null || entry.server === null) return;
    // A shard that was moving is still covered by its old server's lease, or
    // by none: either way the old server may go on with it.
    slot.state = 'held';
    slot.server = entry.server;
    slot.reason = 'taken over with the table';
  };

  const queryServers = async (): Promise<void> => {
    await untilAborted(inheritance.cleared, signal);
    if (signal.aborted) return;
    limitFormerLeases();
    isQuerying = true;
    registry.runAll();
    // A server that isn't reached, or is gone from the inventory, may hold a
    // shard or a hot key that no other one knows of. Only time rules it out.
    await sleep(clock, formerLeaseExpiry - clock.now(), signal);
    isQuerying = false;
    if (signal.aborted) return;
    removeDisputedHotKeys();
    isTableKnown = true;
    replicate();
    options.locator.start();
  };

  const recordReport = (task: LeaseTask, shards: readonly ShardId[]): void => {
    if (!isQuerying) return;
    for (const shard of shards) recordShard(task, shard);
  };

  const recordShard = (task: LeaseTask, shard: ShardId): void => {
    const slot = findOrAddShard(map, shard);
    if (slot === null || disputed.has(shard)) return;
    const {name} = task.server;
    if (slot.server === null) {
      slot.state = 'held';
      slot.server = name;
      slot.reason = 'reported by its server';
      task.add([shard]);
      return;
    }
    if (slot.server === name) return;
    disputed.add(shard);
    registry.tasks.get(slot.server)?.drop([shard]);
    slot.state = 'free';
    slot.server = null;
    slot.reason = 'two servers reported it';
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
    recordReport: recordReport,
    isTableKnown: () => isTableKnown,
    // Until older leases have lapsed, entries may be about the old addresses.
    addresses: () =>
      new Map([
        ...registry.addresses(),
        ...(clock.now() < formerLeaseExpiry ? inheritedAddresses : []),
      ]),
    formerLeaseExpiry: () => formerLeaseExpiry,
  };
}

/**
 * Whether the table's entries for this server's name are about the process at
 * this address. If an operator gave the server another address meanwhile,
 * they are about a process that may still hold its lease at the old one:
 * ordering the shards at the new address would give them two owners. They
 * wait until every older lease has lapsed.
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
  const slot = map.addHotKey(key);
  map.activateHotKey(key);
  return slot;
}

function shardsOf(map: ShardMap, server: string): readonly ShardId[] {
  const shards: ShardId[] = [];
  for (const slot of map.all()) {
    if (slot.server === server) shards.push(slot.shard);
  }
  return shards;
}
