import {hasTooMany, isImbalanceSignificant, hasTooFew} from './calm.js';
import {type ServerLoad, type ServerLoads, createServerLoads} from './carriers.js';
import type {Move, PlanInput} from './plan.js';
import {planMoves} from './plan-moves.js';

/** Plans one cell's moves again and again, and remembers what it saw. */
export interface Planner {
  plan(input: PlanInput): readonly Move[];
}

/**
 * How long a server must be clearly busier before it gives shards away: three
 * times as long as loads are averaged over, so that hardly anything is left
 * of what a server's standing still for some seconds added.
 */
export const SUSTAIN_MS = 30_000;

/** From this share of its capacity on, a server's requests wait for long. */
const HIGH_UTILIZATION = 0.6;

/** A server that is nearly full gives shards away after half that time. */
const HIGH_UTILIZATION_SUSTAIN_MS = SUSTAIN_MS / 2;

/** How long a server must be short of shards before it gets some. */
const TOO_FEW_MS = 5000;

/**
 * Makes the planner of one leadership. For balance it moves shards only off
 * a server that was clearly busier in every plan for 30 s
 * (15 s where it is nearly full), or to one that
 * was short of shards for 5 s; what has to move, moves at once. A short
 * stall of a server thus moves nothing. A new leader has a new planner and
 * loads averaged over hardly any time: it waits until it knows.
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

  const updateConditions = (carriers: ServerLoads, now: number): void => {
    const all = [...carriers.byName.values()];
    const donors = all.filter(from => all.some(to => isImbalanceSignificant(from, to)));
    const receivers = all.filter(to => hasTooFew(to, carriers));
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
      const carriers = createServerLoads(input);
      updateConditions(carriers, now);
      return planMoves(freeExcessShards(input, carriers), (from, to, carriers) => {
        const ms = requiredSustainMs(from);
        if (lasts(overloadedSince, from, now, ms) && isImbalanceSignificant(from, to)) {
          return true;
        }
        return lasts(tooFewSince, to, now, TOO_FEW_MS) && hasTooFew(to, carriers);
      });
    },
  };
}

/**
 * Lets shards of a crowded server move again at once. After all servers were
 * lost together the first to come back gets every shard, and would keep them
 * for as long as moved shards stay, refusing most of what is asked.
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
  const isFull = busy >= candidate.capacity * HIGH_UTILIZATION;
  return isFull ? HIGH_UTILIZATION_SUSTAIN_MS : SUSTAIN_MS;
}

/** Keeps since when each has been so, without a break. */
function updateSince(
  since: Map<string, number>,
  servers: readonly ServerLoad[],
  now: number,
): void {
  const names = new Set(servers.map(({candidate}) => candidate.name));
  for (const name of since.keys()) if (!names.has(name)) since.delete(name);
  for (const name of names) if (!since.has(name)) since.set(name, now);
}
