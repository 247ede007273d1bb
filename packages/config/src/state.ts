import type {CellId, Incarnation, Offset} from '@banyandrum/base/ids.js';
import type {Inventory, Service} from './inventory.js';
import type {Rules} from './rules.js';

/** A leader of an earlier epoch and the standby that may consent to it. */
export interface FormerPair {
  readonly epoch: Offset;
  readonly leader: Incarnation;
  readonly standby: Incarnation | null;
}

/** Who leads a cell; its epoch is the log offset of the record. */
export interface View {
  readonly cell: CellId;
  readonly epoch: Offset;
  readonly leader: Incarnation;
  readonly standby: Incarnation | null;
  /**
   * Former pairs that nobody has shown to be over, oldest first. A third
   * router's claim over a leader and a standby that are cut off together
   * leaves them living on consent; if the claimant is then lost, its
   * successor must still wait for that pair. The fold of a claim W over a
   * view V keeps V's list, empties it where `W.settled` is set and W and V
   * have the same leader, and adds V's own pair unless W's leader is V's
   * leader or V's standby (which withdrew before it claimed).
   */
  readonly unsettled: readonly FormerPair[];
}

/** A publication in force. */
export interface Publication {
  /** Log offset; 0 before the first one. */
  readonly version: Offset;
  readonly changeId: string;
  readonly author: string;
  readonly reason: string;
  /** The author's wall clock, for people only. */
  readonly publishedAt: string;
  readonly inventoryToml: string;
  readonly rulesToml: string;
}

/** `unreadable`: bytes in the stream that are no record of ours. */
export type AuditKind = 'publication' | 'drain' | 'attestation' | 'unreadable';
export type AuditOutcome = 'accepted' | 'conflict' | 'invalid' | 'duplicate';

/** One line of the audit trail: who, when, what, why. */
export interface AuditEntry {
  readonly offset: Offset;
  readonly kind: AuditKind;
  readonly changeId: string;
  readonly author: string;
  readonly reason: string;
  readonly at: string;
  readonly outcome: AuditOutcome;
  readonly detail: string;
}

/** An operator's word that a router's host is lost for good. */
export interface Attestation {
  readonly offset: Offset;
  readonly host: string;
  /** The run of the process that it is about. */
  readonly boot: string;
}

/** What the log yields when read up to an offset, alike for every reader. */
export interface ClusterState {
  /** The next offset to apply. */
  readonly next: Offset;
  readonly publication: Publication | null;
  readonly inventory: Inventory;
  readonly rules: Rules;
  /** Services once removed; their shards and cells stay as they were. */
  readonly retired?: readonly Service[];
  readonly views: ReadonlyMap<CellId, View>;
  /** Names of servers and routers that an operator drains. */
  readonly drains: ReadonlySet<string>;
  readonly attestations: readonly Attestation[];
  /** The newest entries, bounded. */
  readonly audit: readonly AuditEntry[];
  /** Change ids seen of late, bounded, so that a repeat is harmless. */
  readonly changeIds: ReadonlyMap<string, AuditEntry>;
}
