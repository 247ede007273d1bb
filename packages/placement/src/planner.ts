import {hasTooMany, isLoadClear, isShort} from './calm.js';
import {type Carrier, type Carriers, createCarriers} from './carriers.js';
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
const FULL_SHARE = 0.6;

/** A server that is nearly full gives shards away after half that time. */
const FULL_SUSTAIN_MS = SUSTAIN_MS / 2;

/** How long a server must be short of shards before it gets some. */
const SHORT_MS = 5000;

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
  const busySince = new Map<string, number>();
  const shortSince = new Map<string, number>();

  const note = (carriers: Carriers, now: number): void => {
    const all = [...carriers.byName.values()];
    const givers = all.filter(from => all.some(to => isLoadClear(from, to)));
    const receivers = all.filter(to => isShort(to, carriers));
    keepOnly(busySince, givers, now);
    keepOnly(shortSince, receivers, now);
  };

  const lasts = (
    since: ReadonlyMap<string, number>,
    {candidate}: Carrier,
    now: number,
    ms: number,
  ): boolean => now - (since.get(candidate.name) ?? Infinity) >= ms;

  return {
    plan(input) {
      const {now} = input;
      const carriers = createCarriers(input);
      note(carriers, now);
      return planMoves(freeCrowded(input, carriers), (from, to, carriers) => {
        const ms = sustainMs(from);
        if (lasts(busySince, from, now, ms) && isLoadClear(from, to)) {
          return true;
        }
        return lasts(shortSince, to, now, SHORT_MS) && isShort(to, carriers);
      });
    },
  };
}

/**
 * Lets shards of a crowded server move again at once. After all servers were
 * lost together the first to come back gets every shard, and would keep them
 * for as long as moved shards stay, refusing most of what is asked.
 */
function freeCrowded(input: PlanInput, carriers: Carriers): PlanInput {
  const isCrowded = (server: string | null): boolean => {
    const carrier = carriers.byName.get(server ?? '');
    return carrier !== undefined && hasTooMany(carrier, carriers);
  };
  const shards = input.shards.map(shard =>
    isCrowded(shard.server) ? {...shard, movedAt: -Infinity} : shard,
  );
  return {...input, shards};
}

function sustainMs({busy, candidate}: Carrier): number {
  const isFull = busy >= candidate.capacity * FULL_SHARE;
  return isFull ? FULL_SUSTAIN_MS : SUSTAIN_MS;
}

/** Keeps since when each has been so, without a break. */
function keepOnly(
  since: Map<string, number>,
  carriers: readonly Carrier[],
  now: number,
): void {
  const names = new Set(carriers.map(({candidate}) => candidate.name));
  for (const name of since.keys()) if (!names.has(name)) since.delete(name);
  for (const name of names) if (!since.has(name)) since.set(name, now);
}
