import type {CellId} from '@banyandrum/base/ids.js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Limits} from '@banyandrum/config/rules.js';
import type {
  CellLoad,
  DispatchGate,
  LedCell,
  LoadSource,
} from '@banyandrum/ownership/led-cell.js';
import type {ServerClient} from '@banyandrum/servers/client.js';
import {createDeadlineWheel} from './deadline.js';
import {createCellQueue, type CellQueue, type LeaderQueue} from './queue.js';

export interface LeaderQueuesOptions {
  readonly client: Pick<ServerClient, 'send'>;
  readonly limits: () => Limits;
  readonly clock: Clock;
}

/** The admission of all cells that this process leads. */
export interface LeaderQueues extends DispatchGate, LoadSource {
  /** Starts a cell's admission, or goes on with it under a new epoch. */
  lead(led: LedCell): LeaderQueue;
  /**
   * Refuses what waits with `moved` and lets what is in flight finish;
   * resolves when nothing is in flight any more.
   */
  stop(cell: CellId): Promise<void>;
  /** The queue of a cell that this process leads now, else null. */
  queueOf(cell: CellId): LeaderQueue | null;
}

interface Led {
  readonly queue: CellQueue;
  active: boolean;
}

const NO_LOAD: CellLoad = {shards: [], servers: [], hotKeys: []};

/**
 * Makes the admission for whatever cells this process comes to lead.
 *
 * @example
 * ```ts
 * const queues = createLeaderQueues({client, limits, clock});
 * queues.lead(led);
 * const result = await queues.queueOf('holds/0')?.handle(req);
 * ```
 */
export function createLeaderQueues(options: LeaderQueuesOptions): LeaderQueues {
  const wheel = createDeadlineWheel(options.clock);
  const cells = new Map<CellId, Led>();
  return {
    lead(led) {
      const known = cells.get(led.cell);
      if (known !== undefined) {
        known.queue.adopt(led);
        known.active = true;
        return known.queue;
      }
      const queue = createCellQueue(led, {...options, wheel});
      cells.set(led.cell, {queue, active: true});
      return queue;
    },
    async stop(cell) {
      const known = cells.get(cell);
      if (known === undefined) return;
      known.active = false;
      await known.queue.stop();
      if (!known.active) cells.delete(cell);
    },
    queueOf(cell) {
      const known = cells.get(cell);
      return known?.active ? known.queue : null;
    },
    async close(cell, shard) {
      await cells.get(cell)?.queue.close(shard);
    },
    open(cell, shard) {
      cells.get(cell)?.queue.open(shard);
    },
    read: () => NO_LOAD,
  };
}
