import {setMaxListeners} from 'node:events';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Fence, ShardId} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {Inventory} from '@banyandrum/config/inventory.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {ServerClient, ServerRef} from '@banyandrum/servers/client.js';
import type {Authority} from './authority.js';
import {
  type FormerLeaseLimit,
  UNLIMITED_FORMER_LEASES,
} from './lease-holding.js';
import {type LoadProbe, createLoadProbe} from './lease-probe.js';
import {
  type HostWatch,
  type LeavingReason,
  leavingReason,
  parseCell,
  serversOfCell,
  toServerRef,
} from './lease-servers.js';
import {type LeaseTask, createLeaseTask} from './lease-task.js';
import type {LeaseTiming} from './lease-timing.js';
import {createMemo} from './memo.js';

export interface LeaseRegistryOptions {
  readonly authority: Authority;
  readonly store: StateStore;
  readonly hostWatch: HostWatch;
  readonly client: ServerClient;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly onExchange: (task: LeaseTask, changed: boolean) => void;
  readonly onReport: (task: LeaseTask, shards: readonly ShardId[]) => void;
}

/** The lease tasks of all servers of a cell. */
export interface LeaseRegistry {
  readonly tasks: ReadonlyMap<string, LeaseTask>;
  /** Adds tasks for new servers and removes those of servers that are gone. */
  refresh(): void;
  /** Starts the tasks of servers that check fences, now and in future. */
  runFenceChecking(): void;
  /** Starts all tasks, now and in future. */
  runAll(): void;
  /** Sets the limit on former leaders' leases in all tasks. */
  limitFormerLeases(limit: FormerLeaseLimit): void;
  /** Why the server's shards are being moved away, or null. */
  leavingReason(task: LeaseTask): LeavingReason | null;
  probe(task: LeaseTask): LoadProbe | undefined;
  fences(): ReadonlyMap<string, Fence>;
  addresses(): ReadonlyMap<string, string>;
  /** Resolves when all tasks have ended. */
  waitForTasks(): Promise<void>;
}

interface Member {
  readonly task: LeaseTask;
  readonly probe: LoadProbe;
  readonly stopper: AbortController;
  listed: boolean;
  running: boolean;
}

/**
 * Creates the registry of one cell's servers; `refresh` applies changes of the
 * inventory.
 *
 * @example
 * ```ts
 * const registry = createLeaseRegistry(options);
 * registry.refresh();
 * registry.runAll();
 * ```
 */
export function createLeaseRegistry(
  options: LeaseRegistryOptions,
): LeaseRegistry {
  const {authority, store, clock} = options;
  const {service, index} = parseCell(authority.cell);
  const members = new Map<string, Member>();
  const tasks = new Map<string, LeaseTask>();
  const runs = new Set<Promise<void>>();
  let startable: 'none' | 'checking' | 'all' = 'none';
  let formerLeases = UNLIMITED_FORMER_LEASES;

  // Recomputed only for a new inventory: the placer refreshes at least every
  // 500 ms, and the list of all servers grows with the whole system.
  const listedServersOf = createMemo((inventory: Inventory) => {
    const found = inventory.services.find(({name}) => name === service);
    const servers = found
      ? serversOfCell(inventory.servers, service, index, found.cells)
      : [];
    return {
      found,
      listed: new Map(servers.map(s => [s.name, toServerRef(s)])),
    };
  });

  const addMember = (server: ServerRef, checksFences: boolean): void => {
    const stopper = new AbortController();
    const signal = AbortSignal.any([options.signal, stopper.signal]);
    setMaxListeners(0, signal);
    const task = createLeaseTask({
      ...options,
      server,
      checksFences,
      formerLeases,
      signal,
    });
    const probe = createLoadProbe({...options, server, signal});
    tasks.set(server.name, task);
    members.set(server.name, {
      task,
      probe,
      stopper,
      listed: true,
      running: false,
    });
  };

  const removeMember = (member: Member): void => {
    const {server} = member.task;
    member.stopper.abort();
    members.delete(server.name);
    tasks.delete(server.name);
    options.client.forget(server);
  };

  const isEmpty = (task: LeaseTask): boolean =>
    task.assigned().size === 0 && task.mayHoldAnyUntil() <= clock.now();

  const refresh = (): void => {
    const {found, listed} = listedServersOf(store.current().inventory);
    for (const [name, member] of members) {
      // A changed address means a different process, which needs a new lease:
      // the boot id of the process there proves nothing about the old process.
      const {address} = member.task.server;
      member.listed = listed.get(name)?.address === address;
      if (!member.listed && isEmpty(member.task)) removeMember(member);
    }
    for (const [name, server] of listed) {
      if (!members.has(name)) addMember(server, found?.checksFences ?? false);
    }
    startTasks();
  };

  const startTasks = (): void => {
    if (startable === 'none') return;
    for (const member of members.values()) {
      if (member.running) continue;
      if (startable === 'checking' && !member.task.checksFences) continue;
      member.running = true;
      track(member.task.run());
      track(member.probe.run());
    }
  };

  const track = (run: Promise<void>): void => {
    const tracked = run.finally(() => runs.delete(tracked));
    runs.add(tracked);
  };

  return {
    tasks,
    refresh,
    runFenceChecking() {
      startable = 'checking';
      startTasks();
    },
    runAll() {
      startable = 'all';
      startTasks();
    },
    limitFormerLeases(limit) {
      formerLeases = limit;
      for (const task of tasks.values()) task.limitFormerLeases(limit);
    },
    leavingReason(task) {
      const member = members.get(task.server.name);
      return leavingReason(
        task.server,
        member?.listed ?? false,
        store.current(),
        options.hostWatch.current(),
        member?.probe.last()?.health === 'leaving',
      );
    },
    probe: task => members.get(task.server.name)?.probe,
    fences: () =>
      new Map(Array.from(tasks, ([name, task]) => [name, task.fence()])),
    addresses: () =>
      new Map(Array.from(tasks, ([name, {server}]) => [name, server.address])),
    async waitForTasks() {
      await Promise.all(runs);
    },
  };
}
