import type {CancelSignal} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Failure, FailureCode} from '@banyandrum/base/failure.js';
import type {LedCell, Owned} from '@banyandrum/ownership/led-cell.js';
import type {Dispatch} from '@banyandrum/servers/client.js';
import type {Pending} from './pending.js';
import type {ShardGate} from './shard-gate.js';

export interface DispatchOptions {
  readonly led: LedCell;
  readonly pending: Pending;
  readonly where: Owned;
  readonly gate: ShardGate;
}

/** A dispatch that records the result of `mayWrite`. */
export interface TrackedDispatch extends Dispatch {
  /** Whether it was allowed, so the request may have been written. */
  written: boolean;
  /** Whether it was denied the last time. */
  held: boolean;
}

/**
 * Why a request that certainly didn't run returns to the queue.
 *
 * - `held`: this leader didn't allow sending it.
 * - `shed`: the server has no capacity at present.
 * - `away`: the server can't be reached, or doesn't own the shard (yet).
 */
export type ReturnReason = 'held' | 'shed' | 'away';

/**
 * Maximum number of retries after `fenced`. The server may have restarted and
 * get its next lease soon. Otherwise another leader's fence is in effect, and
 * only the entry can find that leader.
 */
const MAX_FENCED = 4;

const REASONS: Readonly<Partial<Record<FailureCode, ReturnReason>>> = {
  overloaded: 'shed',
  refused: 'shed',
  fenced: 'away',
  'connection-lost': 'away',
};

/**
 * Creates the dispatch of a request to its owner; `signal` aborts it. It must
 * arrive before the lease ends. A server that checks fences stops the request
 * when it loses the shard, so the caller's deadline applies. Other servers only
 * respect deadlines: there the deadline is limited to the end of the lease, so
 * that the server runs no request after it may have lost the shard.
 *
 * @example
 * ```ts
 * const dispatch = createDispatch({led, pending, where, gate}, ended, clock);
 * const outcome = await client.send(where.server, dispatch);
 * ```
 */
export function createDispatch(
  flight: DispatchOptions,
  signal: CancelSignal,
  clock: Clock,
): TrackedDispatch {
  const {led, pending, where, gate} = flight;
  const {req} = pending;
  const startBy = Math.min(req.deadline, where.leaseEnd);
  const deadline = where.checksFences ? req.deadline : startBy;
  const dispatch: TrackedDispatch = {
    req: {...req, deadline, signal},
    cell: led.cell,
    shard: where.shard,
    fence: where.fence,
    serverDeadline: where.toServerTime(deadline),
    serverStartBy: where.toServerTime(startBy),
    written: false,
    held: false,
    mayWrite() {
      // A process that was suspended before this point may have lost its
      // authority, and its successor may have moved the shard.
      const may = led.mayAct() && clock.now() < startBy && !gate.closed;
      if (may) dispatch.written = true;
      dispatch.held = !may;
      return may;
    },
  };
  return dispatch;
}

/** Why the failed request returns to the queue; null if it doesn't. */
export function returnReason(
  failed: Failure,
  dispatch: TrackedDispatch,
  pending: Pending,
): ReturnReason | null {
  if (failed.verdict !== 'not-run' || !pending.isWhole()) return null;
  if (dispatch.held) return 'held';
  if (failed.code === 'fenced' && ++pending.fenced > MAX_FENCED) return null;
  return REASONS[failed.code] ?? null;
}
