import type {CellId} from '@banyandrum/base/ids.js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Rules} from '@banyandrum/config/rules.js';
import type {
  CellLoad,
  DispatchGate,
  LedCell,
  LoadSource,
} from '@banyandrum/ownership/led-cell.js';
import type {ServerClient} from '@banyandrum/servers/client.js';
import {createDeadlineWheel} from './deadline.js';
import type {HotKeyMeter} from './load-meter.js';
import {
  createCellQueue,
  type CellQueue,
  type LeaderQueue,
  type QueuePolicy,
} from './queue.js';

export interface LeaderQueuesOptions {
  readonly client: Pick<ServerClient, 'send'>;
  readonly rules: () => Pick<Rules, 'limits' | 'precedence' | 'timing'>;
  readonly clock: Clock;
  /** Creates the meter of one cell's keys; without it no key is hot. */
  readonly createHotKeys?: () => HotKeyMeter;
  readonly policy?: Partial<QueuePolicy>;
}

/** The queues of all cells that this process leads. */
export interface LeaderQueues extends DispatchGate, LoadSource {
  /** Starts a cell's queue, or continues it under a new epoch. */
  lead(led: LedCell): LeaderQueue;
  /**
   * Refuses waiting requests with `moved`. Resolves when the requests in flight
   * have ended.
   */
  stop(cell: CellId): Promise<void>;
  /** The queue of a cell if this process leads it now, else null. */
  queueOf(cell: CellId): LeaderQueue | null;
}

interface Led {
  readonly queue: CellQueue;
  active: boolean;
}

const FULL_POLICY: QueuePolicy = {fair: true, refuseEarly: true};

const NO_LOAD: CellLoad = {shards: [], servers: [], hotKeys: []};

/**
 * Creates the queues of the cells that this process will lead.
 *
 * @example
 * ```ts
 * const queues = createLeaderQueues({client, rules, clock});
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
      const queue = createCellQueue(led, {
        ...options,
        wheel,
        hotKeys: options.createHotKeys?.() ?? null,
        policy: {...FULL_POLICY, ...options.policy},
      });
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
    async close(cell, shard, wait) {
      await cells.get(cell)?.queue.close(shard, wait);
    },
    open(cell, shard) {
      cells.get(cell)?.queue.open(shard);
    },
    read: cell => cells.get(cell)?.queue.load() ?? NO_LOAD,
  };
}
