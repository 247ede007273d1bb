import type {Clock} from '@banyandrum/base/clock.js';
import type {InheritedHolding} from './inheritance.js';
import type {KeyLoad} from './key-load.js';
import type {Ledger} from './ledger.js';
import type {LiveHolding} from './live-holding.js';
import type {OrderEnd, Orders} from './orders.js';
import type {PlacedServer} from './planner.js';
import type {Holding} from './table.js';
import type {HoldTiming} from './timing.js';

/** A server of the service, as the leader knows it now. */
export interface LedServer extends PlacedServer {
  readonly address: string;
}

/** What leading a service needs. */
export interface LeadConfig {
  readonly service: string;
  /** The holdings that an earlier leader left; null where there are none. */
  readonly inherited: readonly InheritedHolding[] | null;
  /**
   * Monotonic time, in ms, until which leaders of earlier epochs of the store's
   * history may act.
   */
  readonly earlierActUntil: number;
  /** Whether keys that no record names are surely held by nobody. */
  isUnrecordedFree(): boolean;
  readonly ledger: Pick<Ledger, 'save'>;
  readonly orders: Orders;
  readonly clock: Clock;
  readonly timing: HoldTiming;
  /** Servers in the list that don't leave. */
  servers(): readonly LedServer[];
  /** Whether the run of a server has provably ended. */
  hasEnded(server: string): boolean;
  /** Whether the servers that there are are likely to be known by now. */
  isListSettled(): boolean;
  nextFence(): number;
  /** Time that also passes while the host is suspended, in ms. */
  wakefulNow(): number;
  /** Whether this leader may still act. */
  mayAct(): boolean;
  /** Keys whose requests wait for a place now, one for each. */
  waitingKeys(): readonly number[];
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
export interface Lead extends LeadConfig {
  lives: LiveHolding[];
  readonly load: KeyLoad;
  isStopped: boolean;
  /** Moves for the sake of load under way, and the servers they go to. */
  moves: number;
  readonly targets: Set<string>;
  planAt: number;
  fadedAt: number;
  save(): Promise<boolean>;
  /** The holding's server lost it, or can't be told to go on. */
  lose(live: LiveHolding, why: MoveReason): void;
}

/** Grants may go out once the holdings are on record. */
export async function record(
  lead: Lead,
  lives: readonly LiveHolding[],
): Promise<boolean> {
  const isSaved = await lead.save();
  if (!isSaved) return false;
  for (const live of lives) {
    if (live.phase === 'waiting') live.phase = 'held';
  }
  return true;
}

export function holdingsOf(lead: Lead, server: string): readonly LiveHolding[] {
  return lead.lives.filter(({holding}) => holding.server === server);
}

/** A holding as events tell it. */
export function toFields(
  holding: Holding,
): Record<string, string | number | null> {
  const {from, to, server, fence} = holding;
  return {from, to, server, fence};
}

/** Tells how an order to a server ended. */
export function emitOrder(
  lead: Lead,
  event: string,
  holding: Holding,
  {kind}: OrderEnd,
): void {
  lead.emit(event, {...toFields(holding), outcome: kind});
}
