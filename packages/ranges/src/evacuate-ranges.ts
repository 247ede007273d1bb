import {
  runningKeysOf,
  type LeaderState,
  type ListedServer,
} from './leader-state.js';
import {moveRange} from './move-range.js';
import {isSettled, type RangeLease} from './range-lease.js';
import {mayMoveAtOnce, splitLease} from './split-lease.js';
import type {KeyRange} from './table.js';

/**
 * How long a key in an evacuated data centre waits for a moment at which none of
 * its requests runs, in ms. Keys that move have no server until those have
 * ended.
 */
const MAX_IDLE_WAIT_MS = 1_500;

/** Progress of the moves out of evacuated data centres. */
export interface EvacuationMoves {
  /**
   * Starts those moves that are due, of the busiest ranges first; called at
   * short intervals. Keys with running requests are split off and move later.
   */
  run(leader: LeaderState, servers: readonly ListedServer[]): void;
}

/**
 * Creates the moves of one service's ranges.
 *
 * @example
 * ```ts
 * const evacuationMoves = createEvacuationMoves();
 * evacuationMoves.run(leader, leader.servers());
 * ```
 */
export function createEvacuationMoves(): EvacuationMoves {
  /** Monotonic time of the first move, in ms; null while nothing must move. */
  let startedAt: number | null = null;
  return {
    run(leader, servers) {
      const now = leader.clock.now();
      const leases = leasesInEvacuated(leader, servers);
      if (leases.length === 0) {
        if (startedAt !== null)
          leader.emit('keys-evacuated', {tookMs: Math.round(now - startedAt)});
        startedAt = null;
        return;
      }
      // Without another server, the keys would only lose the one that they have.
      if (!servers.some(({isOpen}) => isOpen)) return;
      startedAt ??= now;
      const movable = leases.filter(lease => isSettled(lease, now));
      const isOverdue = now - startedAt >= MAX_IDLE_WAIT_MS;
      for (const lease of byLoad(leader, movable)) {
        const running = isOverdue
          ? []
          : runningKeysOf(leader, lease.assignment);
        if (running.length === 0) void moveRange(leader, lease, 'evacuated');
        else if (lease.assignment.from < lease.assignment.to)
          void moveIdleParts(leader, lease, running);
      }
    },
  };
}

function leasesInEvacuated(
  {leases}: LeaderState,
  servers: readonly ListedServer[],
): readonly RangeLease[] {
  const evacuated = new Set<string | null>(
    servers.filter(({isEvacuated}) => isEvacuated).map(({id}) => id),
  );
  if (evacuated.size === 0) return [];
  return leases.filter(({assignment}) => evacuated.has(assignment.server));
}

/** Splits the running keys off a range and moves what is left of it. */
async function moveIdleParts(
  leader: LeaderState,
  lease: RangeLease,
  running: readonly number[],
): Promise<void> {
  const busyParts = running.map((key): KeyRange => ({from: key, to: key}));
  const parts = await splitLease(leader, lease, busyParts);
  for (const part of parts) {
    if (mayMoveAtOnce(leader, part)) void moveRange(leader, part, 'evacuated');
  }
}

/** Sorts the leases by the load of their keys, the highest first. */
function byLoad(
  {load}: LeaderState,
  leases: readonly RangeLease[],
): readonly RangeLease[] {
  return leases
    .map(lease => ({lease, rate: load.rateOf(lease.assignment)}))
    .sort((a, b) => b.rate - a.rate)
    .map(({lease}) => lease);
}
