import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {Members, Membership} from './platform.js';
import {repeat} from './repeat.js';

/** The group of routers as the platform reports it. */
export interface RouterGroup {
  /** The name of the router chosen to lead; null if unknown. */
  chosenName(): string | null;
  /** Whether this router is chosen, by an answer that is recent enough. */
  isChosen(): boolean;
  /** Time since the last call that the platform answered was sent, in ms. */
  contactAgeMs(): number;
  /**
   * Stops joining and removes this router from the group. Resolves once it is
   * removed or `goesOn` returns false.
   */
  leave(goesOn: () => boolean): Promise<void>;
}

/** What membership in the router group needs. */
export interface RouterGroupConfig {
  readonly members: Members;
  readonly clock: Clock;
  readonly emit: Emit;
  /** Monotonic time that also advances while the host is suspended, in ms. */
  suspendAwareNow(): number;
  /** Called when the platform answered whether this router is chosen. */
  onJoined(): void;
  /**
   * Whether this router leads or follows a leader. The group isn't listed then:
   * listing at each change, by each router, made 324 of 1,046 calls on a day of
   * rolling restarts.
   */
  followsLeader(): boolean;
  /**
   * Whether this router leads. It renews its membership at the same pace then
   * also while that fails, as it is replaced after some time without an answer.
   */
  isLeading(): boolean;
  /**
   * Whether this router may succeed a lost leader. It renews its membership at
   * the same pace also while that fails: all wait for the platform's answer.
   */
  maySucceed?(): boolean;
  /**
   * Whether the leader works and has other deputies. This router doesn't join
   * then, since renewals cost three calls per second and router.
   */
  maySkipJoin(): boolean;
  /**
   * Whether this router knows which routers the last leader designated to lead
   * next. They are the group's members, so the group isn't listed at once when
   * the leader is lost, by all routers.
   */
  knowsDeputies?(): boolean;
  /**
   * Whether renewals that fail are also spaced out without a leader, and a router
   * that the platform has removed doesn't leave.
   */
  readonly reducesCalls?: boolean;
  /** Called when another router was chosen in place of this one. */
  onReplaced(): void;
  /**
   * Time within which changes at the platform must be known here, in ms. Reads
   * wait for a renewal that succeeds.
   */
  readonly learnWithinMs?: number;
  /** Minimum time after which the platform removes silent members, in ms. */
  readonly silenceMinMs?: number;
  /** Returns a number from 0 to 1, exclusive of 1. */
  readonly random?: () => number;
}

/** Interval at which a router renews its membership, in ms. */
const JOIN_INTERVAL_MS = 350;
/**
 * Longest interval between renewals that fail while a leader is followed, in ms.
 * All routers that return to the platform must know within 3 s whether they are
 * chosen, and a configuration must be in force 2 s after the platform accepted
 * it: reads wait for a renewal that succeeds.
 */
const MAX_FAILED_INTERVAL_MS = 1_350;
/** The same as a share of the time in which changes must be learnt. */
const MAX_FAILED_SHARE = 0.65;
/** The same without a leader, who is chosen by a renewal that succeeds, in ms. */
const MAX_LEADERLESS_INTERVAL_MS = 1_000;
/** Part of an interval by which renewals that fail are spread. */
const RETRY_SPREAD = 0.15;
/** How long an answer is valid, in ms: the next two should arrive within it. */
const CHOSEN_TTL_MS = 1_000;
/**
 * Minimum interval between lists of the group while the leader is unknown, in
 * ms: when many routers start at once, each join changes the group for all.
 */
const MIN_LIST_INTERVAL_MS = 700;
/**
 * A router that knows the deputies of the lost leader lists the group after
 * this time without a leader, in ms. One of the deputies usually leads by then;
 * if all are lost as well, another router is chosen about now.
 */
const LIST_AFTER_MS = 1_500;
/**
 * A router that sent no renewal for this long is no member any more, in ms, and
 * need not leave. Also covers a renewal that took effect seconds late.
 */
const REMOVED_AFTER_MS = 10_000;
/** The same, as a multiple of the time for which a member may be silent. */
const REMOVED_AFTER_SILENCES = 3;

/**
 * Joins the group of routers and renews the membership until `leave`.
 *
 * @example
 * ```ts
 * const routers = joinRouterGroup(cfg);
 * const leaderName = routers.chosenName();
 * ```
 */
