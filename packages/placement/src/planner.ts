import {hasTooMany, isImbalanceSignificant, hasTooFew} from './move-filter.js';
import {
  type ServerLoad,
  type ServerLoads,
  createServerLoads,
} from './server-loads.js';
import type {Move, PlanInput} from './plan.js';
import {planMoves} from './plan-moves.js';

/** Plans moves of one cell repeatedly; keeps state between plans. */
export interface Planner {
  plan(input: PlanInput): readonly Move[];
}

/**
 * Time for which a server must be significantly busier than another before
 * shards move off it. It is three times the averaging time of loads, so that a stall of some
 * seconds has hardly any effect left.
 */
export const SUSTAIN_MS = 30_000;

/** Utilization from which requests to a server wait for a long time. */
const HIGH_UTILIZATION = 0.6;

/** Shards move off a highly utilized server after half of that time. */
const HIGH_UTILIZATION_SUSTAIN_MS = SUSTAIN_MS / 2;

/** Time for which a server must have too few shards before it gets some. */
const TOO_FEW_MS = 5000;

/**
 * Creates the planner for one term of a leader. For balance it moves shards
 * only off a server that was significantly busier in every plan for 30 s (15 s
 * if it is highly utilized), or to a server that had too few shards for 5 s.
 * Forced moves are planned at once. As a result, a short stall of a server
 * moves nothing, and a new leader, whose loads are averaged over hardly any
 * time, waits until they are reliable.
 *
 * @example
 * ```ts
 * const planner = createPlanner();
 * for (const move of planner.plan(input)) await handOver(move);
 * ```
 */
export function createPlanner(): Planner {
  const overloadedSince = new Map<string, number>();
  const tooFewSince = new Map<string, number>();

  const updateConditions = (servers: ServerLoads, now: number): void => {
    const all = [...servers.byName.values()];
    const donors = all.filter(from =>
      all.some(to => isImbalanceSignificant(from, to)),
    );
    const receivers = all.filter(to => hasTooFew(to, servers));
    updateSince(overloadedSince, donors, now);
    updateSince(tooFewSince, receivers, now);
  };

  const lasts = (
    since: ReadonlyMap<string, number>,
    {candidate}: ServerLoad,
    now: number,
    ms: number,
  ): boolean => now - (since.get(candidate.name) ?? Infinity) >= ms;

  return {
    plan(input) {
      const {now} = input;
      const servers = createServerLoads(input);
      updateConditions(servers, now);
      return planMoves(freeExcessShards(input, servers), (from, to, loads) => {
        const ms = requiredSustainMs(from);
        if (
          lasts(overloadedSince, from, now, ms) &&
          isImbalanceSignificant(from, to)
        ) {
          return true;
        }
        return lasts(tooFewSince, to, now, TOO_FEW_MS) && hasTooFew(to, loads);
      });
    },
  };
}

/**
 * Allows shards of a server with too many to move again at once. After all
 * servers were lost together, the first one to return gets every shard. It
 * would keep them for `MIN_STAY_MS` and refuse most requests.
 */
function freeExcessShards(input: PlanInput, servers: ServerLoads): PlanInput {
  const isExcess = (server: string | null): boolean => {
    const load = servers.byName.get(server ?? '');
    return load !== undefined && hasTooMany(load, servers);
  };
  const shards = input.shards.map(shard =>
    isExcess(shard.server) ? {...shard, movedAt: -Infinity} : shard,
  );
  return {...input, shards};
}

function requiredSustainMs({busy, candidate}: ServerLoad): number {
  const isHighlyUtilized = busy >= candidate.capacity * HIGH_UTILIZATION;
  return isHighlyUtilized ? HIGH_UTILIZATION_SUSTAIN_MS : SUSTAIN_MS;
}

/** Tracks since when each server has been in the list without interruption. */
function updateSince(
  since: Map<string, number>,
  servers: readonly ServerLoad[],
  now: number,
): void {
  const names = new Set(servers.map(({candidate}) => candidate.name));
  for (const name of since.keys()) if (!names.has(name)) since.delete(name);
  for (const name of names) if (!since.has(name)) since.set(name, now);
}
