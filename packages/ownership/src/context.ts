import type {Clock} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {OwnershipPeers} from './control.js';
import type {PauseDetector} from './pauses.js';
import type {AuthorityTiming} from './timing.js';

/** Dependencies shared by the modules of this package. */
export interface OwnershipContext {
  readonly self: Incarnation;
  readonly store: StateStore;
  readonly peers: OwnershipPeers;
  readonly clock: Clock;
  readonly log: Logger;
  readonly timing: AuthorityTiming;
  readonly pauses: PauseDetector;
  /** Returns a number in [0, 1), for jitter. */
  readonly random: () => number;
  /** Aborts when the whole package must stop. */
  readonly signal: AbortSignal;
}
