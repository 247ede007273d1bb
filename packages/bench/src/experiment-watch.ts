import type {Clock} from '@banyandrum/base/clock.js';
import {shardOfKey} from '@banyandrum/base/hash.js';
import type {ShardId} from '@banyandrum/base/ids.js';
import type {ExperimentCell} from './experiment-cell.js';
import type {Moment} from './experiment-figures.js';
import type {SimulatedServers} from './experiment-servers.js';

export interface WatchOptions {
  readonly clock: Clock;
  readonly cell: ExperimentCell;
  readonly servers: SimulatedServers;
  readonly shards: number;
  /** All keys that callers ask for. */
  readonly keys: readonly string[];
  readonly warmUpMs: number;
  readonly untilMs: number;
  /** Useful answers so far. */
  readonly useful: () => number;
}

/** What is seen of placement during a run. */
export interface Watch {
  readonly shardMoves: () => number;
  readonly keyMoves: () => number;
  readonly unavailableMs: () => number;
  readonly timeline: readonly Moment[];
  /** Imbalance of each whole period. */
  readonly imbalances: readonly number[];
}

const SAMPLE_MS = 50;
const SECOND_MS = 1000;
const PERIOD_MS = 10_000;

/**
 * Watches owners and servers until the run ends; what happens during the
 * warm-up is only in the timeline.
 *
 * @example
 * ```ts
 * const watch = startWatch(options);
 * await clock.run(60_000);
 * watch.shardMoves();
 * ```
 */
export function startWatch(options: WatchOptions): Watch {
  const {clock, cell, servers, warmUpMs, untilMs} = options;
  const keysOf = countKeys(options);
  const last = new Map<ShardId, string>();
  const timeline: Moment[] = [];
  const imbalances: number[] = [];
  const second = createBusyMeter(servers);
  const period = createBusyMeter(servers);
  let shardMoves = 0;
  let keyMoves = 0;
  let movesThisSecond = 0;
  let unavailableMs = 0;
  let usefulBefore = 0;

  const noteMove = (shard: ShardId): void => {
    movesThisSecond++;
    if (clock.now() <= warmUpMs) return;
    shardMoves++;
    keyMoves += keysOf.get(shard) ?? 1;
  };

  const look = (): void => {
    for (const [shard, server] of cell.owners()) {
      if (server === null) {
        if (clock.now() > warmUpMs) unavailableMs += SAMPLE_MS;
        continue;
      }
      const before = last.get(shard);
      if (before !== undefined && before !== server) noteMove(shard);
      last.set(shard, server);
    }
  };

  const endSecond = (): void => {
    const useful = options.useful();
    timeline.push({
      second: Math.round(clock.now() / SECOND_MS),
      useful: useful - usefulBefore,
      imbalance: second.imbalance(),
      shardMoves: movesThisSecond,
    });
    usefulBefore = useful;
    movesThisSecond = 0;
  };

  const endPeriod = (): void => {
    const imbalance = period.imbalance();
    if (clock.now() - PERIOD_MS >= warmUpMs) imbalances.push(imbalance);
  };

  every(clock, SAMPLE_MS, untilMs, look);
  every(clock, SECOND_MS, untilMs, endSecond);
  every(clock, PERIOD_MS, untilMs, endPeriod);
  return {
    shardMoves: () => shardMoves,
    keyMoves: () => keyMoves,
    unavailableMs: () => unavailableMs,
    timeline,
    imbalances,
  };
}

function every(
  clock: Clock,
  ms: number,
  untilMs: number,
  task: () => void,
): void {
  const turn = (): void => {
    task();
    if (clock.now() + ms <= untilMs) clock.after(ms, turn);
  };
  clock.after(ms, turn);
}

function countKeys({keys, shards}: WatchOptions): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const key of keys) {
    const shard = shardOfKey(key, shards);
    counts.set(shard, (counts.get(shard) ?? 0) + 1);
  }
  return counts;
}

/** Busiest server by the mean of all, since it was last asked. */
function createBusyMeter(servers: SimulatedServers): {
  imbalance(): number;
} {
  const before = new Map<string, number>();
  return {
    imbalance() {
      let sum = 0;
      let most = 0;
      let count = 0;
      for (const server of servers.all()) {
        const total = server.busyMs();
        const busy = total - (before.get(server.name) ?? 0);
        before.set(server.name, total);
        if (!server.isAlive()) continue;
        sum += busy;
        most = Math.max(most, busy);
        count++;
      }
      return sum > 0 ? (most * count) / sum : 1;
    },
  };
}
