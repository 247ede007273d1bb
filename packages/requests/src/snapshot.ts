import type {ShardId} from '@banyandrum/base/ids.js';
import type {ServerQueue} from './server-queue.js';
import type {ShardGate} from './shard-gate.js';

/** Requests that wait for one server and run there. */
export interface ServerSnapshot {
  readonly server: string;
  readonly inFlight: number;
  /** Maximum number in flight at present. */
  readonly window: number;
  readonly queued: number;
  readonly queuedBytes: number;
  /** Mean service time in ms; 0 before the first answer. */
  readonly serviceMs: number;
}

/** Requests that wait for one shard. */
export interface ShardSnapshot {
  readonly shard: ShardId;
  readonly closed: boolean;
  readonly queued: number;
}

/** Present state of one cell's queue, for operators. */
export interface QueueSnapshot {
  readonly servers: readonly ServerSnapshot[];
  /** Only shards that are closed or have waiting requests. */
  readonly shards: readonly ShardSnapshot[];
  /** Requests that wait for the requested key; 0 without one. */
  readonly queuedForKey: number;
}

/** Describes a cell's queue, in time linear in the waiting requests. */
export function snapshotOf(
  servers: readonly ServerQueue[],
  gates: readonly ShardGate[],
  key: string | undefined,
): QueueSnapshot {
  return {
    servers: servers.map(describeServer),
    shards: gates.filter(isWaitedFor).map(describeShard),
    queuedForKey: key === undefined ? 0 : countKey(servers, gates, key),
  };
}

function describeServer(server: ServerQueue): ServerSnapshot {
  const {slots, waiting} = server;
  return {
    server: server.name,
    inFlight: slots.inFlight(),
    window: slots.window(),
    queued: waiting.size(),
    queuedBytes: waiting.bytes(),
    serviceMs: server.meanMs(),
  };
}

function isWaitedFor({closed, waiting}: ShardGate): boolean {
  return closed || waiting.size() > 0;
}

function describeShard({shard, closed, waiting}: ShardGate): ShardSnapshot {
  return {shard, closed, queued: waiting.size()};
}

function countKey(
  servers: readonly ServerQueue[],
  gates: readonly ShardGate[],
  key: string,
): number {
  let count = 0;
  for (const {waiting} of [...servers, ...gates]) {
    for (const pending of waiting.items()) if (pending.key === key) count++;
  }
  return count;
}
