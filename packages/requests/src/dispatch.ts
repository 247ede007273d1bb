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

/** A dispatch that remembers what `mayWrite` said. */
export interface TrackedDispatch extends Dispatch {
  /** It was let through, so it may have been written. */
  written: boolean;
  /** It was held back when it was last asked about. */
  held: boolean;
}

/**
 * Why a request that was proved not to have run goes back into the queue.
 *
 * - `held`: this leader held it back itself.
 * - `shed`: the server has no capacity for it now.
 * - `away`: the server can't be reached, or doesn't own the shard (yet).
 */
export type ReturnReason = 'held' | 'shed' | 'away';

/** Times that a request is sent again after `fenced`, before it is passed on:
 * the server may just have restarted, and its next lease order is on the way;
 * or another leader's fence is in force, which only the entry can follow. */
const MAX_FENCED = 4;

const REASONS: Readonly<Partial<Record<FailureCode, ReturnReason>>> = {
  overloaded: 'shed',
  refused: 'shed',
  fenced: 'away',
  'connection-lost': 'away',
};

/**
 * Makes the order to send a request to its owner; `signal` ends it. It has
 * to arrive within the lease in force. A server that checks fences stops it
 * when it loses the shard, so the caller's own deadline holds there. Another
 * server honours nothing but deadlines: there the deadline ends with the
 * lease, so that the server never runs a request after it may have lost the
 * shard.
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
      // A process that was paused here has no authority any more, and its
      // successor may have given the shard away: nothing may be written.
      const may = led.mayAct() && clock.now() < startBy && !gate.closed;
      if (may) dispatch.written = true;
      dispatch.held = !may;
      return may;
    },
  };
  return dispatch;
}

/** Why the failed request goes back, or null where its failure is final. */
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
