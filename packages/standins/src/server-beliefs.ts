import type {CellId, Fence, ShardId} from '@banyandrum/base/ids.js';

/** A time during which a server believed that it owned shards. */
export interface Belief {
  readonly server: string;
  readonly cell: CellId;
  readonly fence: Fence;
  readonly shards: readonly ShardId[];
  /** On the injected clock, which all stand-ins of a process share, in ms. */
  readonly fromMs: number;
  /** The lease's end, or when another order or the server's end cut it. */
  readonly untilMs: number;
}

/** Everything that a server ever believed to own, for checkers. */
export interface BeliefRecord {
  /** An order was obeyed; it ends what was believed for the cell before. */
  begin(belief: Omit<Belief, 'server' | 'fromMs'>): void;
  /** The server's process ended. */
  endAll(): void;
  list(): readonly Belief[];
}

/**
 * Makes an empty record. Renewals of the same shards extend one entry.
 *
 * @example
 * ```ts
 * const beliefs = createBeliefRecord('holds-1', () => clock.now());
 * beliefs.begin({cell, fence, shards, untilMs: clock.now() + 2000});
 * ```
 */
export function createBeliefRecord(
  server: string,
  now: () => number,
): BeliefRecord {
  const done: Belief[] = [];
  const current = new Map<CellId, Belief>();

  const end = (belief: Belief): void => {
    const untilMs = Math.min(belief.untilMs, now());
    if (belief.shards.length > 0) done.push({...belief, untilMs});
  };
  return {
    begin(belief) {
      const fromMs = now();
      const known = current.get(belief.cell);
      const begun = {server, ...belief, fromMs};
      if (known === undefined) {
        current.set(belief.cell, begun);
        return;
      }
      if (isRenewal(known, begun)) {
        current.set(belief.cell, {...begun, fromMs: known.fromMs});
        return;
      }
      end(known);
      current.set(belief.cell, begun);
    },
    endAll() {
      for (const belief of current.values()) end(belief);
      current.clear();
    },
    list: () => [...done, ...current.values()],
  };
}

function isRenewal(known: Belief, next: Belief): boolean {
  if (known.untilMs < next.fromMs) return false;
  const {epoch, sequence} = known.fence;
  return epoch === next.fence.epoch && sequence === next.fence.sequence;
}
