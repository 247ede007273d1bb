import type {ShardId} from '@banyandrum/base/ids.js';
import type {ServerQueue} from './server-queue.js';
import type {ShardGate} from './shard-gate.js';

/** What waits and runs at one server. */
export interface ServerSnapshot {
  readonly server: string;
  readonly inFlight: number;
  /** Most that may be in flight now. */
  readonly window: number;
  readonly queued: number;
  readonly queuedBytes: number;
  /** Mean service time in ms; 0 before the first answer. */
  readonly serviceMs: number;
}

/** What waits for one shard to arrive somewhere. */
export interface ShardSnapshot {
  readonly shard: ShardId;
  readonly closed: boolean;
  readonly queued: number;
}

/** One cell's queue at this moment, for operators. */
export interface QueueSnapshot {
  readonly servers: readonly ServerSnapshot[];
  /** Only those that are closed or waited for. */
  readonly shards: readonly ShardSnapshot[];
  /** Requests that wait for the key asked about, else 0. */
  readonly queuedForKey: number;
}

/** Describes a cell's queue; takes time in proportion to what waits. */
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
