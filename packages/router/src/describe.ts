import {cellOfKey} from '@banyandrum/base/hash.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {versionOf} from '@banyandrum/config/fold.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {
  CellStatus,
  ExplainMessage,
} from '@banyandrum/operators/messages.js';
import type {
  CellDescription,
  ServerDescription,
  ShardDescription,
} from '@banyandrum/ownership/cell-leader.js';
import type {Ownership} from '@banyandrum/ownership/run-ownership.js';
import type {LeaderQueues} from '@banyandrum/requests/leader-queues.js';
import type {Cells} from './cells.js';
import type {Described} from './control.js';
import type {ServiceLookup} from './topology.js';

export interface DescriberOptions {
  readonly self: Incarnation;
  readonly store: StateStore;
  readonly cells: Cells;
  readonly queues: LeaderQueues;
  readonly serviceOf: ServiceLookup;
  readonly ownership: () => Ownership | null;
}

/** Tells operators what this process knows and leads. */
export interface Describer {
  describe(): Described;
  /** Null where the service is unknown. */
  explain(service: string, key: string): ExplainMessage | null;
}

/**
 * Makes the describer of this process.
 *
 * @example
 * ```ts
 * const {cells, version} = createDescriber(options).describe();
 * ```
 */
export function createDescriber(options: DescriberOptions): Describer {
  const {store, cells} = options;
  return {
    describe: () => ({
      version: versionOf(store.current()),
      cells: cells.describe().map(cell => describeCell(options, cell)),
    }),
    explain: (service, key) => explain(options, service, key),
  };
}

function describeCell(
  {store, queues}: DescriberOptions,
  description: CellDescription,
): CellStatus {
  const {cell, epoch, shards, servers} = description;
  const state = store.current();
  const view = state.views.get(cell);
  const load = queues.read(cell);
  const describeServer = (entry: ServerDescription) => {
    const seen = load.servers.find(other => other.server === entry.server);
    return {
      server: entry.server,
      state: entry.leaving ?? entry.health,
      inFlight: Math.round(seen?.busy ?? 0),
      queued: seen?.queued ?? 0,
      draining: state.drains.has(entry.server),
    };
  };
  return {
    cell,
    epoch,
    leader: view?.leader.host ?? null,
    standby: view?.standby?.host ?? null,
    shards: shards.map(toShardStatus),
    servers: servers.map(describeServer),
  };
}

function toShardStatus(entry: ShardDescription): CellStatus['shards'][number] {
  return {
    shard: entry.shard,
    owner: entry.servable ? entry.server : null,
    state: entry.state,
  };
}

function explain(
  options: DescriberOptions,
  service: string,
  key: string,
): ExplainMessage | null {
  const found = options.serviceOf(service);
  if (found === null) return null;
  const cell = cellOfKey(service, key, found.shards, found.cells);
  const view = options.store.current().views.get(cell);
  const location = options.ownership()?.ledCell(cell)?.locate(key) ?? null;
  const described = options.cells.describe().find(led => led.cell === cell);
  const shard = described?.shards.find(led => led.shard === location?.shard);
  const owner = location?.kind === 'owned' ? location.server.name : null;
  return {
    service,
    key,
    cell,
    shard: location?.shard ?? null,
    epoch: view?.epoch ?? 0,
    leader: view?.leader.host ?? null,
    standby: view?.standby?.host ?? null,
    owner,
    steps: [
      ...listSteps(options, cell, location, shard),
      ...listWaiting(options, cell, key, owner),
    ],
  };
}

/** What waits for the key, and what would move its shard. */
function listWaiting(
  {queues, store}: DescriberOptions,
  cell: string,
  key: string,
  owner: string | null,
): readonly string[] {
  const snapshot = queues.queueOf(cell)?.snapshot(key);
  if (snapshot === undefined) return [];
  const steps = [`${snapshot.queuedForKey} requests wait for this key`];
  const server = snapshot.servers.find(entry => entry.server === owner);
  if (server !== undefined) {
    const {inFlight, window, queued} = server;
    steps.push(
      `${owner}: ${inFlight} of ${window} slots in use, ${queued} waiting`,
    );
  }
  const {imbalance, churn, unavailable} = store.current().rules.weights;
  steps.push(
    'it moves when its server leaves, is drained or lost, or when a lasting ' +
      `imbalance outweighs the move (weights: imbalance ${imbalance}, ` +
      `churn ${churn}, unavailable time ${unavailable})`,
  );
  return steps;
}

function listSteps(
  {queues, self}: DescriberOptions,
  cell: string,
  location: {readonly kind: string; readonly shard: string} | null,
  shard: ShardDescription | undefined,
): readonly string[] {
  if (location === null) return [`${self.host} does not lead ${cell}`];
  const load = queues
    .read(cell)
    .shards.find(entry => entry.shard === location.shard);
  const steps = [`shard ${location.shard} is ${location.kind}`];
  if (shard !== undefined) {
    const since =
      shard.movedAgoMs === null
        ? 'since this leader began'
        : `for ${Math.round(shard.movedAgoMs)} ms`;
    steps.push(`${shard.state} by ${shard.server ?? 'nobody'} ${since}`);
    steps.push(`because: ${shard.reason}`);
  }
  if (load !== undefined) {
    const rate = load.rate.toFixed(1);
    steps.push(`${rate} requests/s keep ${load.busy.toFixed(2)} slots busy`);
  }
  return steps;
}
