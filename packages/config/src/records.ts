import type {CellId, Incarnation, Offset} from '@banyandrum/base/ids.js';

/** Replaces inventory and rules; valid only on the version it names. */
export interface PublicationRecord {
  readonly kind: 'publication';
  readonly changeId: string;
  readonly basedOn: Offset;
  readonly author: string;
  readonly reason: string;
  readonly at: string;
  readonly inventoryToml: string;
  readonly rulesToml: string;
}

export interface Claim {
  readonly cell: CellId;
  /** The epoch that it replaces; 0 where the cell has no view yet. */
  readonly previous: Offset;
  readonly leader: Incarnation;
  readonly standby: Incarnation | null;
  /**
   * Set by a leader that has been cleared, when it claims its cell once more
   * (with a standby): every former pair is over. See `View.unsettled`.
   */
  readonly settled: boolean;
}

/** Claims of cells; each counts only if its `previous` is still current. */
export interface ViewsRecord {
  readonly kind: 'views';
  readonly claims: readonly Claim[];
}

export interface DrainRecord {
  readonly kind: 'drain';
  readonly changeId: string;
  readonly target: string;
  readonly draining: boolean;
  readonly author: string;
  readonly reason: string;
  readonly at: string;
}

export interface AttestationRecord {
  readonly kind: 'attestation';
  readonly changeId: string;
  readonly host: string;
  readonly boot: string;
  readonly author: string;
  readonly reason: string;
  readonly at: string;
}

/** The state as of an offset, for readers that come after records expired. */
export interface SnapshotRecord {
  readonly kind: 'snapshot';
  /** The snapshot holds every record below this offset. */
  readonly next: Offset;
  /** The encoded `ClusterState`. */
  readonly state: string;
}

export type StateRecord =
  | PublicationRecord
  | ViewsRecord
  | DrainRecord
  | AttestationRecord
  | SnapshotRecord;