export function joinRouterGroup(cfg: RouterGroupConfig): RouterGroup {
  const {members, clock, emit, random = Math.random} = cfg;
  const removedAfterMs = Math.max(
    REMOVED_AFTER_MS,
    REMOVED_AFTER_SILENCES * (cfg.silenceMinMs ?? 0),
  );
  let names: readonly string[] = [];
  let generation = -1;
  let listedAt = -Infinity;
  let isLeaving = false;
  let isConnected = true;
  let isChosen = false;
  let answeredAt = -Infinity;
  /** Renewals in a row that failed. */
  let failures = 0;
  /** After a failure no renewal is sent before, in ms, unless as the leader. */
  let retryAt = -Infinity;
  let askedAt = -Infinity;
  let leaderlessSince: number | null = null;

  const recordContact = (membership: Membership | null): void => {
    const isAnswered = membership !== null;
    if (isAnswered === isConnected) return;
    isConnected = isAnswered;
    emit(isAnswered ? 'store-regained' : 'store-lost', {dependency: 'members'});
  };

  const list = async (): Promise<void> => {
    listedAt = clock.now();
    const listed = await members.list();
    if (listed === null) return;
    names = listed;
    emit('routers-listed', {
      generation,
      count: listed.length,
      leader: listed[0] ?? null,
    });
  };

  /** Spread, so that routers that fail together don't call together. */
  const scheduleRetry = (): void => {
    failures++;
    const maxMs = cfg.followsLeader()
      ? MAX_FAILED_INTERVAL_MS
      : MAX_LEADERLESS_INTERVAL_MS;
    const learnMs = (cfg.learnWithinMs ?? Infinity) * MAX_FAILED_SHARE;
    const backoffMs = JOIN_INTERVAL_MS * 2 ** failures;
    const intervalMs = Math.min(maxMs, learnMs, backoffMs);
    retryAt = askedAt + intervalMs * (1 - random() * RETRY_SPREAD);
  };

  const mayWait = (): boolean => {
    if (cfg.isLeading()) return false;
    if (cfg.followsLeader()) return true;
    return cfg.reducesCalls === true && cfg.maySucceed?.() !== true;
  };

  const pauseMs = (): number =>
    mayWait()
      ? Math.max(JOIN_INTERVAL_MS, retryAt - clock.now())
      : JOIN_INTERVAL_MS;

  const observeLeader = (): void => {
    if (cfg.followsLeader()) leaderlessSince = null;
    else leaderlessSince ??= clock.now();
  };

  const mayList = (): boolean => {
    observeLeader();
    if (leaderlessSince === null) return false;
    const isDue = clock.now() - leaderlessSince >= LIST_AFTER_MS;
    return isDue || !(cfg.knowsDeputies?.() ?? false);
  };

  const join = async (): Promise<void> => {
    observeLeader();
    if (cfg.maySkipJoin()) return;
    askedAt = clock.now();
    const sentAt = cfg.suspendAwareNow();
    const membership = await members.join();
    recordContact(membership);
    if (membership === null) scheduleRetry();
    if (membership === null || isLeaving) return;
    failures = 0;
    if (isChosen && !membership.isChosen) cfg.onReplaced();
    isChosen = membership.isChosen;
    answeredAt = sentAt;
    cfg.onJoined();
    if (!mayList()) return;
    if (clock.now() - listedAt < MIN_LIST_INTERVAL_MS) return;
    if (membership.generation === generation && names.length > 0) return;
    generation = membership.generation;
    await list();
  };

  const goesOn = (): boolean => !isLeaving;
  repeat({clock, emit, name: 'members', pauseMs, goesOn}, join);

  return {
    chosenName: () => names[0] ?? null,
    isChosen: () =>
      isChosen &&
      !isLeaving &&
      cfg.suspendAwareNow() - answeredAt < CHOSEN_TTL_MS,
    contactAgeMs: () => cfg.suspendAwareNow() - answeredAt,
    async leave(goesOn) {
      isLeaving = true;
      const isRemoved = clock.now() - askedAt > removedAfterMs;
      if (cfg.reducesCalls === true && isRemoved) return;
      while (goesOn() && !(await members.leave())) {
        await sleep(clock, JOIN_INTERVAL_MS);
      }
    },
  };
}
