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

/** The leases of all servers of a cell. */
export interface LeaseRegistry {
  readonly tasks: ReadonlyMap<string, LeaseTask>;
  /** Opens leases of servers that came, ends those of servers that went. */
  refresh(): void;
  /** Runs the tasks of servers that check fences. */
  runFenceChecking(): void;
  /** Runs all tasks, now and later ones. */
  runAll(): void;
  /** Tells all that the former leaders are known to have stopped. */
  limitFormerLeases(limit: FormerLeaseLimit): void;
  /** Why the server is being emptied, or null. */
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
 * Makes the registry of one cell's servers; `refresh` follows the inventory.
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
  let permitted: 'none' | 'checking' | 'all' = 'none';
  let foreign = UNLIMITED_FORMER_LEASES;

  // Made anew only with a new inventory: the cell asks at every tick, and the
  // list of all servers grows with the whole system.
  const wantedOf = createMemo((inventory: Inventory) => {
    const found = inventory.services.find(({name}) => name === service);
    const servers = found
      ? serversOfCell(inventory.servers, service, index, found.cells)
      : [];
    return {
      found,
      wanted: new Map(servers.map(s => [s.name, toServerRef(s)])),
    };
  });

  const open = (server: ServerRef, checksFences: boolean): void => {
    const stopper = new AbortController();
    const signal = AbortSignal.any([options.signal, stopper.signal]);
    setMaxListeners(0, signal);
    const task = createLeaseTask({
      ...options,
      server,
      checksFences,
      formerLeases: foreign,
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

  const retire = (member: Member): void => {
    const {server} = member.task;
    member.stopper.abort();
    members.delete(server.name);
    tasks.delete(server.name);
    options.client.forget(server);
  };

  const isEmpty = (task: LeaseTask): boolean =>
    task.assigned().size === 0 && task.mayHoldAnyUntil() <= clock.now();

  const refresh = (): void => {
    const {found, wanted} = wantedOf(store.current().inventory);
    for (const [name, member] of members) {
      // Another address is another process: its lease is a new one, and the
      // boot id that answers there proves nothing about the old process.
      const {address} = member.task.server;
      member.listed = wanted.get(name)?.address === address;
      if (!member.listed && isEmpty(member.task)) retire(member);
    }
    for (const [name, server] of wanted) {
      if (!members.has(name)) open(server, found?.checksFences ?? false);
    }
    runPermitted();
  };

  const runPermitted = (): void => {
    if (permitted === 'none') return;
    for (const member of members.values()) {
      if (member.running) continue;
      if (permitted === 'checking' && !member.task.checksFences) continue;
      member.running = true;
      follow(member.task.run());
      follow(member.probe.run());
    }
  };

  const follow = (run: Promise<void>): void => {
    const ended = run.finally(() => runs.delete(ended));
    runs.add(ended);
  };

  return {
    tasks,
    refresh,
    runFenceChecking() {
      permitted = 'checking';
      runPermitted();
    },
    runAll() {
      permitted = 'all';
      runPermitted();
    },
    limitFormerLeases(limit) {
      foreign = limit;
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
