import type {RangeAssignment} from './table.js';

/** Result of a lease call to a server. */
export type LeaseCallResult =
  /** The server has carried out the call. */
  | {
      readonly kind: 'done';
      readonly handover: string | null;
      /**
       * Whether the answer may be a copy of one to an earlier call, so that this
       * call may take effect seconds later.
       */
      readonly mayBeCopy: boolean;
    }
  /** Rejected: the server has seen a higher fence for some of the keys. */
  | {readonly kind: 'fenced'}
  /**
   * Another server instance uses the address; the intended one has terminated.
   */
  | {readonly kind: 'replaced'}
  /** The call was not carried out and never will be. */
  | {readonly kind: 'unsent'}
  /** Outcome unknown: the call may take effect now, or seconds later. */
  | {readonly kind: 'unproved'};

/**
 * Not sent: no connection is left on which the server answered before it
 * accepted the fence. It may have restarted since, under the same name.
 */
export interface SessionLost {
  readonly kind: 'session-lost';
}

/** Grants and releases leases on key ranges at servers. */
export interface LeaseClient {
  /** Grants a lease, or renews it if it was granted with the same fence. */
  grant(
    assignment: RangeAssignment,
    leaseMs: number,
    timeoutMs: number,
  ): Promise<LeaseCallResult>;
  /**
   * Renews a lease whose fence the server accepted at the monotonic time
   * `acceptedAt`, in ms. Reaches only the process that accepted it: one that
   * started since has seen no fence, and would take the keys with one that was
   * used before.
   */
  renew(
    assignment: RangeAssignment,
    leaseMs: number,
    timeoutMs: number,
    acceptedAt: number,
  ): Promise<LeaseCallResult | SessionLost>;
  /**
   * Ends a lease; answered once the running requests of the range have ended.
   */
  release(
    assignment: RangeAssignment,
    timeoutMs: number,
  ): Promise<LeaseCallResult>;
}
