import type {Clock} from '@banyandrum/base/clock.js';
import {rendezvousWeight, shardOfKey} from '@banyandrum/base/hash.js';
import type {ShardId} from '@banyandrum/base/ids.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import type {Server, Service} from '@banyandrum/config/inventory.js';
import type {Rules} from '@banyandrum/config/rules.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {StateStore} from '@banyandrum/config/store.js';
import {startCellLeader} from '@banyandrum/ownership/cell-leader.js';
import type {
  CellLoad,
  DispatchGate,
  LedCell,
  LoadSource,
  Location,
} from '@banyandrum/ownership/led-cell.js';
import {createHotKeyMeter} from '@banyandrum/placement/hot-key-meter.js';
import {planMoves} from '@banyandrum/placement/plan-moves.js';
import {createPlanner, type Planner} from '@banyandrum/placement/planner.js';
import {
  createLeaderQueues,
  type LeaderQueues,
} from '@banyandrum/requests/leader-queues.js';
import type {LeaderQueue} from '@banyandrum/requests/queue.js';
import type {ServerClient, ServerRef} from '@banyandrum/servers/client.js';
import type {ExperimentPolicy} from './experiment-policies.js';
import type {SimulatedServers} from './experiment-servers.js';

export const SERVICE = 'experiment';
export const CELL = `${SERVICE}/0`;

/** Callers come in through so many entries. */
export const ENTRIES = 4;

/** The one cell of an experiment and its admission. */
export interface ExperimentCell {
  /** Grows with each change of leader. */
  epoch(): number;
  /** The queue that the entry's requests go to; null between leaders. */
  queueOf(entry: number): LeaderQueue | null;
  /** Each shard's server; null where it can't be served now. */
  owners(): ReadonlyMap<ShardId, string | null>;
  hotKeys(): CellLoad['hotKeys'];
  /** Ends the leadership; another process goes on from the servers' word. */
  changeLeader(): Promise<void>;
  stop(): Promise<void>;
}

export interface ExperimentCellOptions {
  readonly clock: Clock;
  readonly servers: SimulatedServers;
  /** The inventory as it is now. */
  readonly inventory: () => readonly Server[];
  readonly drains: ReadonlySet<string>;
  readonly shards: number;
  readonly rules: Rules;
  readonly policy: ExperimentPolicy;
}

/** How long nobody leads when the leader changes, in ms. */
const GAP_MS = 200;

/**
 * Starts the cell: with the real leader of the ownership package, or with
 * keys that stay where their hash puts them.
 *
 * @example
 * ```ts
 * const cell = startCell(options);
 * await cell.queueOf(0)?.handle(req);
 * ```
 */
export function startCell(options: ExperimentCellOptions): ExperimentCell {
  return options.policy.moves ? startLed(options) : startStatic(options);
}

function startLed(options: ExperimentCellOptions): ExperimentCell {
  const {clock, policy} = options;
  const service: Service = {
    name: SERVICE,
    shards: options.shards,
    cells: 1,
    checksFences: true,
  };
  const store = createStore(options, service);
  let epoch = 0;

  const lead = () => {
    const admission = createAdmission(options);
    epoch++;
    const mine = epoch;
    const leader = startCellLeader({
      service,
      authority: {
        cell: CELL,
        epoch: mine,
        mayAct: () => mine === epoch,
        record: () => Promise.resolve(true),
      },
      inheritance: {table: null, cleared: Promise.resolve()},
      store,
      serverClient: options.servers.client,
      hostWatch: {current: () => []},
      gate: admission,
      loads: admission,
      clock,
      log: createSilentLogger(),
      timing: options.rules.timing,
      createPlanner: policy.hysteresis ? createPlanner : createRestlessPlanner,
      signal: new AbortController().signal,
    });
    admission.lead(leader.led);
    return {leader, admission};
  };

  let current: ReturnType<typeof lead> | null = lead();

  const end = async (): Promise<void> => {
    const ended = current;
    current = null;
    await ended?.admission.stop();
    await ended?.leader.stop();
  };

  return {
    epoch: () => epoch,
    queueOf: entry => current?.admission.queueOf(entry) ?? null,
    owners() {
      const shards = current?.leader.describe().shards ?? [];
      return new Map(
        shards.map(({shard, server, servable}) => [
          shard,
          servable ? server : null,
        ]),
      );
    },
    hotKeys: () => current?.admission.read(CELL).hotKeys ?? [],
    async changeLeader() {
      await end();
      await new Promise<void>(resolve => clock.after(GAP_MS, resolve));
      current = lead();
    },
    stop: end,
  };
}

/** Moves shards whenever a plan gains anything, on whatever evidence. */
function createRestlessPlanner(): Planner {
  return {plan: input => planMoves(input)};
}

