import type {Clock} from '@banyandrum/base/clock.js';
import type {CellId} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {Service} from '@banyandrum/config/inventory.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {Host} from '@banyandrum/hosts/client.js';
import type {HostWatch} from '@banyandrum/hosts/watch.js';
import {
  startCellLeader,
  type CellDescription,
  type CellLeader,
} from '@banyandrum/ownership/cell-leader.js';
import type {
  RunningCell,
  StartCellOptions,
} from '@banyandrum/ownership/leadership.js';
import type {LeaderQueues} from '@banyandrum/requests/leader-queues.js';
import type {ServerClient} from '@banyandrum/servers/client.js';

export interface CellsOptions {
  readonly store: StateStore;
  readonly serverClient: ServerClient;
  readonly hostWatch: HostWatch;
  readonly queues: LeaderQueues;
  readonly clock: Clock;
  readonly log: Logger;
}

/** The cells that this process leads: ownership and admission together. */
export interface Cells {
  /** Leads a cell for one epoch; fits `OwnershipOptions.startCell`. */
  start(options: StartCellOptions): RunningCell;
  /** Describes every cell that is led now. */
  describe(): readonly CellDescription[];
}

/**
 * Joins the two halves of leading a cell: whoever owns the shards, and the
 * queue of requests for them.
 *
 * @example
 * ```ts
 * const cells = createCells({store, serverClient, hostWatch, queues, ...});
 * const ownership = createOwnership({..., startCell: cells.start});
 * ```
 */
export function createCells(options: CellsOptions): Cells {
  const {store, queues} = options;
  const leaders = new Map<CellId, CellLeader>();
  return {
    start(started) {
      const {cell} = started;
      const service = serviceOf(store, cell);
      const leader = startCellLeader({
        ...options,
        ...started,
        service,
        hostWatch: listedHosts(options.hostWatch),
        gate: queues,
        loads: queues,
        timing: store.current().rules.timing,
      });
      leaders.set(cell, leader);
      queues.lead(leader.led);
      return {
        led: leader.led,
        async stop() {
          // The right to act has ended: whoever waits is sent on at once, and
          // requests in flight go on under the lease, which the successor
          // renews as soon as it has the table. Waiting for them here would
          // leave the cell without a leader, and cut the longer ones.
          void queues.stop(cell);
          if (leaders.get(cell) === leader) leaders.delete(cell);
          return leader.stop();
        },
      };
    },
    describe: () => [...leaders.values()].map(leader => leader.describe()),
  };
}

/** Before the first list no server is known to be leaving. */
function listedHosts(watch: HostWatch): {current(): readonly Host[]} {
  return {current: () => watch.current() ?? []};
}

function serviceOf(store: StateStore, cell: CellId): Service {
  const name = cell.slice(0, cell.lastIndexOf('/'));
  const found = store
    .current()
    .inventory.services.find(service => service.name === name);
  if (found === undefined) throw new Error(`no service for cell ${cell}`);
  return found;
}
