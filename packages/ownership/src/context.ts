import type {Clock} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {OwnershipPeers} from './control.js';
import type {PauseDetector} from './pauses.js';
import type {AuthorityTiming} from './timing.js';

/** What every part of this package works with. */
export interface OwnershipContext {
  readonly self: Incarnation;
  readonly store: StateStore;
  readonly peers: OwnershipPeers;
  readonly clock: Clock;
  readonly log: Logger;
  readonly timing: AuthorityTiming;
  readonly pauses: PauseDetector;
  /** 0 to below 1, for jitter. */
  readonly random: () => number;
  /** Aborted when everything is to end. */
  readonly signal: AbortSignal;
}
