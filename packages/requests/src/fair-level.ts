import type {FairItem} from '@banyandrum/queueing/fair-level.js';

export type {FairLevel, Ticket} from '@banyandrum/queueing/fair-level.js';

/** The properties by which a queue orders its items. */
export interface QueueItem extends FairItem {
  /** Index of its level of precedence; 0 is the highest. */
  readonly level: number;
  readonly bytes: number;
  /** Monotonic time of its first arrival, in ms. */
  readonly queuedAt: number;
}
