import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {Candidate} from './host-capacity.js';
import type {HostState} from './probe-host.js';

/** What a deputy needs to know before it succeeds a lost leader. */
export interface SuccessionConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  /** The address at which other routers reach this one, `ip:port`. */
  readonly self: string;
  /** Routers that the last leader designated to lead next, the best first. */
  deputies(): readonly Candidate[];
  /** Whether this router leads or follows a leader. */
  hasLeader(): boolean;
  /** Time since the platform last answered this router, in ms. */
  contactAgeMs(): number;
  /**
   * Time since another router told this one that it follows no leader either,
   * in ms.
   */
  leaderlessNeighbourAgeMs(): number;
  probe(address: string): Promise<HostState>;
  /** Called when this router should begin to lead. */
  onDue(): void;
}

/** Whether this router should lead in place of a leader that is certainly lost. */
export interface DeputySuccession {
  /** The stream to the leader at the address ended or timed out. */
  noteLeaderLost(address: string): void;
  /** Whether this router should begin without waiting for the platform. */
  isDue(): boolean;
  /** Whether no leader works at the address any more. */
  isGone(address: string): boolean;
}

interface LostLeader {
  readonly address: string;
  readonly lostAt: number;
  /** Whether its process has ended: its host refused a connection. */
  hasEnded: boolean;
  /** Whether it is known to be gone. */
  isGone: boolean;
  /**
   * Monotonic time since which it is known to be gone and the platform answers
   * this router, in ms; null if one of the two doesn't hold.
   */
  eligibleSince: number | null;
}

/** How long the leader's address is probed after the loss, in ms. */
const PROBE_FOR_MS = 15_000;
/** Interval between two probes of the leader, and between checks, in ms. */
const CHECK_MS = 100;
/**
 * Time for which each deputy leaves it to the one before it, in ms: it covers
 * the start of a term and the search for the new leader.
 */
const RANK_DELAY_MS = 400;
/** The platform must have answered within this time, in ms: two renewals. */
const MAX_CONTACT_AGE_MS = 750;

/**
 * Lets deputies succeed a lost leader before the platform has removed it from
 * the group, which takes at least a second and begins anew after an outage. A
 * leader that is only silent is left to the platform: it may be late or
 * suspended, and each change of leader costs half a second without slots. It
 * counts as lost if its host refuses connections, or doesn't answer and another
 * router follows no leader either.
 *
 * @example
 * ```ts
 * const succession = createDeputySuccession(cfg);
 * succession.noteLeaderLost('10.1.0.18:7200');
 * ```
 */
export function createDeputySuccession(
  cfg: SuccessionConfig,
): DeputySuccession {
  const {clock, emit} = cfg;
  let lost: LostLeader | null = null;

  const rank = (): number =>
    cfg.deputies().findIndex(({address}) => address === cfg.self);

  /** One that only this router can't reach may still lead the others. */
  const isUnreachable = (lostAt: number, state: HostState): boolean =>
    state === 'silent' &&
    cfg.leaderlessNeighbourAgeMs() <= clock.now() - lostAt;

  const observe = (leader: LostLeader, state: HostState): void => {
    const {address, lostAt, isGone} = leader;
    // A process that listens there later is another one.
    leader.hasEnded ||= state === 'refused';
    leader.isGone = leader.hasEnded || isUnreachable(lostAt, state);
    const isEligible =
      leader.isGone && cfg.contactAgeMs() <= MAX_CONTACT_AGE_MS;
    leader.eligibleSince = isEligible
      ? (leader.eligibleSince ?? clock.now())
      : null;
    if (!leader.isGone || isGone) return;
    const afterMs = Math.round(clock.now() - lostAt);
    emit('leader-gone', {leader: address, state, afterMs});
  };

  const isDue = (): boolean => {
    if (lost === null || lost.eligibleSince === null || cfg.hasLeader())
      return false;
    const ownRank = rank();
    if (ownRank < 0) return false;
    return clock.now() - lost.eligibleSince >= ownRank * RANK_DELAY_MS;
  };

  const watch = async (leader: LostLeader): Promise<void> => {
    const goesOn = (): boolean =>
      lost === leader &&
      !cfg.hasLeader() &&
      clock.now() - leader.lostAt < PROBE_FOR_MS;
    while (goesOn()) {
      observe(leader, await cfg.probe(leader.address));
      if (isDue()) cfg.onDue();
      await sleep(clock, CHECK_MS);
    }
  };

  return {
    noteLeaderLost(address) {
      lost = {
        ...{address, lostAt: clock.now()},
        ...{hasEnded: false, isGone: false, eligibleSince: null},
      };
      if (rank() >= 0) void watch(lost);
    },
    isDue,
    isGone: address => lost !== null && lost.isGone && lost.address === address,
  };
}
