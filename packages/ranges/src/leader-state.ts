import type {Clock} from '@banyandrum/base/clock.js';
import type {InheritedAssignment} from './inheritance.js';
import type {KeyLoad} from './key-load.js';
import type {LatencyProfile} from './late-answers.js';
import type {TableStore} from './table-store.js';
import type {RangeLease} from './range-lease.js';
import type {LeaseCallResult, LeaseClient} from './lease-client.js';
import type {ServerCapacity} from './planner.js';
import type {KeyRange, RangeAssignment} from './table.js';
import type {LeaseTiming} from './lease-timing.js';

/** A listed server of the service. */
export interface ListedServer extends ServerCapacity {
  readonly address: string;
  /** Whether its keys must move away, as its data centre is evacuated. */
  readonly isEvacuated: boolean;
}

/** Dependencies and settings of a service's leader. */
export interface ServiceLeaderConfig {
  readonly service: string;
  /** The assignments of an earlier leader; null if there was none. */
  readonly inherited: readonly InheritedAssignment[] | null;
  /**
   * Monotonic time until which leaders of earlier store epochs may act, in ms.
   */
  readonly earlierLeadersActUntil: number;
  /**
   * Monotonic time until which leaders of earlier terms may act, in ms. It
   * never rises, and falls once their ends are proved.
   */
  earlierTermsActUntil(): number;
  /**
   * Whether it is certain that no server holds a lease on keys without an
   * assignment.
   */
  areUnrecordedKeysFree(): boolean;
  readonly tableStore: Pick<TableStore, 'save'>;
  readonly leaseClient: LeaseClient;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  /** The listed servers, except those that are leaving. */
  servers(): readonly ListedServer[];
  /** Whether the server instance is known to have terminated. */
  hasEnded(server: string): boolean;
  /** Whether the list of servers is likely to be complete. */
  isListSettled(): boolean;
  nextFence(): number;
  /** A clock that also advances while the host is suspended, in ms. */
  suspendAwareNow(): number;
  /** Whether this leader still has the authority to act. */
  mayAct(): boolean;
  /** The key of each request that is queued for a slot. */
  queuedKeys(): readonly number[];
  /** The key of each request that has a slot. */
  runningKeys(): readonly number[];
  /**
   * How long the service's requests take and may take, the same object while it
   * is unchanged; null if unknown, or if keys are placed by utilization.
   */
  profile(): LatencyProfile | null;
  /** Called when a range becomes served, or when ranges are split or merged. */
  onChange(): void;
  /** Called when a range stops being served, before its lease is released. */
  onWithdrawn(): void;
  /** Called when a server or the store reports a newer leader. */
  onFenced(): void;
  emit(event: string, fields: Record<string, string | number | null>): void;
}

/** Why a range moves to another server. */
export type MoveReason =
  /** It was assigned to no server. */
  | 'free'
  /** Its stored assignment may be outdated and could not be confirmed. */
  | 'unknown'
  /** The server instance has terminated. */
  | 'ended'
  /** The server is leaving or is no longer listed. */
  | 'leaving'
  /** The server's data centre is evacuated. */
  | 'evacuated'
  /** The lease has expired, or is about to, and the server is unreachable. */
  | 'lapsed'
  /** Load balancing. */
  | 'load';

/** The mutable state of a service's leader. */
export interface LeaderState extends ServiceLeaderConfig {
  leases: RangeLease[];
  readonly load: KeyLoad;
  isStopped: boolean;
  /** Number of load balancing moves in progress. */
  activeMoves: number;
  /** Target servers of those moves. */
  readonly moveTargets: Set<string>;
  /** Monotonic time of the last move of each key that moved alone, in ms. */
  readonly hotKeyMoves: Map<number, number>;
  /** When servers last gave keys away by latency, and got some, in ms. */
  readonly lastGiven: Map<string, number>;
  readonly lastTaken: Map<string, number>;
  nextPlanAt: number;
  lastDecayAt: number;
  /** The last known `earlierTermsActUntil`. */
  earlierTermsEndAt: number;
  /** Writes the table; see `TableWriter.save`. */
  save(): Promise<boolean>;
  /** Time since the table was last stored, in ms. */
  sinceSavedMs(): number;
  /** Moves the range because its server has lost or can't renew the lease. */
  reassign(lease: RangeLease, reason: MoveReason): void;
}

/**
 * Stores the assignments and then allows grants for `leases`. Resolves with
 * false if this leader has been fenced off or stopped.
 */
export async function saveAssignments(
  leader: LeaderState,
  leases: readonly RangeLease[],
): Promise<boolean> {
  const isSaved = await leader.save();
  if (!isSaved) return false;
  for (const lease of leases) {
    if (lease.phase === 'waiting') lease.phase = 'held';
  }
  return true;
}

export function leasesOf(
  leader: LeaderState,
  server: string,
): readonly RangeLease[] {
  return leader.leases.filter(({assignment}) => assignment.server === server);
}

/** The keys of a range for which a server runs a request, in order. */
export function runningKeysOf(
  {runningKeys}: LeaderState,
  {from, to}: KeyRange,
): readonly number[] {
  const keys = runningKeys().filter(key => from <= key && key <= to);
  return [...new Set(keys)].sort((a, b) => a - b);
}

/** Returns the log event fields of an assignment. */
export function toEventFields(
  assignment: RangeAssignment,
): Record<string, string | number | null> {
  const {from, to, server, fence} = assignment;
  return {from, to, server, fence};
}

/** Logs the result of a call to a server. */
export function emitCallResult(
  leader: LeaderState,
  event: string,
  assignment: RangeAssignment,
  {kind}: LeaseCallResult,
): void {
  leader.emit(event, {...toEventFields(assignment), outcome: kind});
}