/** Rendezvous hashing over the first inventory; nothing ever moves. */
function startStatic(options: ExperimentCellOptions): ExperimentCell {
  const admission = createAdmission(options);
  const refs = options.inventory();
  const homes = new Map<ShardId, ServerRef>();
  for (let i = 0; i < options.shards; i++) {
    homes.set(String(i), homeOf(String(i), refs));
  }
  const isUp = (name: string): boolean => options.servers.get(name).isAlive();
  const locate = (key: string): Location => {
    const shard = shardOfKey(key, options.shards);
    const server = homes.get(shard)!;
    if (!isUp(server.name)) {
      return {kind: 'unowned', shard, reason: `${server.name} is lost`};
    }
    return {
      kind: 'owned',
      shard,
      server,
      fence: {epoch: 1, sequence: 1},
      leaseEnd: Infinity,
      checksFences: true,
      heldUntil: () => Infinity,
      toServerTime: ms => ({boot: '', ms}),
    };
  };
  const led: LedCell = {cell: CELL, epoch: 1, locate, mayAct: () => true};
  admission.lead(led);
  return {
    epoch: () => 1,
    queueOf: admission.queueOf,
    owners: () =>
      new Map(
        [...homes].map(([shard, {name}]) => [shard, isUp(name) ? name : null]),
      ),
    hotKeys: () => admission.read(CELL).hotKeys,
    changeLeader: () => Promise.resolve(),
    stop: admission.stop,
  };
}

function homeOf(shard: ShardId, refs: readonly Server[]): Server {
  return refs.reduce((a, b) =>
    rendezvousWeight(shard, b.name) > rendezvousWeight(shard, a.name) ? b : a,
  );
}

interface Admission extends DispatchGate, LoadSource {
  lead(led: LedCell): void;
  queueOf(entry: number): LeaderQueue | null;
  stop(): Promise<void>;
}

/** One queue at the leader, or one at each entry with a part of the slots. */
function createAdmission(options: ExperimentCellOptions): Admission {
  const {policy, clock, rules, servers} = options;
  const isLeaders = policy.admission === 'leader';
  const all: LeaderQueues[] = [];
  for (let i = 0; i < (isLeaders ? 1 : ENTRIES); i++) {
    all.push(
      createLeaderQueues({
        client: servers.client satisfies Pick<ServerClient, 'send'>,
        rules: () => rules,
        clock,
        createHotKeys: () => createHotKeyMeter(clock),
        policy: {fair: policy.fair, refuseEarly: policy.refuseEarly},
      }),
    );
  }
  return {
    lead(led) {
      for (const queues of all) queues.lead(isLeaders ? led : divide(led));
    },
    queueOf: entry => all[entry % all.length]!.queueOf(CELL),
    async close(cell, shard) {
      await Promise.all(all.map(queues => queues.close(cell, shard)));
    },
    open: (cell, shard) => all.forEach(queues => queues.open(cell, shard)),
    read: cell => mergeLoads(all.map(queues => queues.read(cell))),
    async stop() {
      await Promise.all(all.map(queues => queues.stop(CELL)));
    },
  };
}

/** Each entry may use its part of a server's slots, and one at least. */
function divide(led: LedCell): LedCell {
  return {
    cell: led.cell,
    epoch: led.epoch,
    mayAct: led.mayAct,
    locate(key) {
      const where = led.locate(key);
      if (where.kind !== 'owned') return where;
      const slots = Math.max(1, Math.floor(where.server.slots / ENTRIES));
      return {...where, server: {...where.server, slots}};
    },
  };
}

function mergeLoads(loads: readonly CellLoad[]): CellLoad {
  const shards = new Map<string, CellLoad['shards'][number]>();
  const servers = new Map<string, CellLoad['servers'][number]>();
  for (const load of loads) {
    for (const one of load.shards) {
      const {rate = 0, busy = 0} = shards.get(one.shard) ?? {};
      const sum = {rate: rate + one.rate, busy: busy + one.busy};
      shards.set(one.shard, {shard: one.shard, ...sum});
    }
    for (const one of load.servers) {
      const known = servers.get(one.server);
      if (known === undefined) servers.set(one.server, one);
      else {
        servers.set(one.server, {
          ...one,
          busy: known.busy + one.busy,
          queued: known.queued + one.queued,
          shed: known.shed + one.shed,
        });
      }
    }
  }
  return {
    shards: [...shards.values()],
    servers: [...servers.values()],
    hotKeys: loads.flatMap(({hotKeys}) => hotKeys),
  };
}

/** The state that the platform's log would yield; nothing is appended. */
function createStore(
  options: ExperimentCellOptions,
  service: Service,
): StateStore {
  const {inventory, drains, rules, clock} = options;
  return {
    current: () =>
      ({
        inventory: {places: [], services: [service], servers: inventory()},
        drains,
        rules,
      }) as unknown as ClusterState,
    confirmedAt: () => clock.now(),
    subscribe: () => () => {},
    append: () => Promise.reject(new Error('not simulated')),
    adopt: () => false,
    close: () => Promise.resolve(),
  };
}
