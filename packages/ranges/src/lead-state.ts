import type {Clock} from '@banyandrum/base/clock.js';
import type {InheritedAssignment} from './inheritance.js';
import type {KeyLoad} from './key-load.js';
import type {TableStore} from './ledger.js';
import type {RangeLease} from './live-holding.js';
import type {LeaseCallResult, LeaseClient} from './orders.js';
import type {ServerCapacity} from './planner.js';
import type {RangeAssignment} from './table.js';
import type {LeaseTiming} from './timing.js';

/** A server of the service, as the leader knows it now. */
export interface ListedServer extends ServerCapacity {
  readonly address: string;
}

/** What leading a service needs. */
export interface ServiceLeaderConfig {
  readonly service: string;
  /** The holdings that an earlier leader left; null where there are none. */
  readonly inherited: readonly InheritedAssignment[] | null;
  /**
   * Monotonic time, in ms, until which leaders of earlier epochs of the store's
   * history may act.
   */
  readonly earlierLeadersActUntil: number;
  /** Whether keys that no record names are surely held by nobody. */
  areUnrecordedKeysFree(): boolean;
  readonly tableStore: Pick<TableStore, 'save'>;
  readonly leaseClient: LeaseClient;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  /** Servers in the list that don't leave. */
  servers(): readonly ListedServer[];
  /** Whether the run of a server has provably ended. */
  hasEnded(server: string): boolean;
  /** Whether the servers that there are are likely to be known by now. */
  isListSettled(): boolean;
  nextFence(): number;
  /** Time that also passes while the host is suspended, in ms. */
  suspendAwareNow(): number;
  /** Whether this leader may still act. */
  mayAct(): boolean;
  /** Keys whose requests wait for a place now, one for each. */
  queuedKeys(): readonly number[];
  /** A range is served, or was cut. */
  onChange(): void;
  /** A range is served no more, and its server will be told. */
  onWithdrawn(): void;
  /** Another leader seems to have taken over. */
  onFenced(): void;
  emit(event: string, fields: Record<string, string | number | null>): void;
}

/** Why a holding goes to another server. */
export type MoveReason =
  /** Nobody held it. */
  | 'free'
  /** Its record may be outdated, and nobody remembers a newer one. */
  | 'unknown'
  /** The server's run has ended. */
  | 'ended'
  /** The server leaves, or is listed no more. */
  | 'leaving'
  /** The hold has lapsed. */
  | 'lapsed'
  /** Its load is better served elsewhere. */
  | 'load';

/** A service under way with its leader. */
export interface LeaderState extends ServiceLeaderConfig {
  leases: RangeLease[];
  readonly load: KeyLoad;
  isStopped: boolean;
  /** Moves for the sake of load under way, and the servers they go to. */
  activeMoves: number;
  readonly moveTargets: Set<string>;
  nextPlanAt: number;
  lastDecayAt: number;
  save(): Promise<boolean>;
  /** The holding's server lost it, or can't be told to go on. */
  reassign(live: RangeLease, why: MoveReason): void;
}

/** Grants may go out once the holdings are on record. */
export async function saveAssignments(
  lead: LeaderState,
  lives: readonly RangeLease[],
): Promise<boolean> {
  const isSaved = await lead.save();
  if (!isSaved) return false;
  for (const live of lives) {
    if (live.phase === 'waiting') live.phase = 'held';
  }
  return true;
}

export function leasesOf(lead: LeaderState, server: string): readonly RangeLease[] {
  return lead.leases.filter(({assignment: holding}) => holding.server === server);
}

/** A holding as events tell it. */
export function toEventFields(
  holding: RangeAssignment,
): Record<string, string | number | null> {
  const {from, to, server, fence} = holding;
  return {from, to, server, fence};
}

/** Tells how an order to a server ended. */
export function emitCallResult(
  lead: LeaderState,
  event: string,
  holding: RangeAssignment,
  {kind}: LeaseCallResult,
): void {
  lead.emit(event, {...toEventFields(holding), outcome: kind});
}
