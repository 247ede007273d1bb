import type {RangeAssignment} from './table.js';

/** How an order to a server ended. */
export type LeaseCallResult =
  | {readonly kind: 'done'; readonly handover: string | null}
  /** The server has seen a higher fence on some of the keys. */
  | {readonly kind: 'fenced'}
  /** Another run of a server has the address: the one meant has ended. */
  | {readonly kind: 'replaced'}
  /** Nothing was sent. */
  | {readonly kind: 'unsent'}
  /** It may be carried out now, or seconds later. */
  | {readonly kind: 'unproved'};

/** Orders to servers about keys. */
export interface LeaseClient {
  /** Grants a range, or renews it where the same call was made before. */
  grant(holding: RangeAssignment, holdMs: number, withinMs: number): Promise<LeaseCallResult>;
  /** Takes a range back; answered when its running work has ended. */
  release(holding: RangeAssignment, withinMs: number): Promise<LeaseCallResult>;
}
