import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {CellId} from '@banyandrum/base/ids.js';
import type {CellDescription} from '@banyandrum/ownership/cell-leader.js';
import {Counter, type Registry} from 'prom-client';
import type {Cells} from './cells.js';

const LOOK_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Who owned each shard of a cell, when it was last looked at. */
type Owners = ReadonlyMap<string, string | null>;

/**
 * Counts, for the cells that this process leads, shards that changed their
 * owner (churn) and the time that shards were not served, by looking once a
 * second until the signal aborts. What comes and goes between two looks is
 * missed; a change of the leader starts anew.
 *
 * @example
 * ```ts
 * void runOwnershipMeter(registry, cells, clock, signal);
 * ```
 */
export async function runOwnershipMeter(
  registry: Registry,
  cells: Cells,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  const moves = new Counter({
    name: 'banyandrum_cell_shard_moves_total',
    help: 'Shards that changed their owner.',
    labelNames: ['cell'],
    registers: [registry],
  });
  const unserved = new Counter({
    name: 'banyandrum_cell_unserved_shard_seconds_total',
    help: 'Seconds during which shards were not served, summed over shards.',
    labelNames: ['cell'],
    registers: [registry],
  });
  let known = new Map<CellId, Owners>();
  while (!signal.aborted) {
    await sleep(clock, LOOK_MS, signal);
    const next = new Map<CellId, Owners>();
    for (const described of cells.describe()) {
      const {cell} = described;
      const owners = ownersOf(described, known.get(cell));
      moves.inc({cell}, countMoves(known.get(cell), owners));
      const missing = described.shards.filter(({servable}) => !servable);
      unserved.inc({cell}, (missing.length * LOOK_MS) / MS_PER_SECOND);
      next.set(cell, owners);
    }
    known = next;
  }
}

/** An owner that lost its shard stays the last one until there is another. */
function ownersOf(
  {shards}: CellDescription,
  before: Owners | undefined,
): Owners {
  return new Map(
    shards.map(({shard, server, servable}) => [
      shard,
      servable ? server : (before?.get(shard) ?? null),
    ]),
  );
}

function countMoves(before: Owners | undefined, now: Owners): number {
  if (before === undefined) return 0;
  let moves = 0;
  for (const [shard, owner] of now) {
    const old = before.get(shard) ?? null;
    if (old !== null && owner !== old) moves++;
  }
  return moves;
}
