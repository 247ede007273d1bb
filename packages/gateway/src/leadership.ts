import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import {
  FENCES_PER_TERM,
  storeEpochOfTerm,
  toFence,
} from '@banyandrum/ranges/fence.js';
import {
  inheritRecorded,
  isRecordedSinceRestore,
  type InheritedAssignment,
} from '@banyandrum/ranges/inheritance.js';
import {
  createServiceLeader,
  type ServiceLeader,
} from '@banyandrum/ranges/service-leader.js';
import type {LatencyProfile} from '@banyandrum/ranges/late-answers.js';
import type {TableStore, TermLeader} from '@banyandrum/ranges/table-store.js';
import type {ListedServer} from '@banyandrum/ranges/leader-state.js';
import type {RangeTable} from '@banyandrum/ranges/table.js';
import {
  AUTHORITY_MS,
  type LeaseTiming,
} from '@banyandrum/ranges/lease-timing.js';
import {createChangeCoalescer} from './change-coalescer.js';
import type {KeyCounts, ServedTables} from './key-owners.js';
import {createOwnTerms, type OwnTerm} from './own-terms.js';
import type {Platform} from './platform.js';
import {
  NOT_ENDED,
  OTHER_RUN,
  provePreviousEnd,
  type TermEndAnswer,
  type TermEndQuestion,
} from './term-end.js';

/** This router's role as the leader of all keyed services. */
export interface Leadership {
  /** Whether this router is the leader now. */
  isLeading(): boolean;
  /** The range tables by service; null while this router doesn't lead. */
  tables(): ServedTables | null;
  /** Time since the platform last confirmed that no later term began, in ms. */
  confirmationAgeMs(): number;
  /** The epoch of the current term; null while this router doesn't lead. */
  epoch(): number | null;
  /** Another router reported that it leads with this term epoch. */
  observeTerm(epoch: number): void;
  /** Changes whenever the tables change. */
  version(): string;
  /**
   * Starts a term, which ends the previous leader's. Returns whether this
   * router leads afterwards.
   */
  startTerm(): Promise<boolean>;
  /** Another router may have started a term: asks the platform at once. */
  checkTerm(): void;
  /**
   * Answers the leader of a later term, whose question ends this router's term.
   */
  answerTermEnd(question: TermEndQuestion): TermEndAnswer;
  /** Whether the next leader may still ask if this router's term has ended. */
  awaitsTermEndQuestion(): boolean;
  /** Ends the term because this router shuts down. */
  resign(): void;
  /** Expected late answers per second, of services with a latency profile. */
  expectedLate(): number;
  addRequestCounts(counts: KeyCounts): void;
  /**
   * The key's owner answered that it doesn't hold the key, to a request that
   * was sent at the monotonic time `sentAt`, in ms, or later.
   */
  noteNotHeld(
    service: string,
    key: number,
    server: string,
    sentAt: number,
  ): void;
  subscribe(listener: () => void): void;
}

/** What leadership needs from the router. */
export interface LeadershipConfig {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly emit: Emit;
  /** Monotonic time that also advances while the host is suspended, in ms. */
  suspendAwareNow(): number;
  readonly timing: LeaseTiming;
  /** Distinguishes the table versions of this process from others'. */
  readonly bootId: string;
  /** The address at which other routers reach this one, `ip:port`. */
  readonly address: string;
  /** Asks the router at the address; null without an answer. */
  askTermEnd(
    address: string,
    question: TermEndQuestion,
  ): Promise<TermEndAnswer | null>;
  keyedServices(): readonly string[];
  serversOf(service: string): readonly ListedServer[];
  hasEnded(server: string): boolean;
  /** Whether no new server has been listed for a while. */
  isListSettled(): boolean;
  /** Whether the whole deployment starts for the first time. */
  readonly isFirstStart: boolean;
  /** Keys of the service's requests that wait for a slot, one per request. */
  waitingKeys(service: string): readonly number[];
  /** The key of each request of the service that has a slot. */
  runningKeys(service: string): readonly number[];
  /** By what keys are placed; see `ServiceLeaderConfig.profile`. */
  profileOf(service: string): LatencyProfile | null;
}

/** Interval at which grants, renewals and moves are processed, in ms. */
const TICK_MS = 50;
/** Delay after a term could not be started, in ms. */
const RETRY_MS = 250;
/**
 * Interval at which the platform is asked whether a later term has begun, in
 * ms. Each check is one call; there are a few within `AUTHORITY_MS`.
 */
const TERM_CHECK_MS = 2_500;
/**
 * How long after the end of its term a router that shuts down stays to answer
 * the next leader, in ms: it reads the tables and the last term first.
 */
const ANSWER_GRACE_MS = 600;
/** A term ends with this many fences left, reserved for moves in progress. */
const RESERVED_FENCES = 2 ** 16;

/** The assignments that a term takes over, by service. */
type InheritedAssignments = ReadonlyMap<string, readonly InheritedAssignment[]>;

const NO_ASSIGNMENTS: InheritedAssignments = new Map();

interface Term {
  readonly epoch: number;
  readonly inherited: InheritedAssignments;
  readonly services: Map<string, ServiceLeader>;
  /** What the next leader may ask about it. */
  readonly own: OwnTerm;
  fence: number;
}

/**
 * Creates this router's leadership, which is idle until a term is started.
 *
 * @example
 * ```ts
 * const leadership = createLeadership(cfg);
 * const isLeader = await leadership.startTerm();
 * ```
 */
export function createLeadership(cfg: LeadershipConfig): Leadership {
  const {platform, clock, emit} = cfg;
  const {history} = platform;
  const listeners = new Set<() => void>();
  let hasSeenRestore = false;
  let term: Term | null = null;
  let isStarting = false;
  let confirmedAt = -Infinity;
  let tablesRevision = 0;
  const ownTerms = createOwnTerms(clock);
  /** Monotonic time until which the next leader may ask, in ms. */
  let questionUntil = -Infinity;
  let cancelTick = (): void => undefined;

  const notifier = createChangeCoalescer(clock, () =>
    listeners.forEach(listener => listener()),
  );
  /** A range that gained a server may be announced with a short delay. */
  const onTablesChanged = (): void => {
    tablesRevision++;
    notifier.notifyLater();
  };
  /** Subscribers must know of a withdrawn range before its server is told. */
  const onRangesWithdrawn = (): void => {
    tablesRevision++;
    notifier.notifySoon();
  };

  const hasAuthority = (): boolean =>
    cfg.suspendAwareNow() - confirmedAt < AUTHORITY_MS;

  const stopServices = (ownTerm: Term): void => {
    cancelTick();
    for (const serviceLeader of ownTerm.services.values()) serviceLeader.stop();
  };

  const endTerm = (why: string): void => {
    if (term === null) return;
    emit('leadership-ended', {epoch: term.epoch, why});
    stopServices(term);
    term = null;
    questionUntil = clock.now() + ANSWER_GRACE_MS;
    tablesRevision++;
    notifier.notifyNow();
  };

  /** Until when leaders of an earlier store epoch may still act. */
  const priorAuthorityEnd = (): number => history.epochSeenAt() + AUTHORITY_MS;

  /** Whether no server can hold a key that the stored tables don't name. */
  const areUnrecordedKeysFree = (): boolean => {
    const isWhole =
      history.epoch() === 0 || (cfg.isFirstStart && !hasSeenRestore);
    return isWhole || clock.now() >= cfg.timing.expiryOf(priorAuthorityEnd());
  };

  /** Whether the store was restored after the term began. */
  const isStoreRestoredSince = ({epoch}: Term): boolean =>
    storeEpochOfTerm(epoch) < history.epoch();

  /**
   * Refuses to save for a term that the restored store has lost; the term that
   * replaces it saves instead.
   */
  const tableStoreForTerm = (ownTerm: Term): Pick<TableStore, 'save'> => ({
    save: async table =>
      isStoreRestoredSince(ownTerm) ? 'unsent' : platform.ledger.save(table),
  });

  const startNewServices = (ownTerm: Term): void => {
    const {own} = ownTerm;
    for (const service of cfg.keyedServices()) {
      if (ownTerm.services.has(service)) continue;
      const serviceLeader = createServiceLeader({
        service,
        inherited: ownTerm.inherited.get(service) ?? null,
        earlierLeadersActUntil: priorAuthorityEnd(),
        earlierTermsActUntil: own.earlierActUntil,
        areUnrecordedKeysFree,
        suspendAwareNow: cfg.suspendAwareNow,
        tableStore: tableStoreForTerm(ownTerm),
        leaseClient: own.countCalls(platform.orders),
        clock,
        timing: cfg.timing,
        servers: () => cfg.serversOf(service),
        hasEnded: cfg.hasEnded,
        isListSettled: cfg.isListSettled,
        queuedKeys: () => cfg.waitingKeys(service),
        runningKeys: () => cfg.runningKeys(service),
        profile: () => cfg.profileOf(service),
        nextFence: () => toFence(ownTerm.epoch, ownTerm.fence++),
        mayAct: () => term === ownTerm && hasAuthority(),
        onChange: onTablesChanged,
        onWithdrawn: onRangesWithdrawn,
        onFenced: () => {
          if (term === ownTerm) endTerm('fenced');
        },
        emit: (event, fields) => emit(event, {service, ...fields}),
      });
      ownTerm.services.set(service, serviceLeader);
      onRangesWithdrawn();
    }
  };

  const tick = (ownTerm: Term): void => {
    if (term !== ownTerm) return;
    if (ownTerm.fence >= FENCES_PER_TERM - RESERVED_FENCES)
      return endTerm('fences-used');
    if (isStoreRestoredSince(ownTerm) && !hasAuthority())
      return endTerm('restored');
    startNewServices(ownTerm);
    for (const serviceLeader of ownTerm.services.values()) serviceLeader.tick();
    cancelTick = clock.after(TICK_MS, () => tick(ownTerm));
  };

  /**
   * Assignments that this router remembers although the store has lost them.
   */
  const recallAssignments = (previous: Term): InheritedAssignments => {
    const actUntil = confirmedAt + AUTHORITY_MS;
    return new Map(
      [...previous.services]
        .map(
          ([name, serviceLeader]) =>
            [name, serviceLeader.remembered(actUntil)] as const,
        )
        .filter(([, assignments]) => assignments.length > 0),
    );
  };

  /** Merges the stored tables with what this router remembers. */
  const mergeAssignments = (
    epoch: number,
    stored: readonly RangeTable[],
    remembered: InheritedAssignments,
  ): InheritedAssignments => {
    const inherited = new Map(remembered);
    for (const table of stored) {
      const {service} = table;
      // A table recorded after the restore is newer than the remembered one.
      const isNewer = isRecordedSinceRestore(table, epoch);
      if (inherited.has(service) && !isNewer) continue;
      inherited.set(service, inheritRecorded(table, epoch));
    }
    return inherited;
  };

  /** Starts a term; `previous` is a term of this router that the store lost. */
  const beginTerm = async (previous: Term | null): Promise<void> => {
    isStarting = true;
    const askedAt = cfg.suspendAwareNow();
    const epoch = await platform.ledger.beginTerm(cfg.address, cfg.bootId);
    // Leaders of earlier terms were confirmed before this term began.
    const earlierActUntil = clock.now() + AUTHORITY_MS;
    const stored = epoch === null ? null : await platform.ledger.load();
    if (
      epoch === null ||
      stored === null ||
      storeEpochOfTerm(epoch) !== history.epoch()
    ) {
      emit('leadership-failed', {epoch});
      await sleep(clock, RETRY_MS);
    } else if (term === previous) {
      const remembered =
        previous === null ? NO_ASSIGNMENTS : recallAssignments(previous);
      const inherited = mergeAssignments(epoch, stored, remembered);
      if (previous !== null) stopServices(previous);
      confirmedAt = askedAt;
      emit('leadership-began', {
        ...{epoch, tables: stored.length, before: previous?.epoch ?? null},
        remembered: remembered.size,
      });
      const own = ownTerms.add(epoch, earlierActUntil);
      term = {epoch, inherited, services: new Map(), own, fence: 1};
      tick(term);
      void checkPeriodically(term);
      // What this router remembers counts from its own earlier term instead.
      if (previous === null) void proveEarlierEnd(term);
    }
    isStarting = false;
  };

  const beginFirstTerm = async (): Promise<void> => {
    if (isStarting || term !== null) return;
    await beginTerm(null);
  };

  /**
   * Starts a new term after the store was restored and lost the current one:
   * only this router knows what was recorded after the snapshot was taken.
   */
  const continueInNewTerm = async (ownTerm: Term): Promise<void> => {
    if (isStarting) return;
    while (term === ownTerm && isStoreRestoredSince(ownTerm) && hasAuthority())
      await beginTerm(ownTerm);
  };

  const confirmTerm = async (ownTerm: Term): Promise<void> => {
    const askedAt = cfg.suspendAwareNow();
    const isNewest = await platform.ledger.isNewestTerm();
    if (term !== ownTerm) return;
    if (isStoreRestoredSince(ownTerm)) return void continueInNewTerm(ownTerm);
    if (isNewest === true) confirmedAt = Math.max(confirmedAt, askedAt);
    if (isNewest === false) endTerm('replaced');
  };

  const checkPeriodically = async (ownTerm: Term): Promise<void> => {
    while (term === ownTerm) {
      await sleep(clock, TERM_CHECK_MS);
      if (term === ownTerm) await confirmTerm(ownTerm);
    }
  };

  const observeTerm = (epoch: number): void => {
    if (term === null || epoch <= term.epoch) return;
    // A term that began after a restore knows less than this router.
    if (storeEpochOfTerm(epoch) > storeEpochOfTerm(term.epoch)) {
      return void continueInNewTerm(term);
    }
    endTerm('replaced');
  };

  const answerTermEnd = (question: TermEndQuestion): TermEndAnswer => {
    const {run, epoch, successorEpoch} = question;
    if (run !== cfg.bootId) return OTHER_RUN;
    // After a restore of the store, this router may go on by what it remembers
    // from that term.
    if (storeEpochOfTerm(epoch) !== history.epoch()) return NOT_ENDED;
    if (term?.epoch === epoch) observeTerm(successorEpoch);
    // A term that is being started may be the one in question.
    if (isStarting || (term !== null && term.epoch <= epoch)) return NOT_ENDED;
    const answer = ownTerms.answerEnd(epoch);
    if (answer.kind === 'ended') questionUntil = -Infinity;
    return answer;
  };

  const askPreviousLeader = async (
    {run, address}: TermLeader,
    question: TermEndQuestion,
  ): Promise<TermEndAnswer | null> =>
    run === cfg.bootId
      ? answerTermEnd(question)
      : cfg.askTermEnd(address, question);

  const proveEarlierEnd = (ownTerm: Term): Promise<void> =>
    provePreviousEnd(
      {
        ...{clock, emit, ledger: platform.ledger, ask: askPreviousLeader},
        goesOn: () => term === ownTerm,
      },
      ownTerm.own,
    );

  history.subscribe((_epoch, previous) => {
    hasSeenRestore ||= previous !== null;
    if (term !== null) void continueInNewTerm(term);
  });

  return {
    isLeading: () => term !== null,
    confirmationAgeMs: () => cfg.suspendAwareNow() - confirmedAt,
    epoch: () => term?.epoch ?? null,
    observeTerm,
    answerTermEnd,
    awaitsTermEndQuestion: () => clock.now() < questionUntil,
    tables() {
      if (term === null) return null;
      const serviceLeaders = [...term.services.values()];
      return new Map(
        serviceLeaders.map(serviceLeader => [
          serviceLeader.service,
          serviceLeader.served(),
        ]),
      );
    },
    version: () => `${cfg.bootId}-${tablesRevision}`,
    async startTerm() {
      await beginFirstTerm();
      return term !== null;
    },
    checkTerm() {
      if (term !== null) void confirmTerm(term);
    },
    resign() {
      confirmedAt = -Infinity;
      endTerm('resigned');
    },
    expectedLate() {
      const serviceLeaders = [...(term?.services.values() ?? [])];
      return serviceLeaders.reduce((sum, each) => sum + each.expectedLate(), 0);
    },
    addRequestCounts(counts) {
      for (const [service, keys] of counts) {
        const load = term?.services.get(service)?.load;
        if (load === undefined) continue;
        for (const [key, count] of keys) load.add(key, count);
      }
    },
    noteNotHeld(service, key, server, sentAt) {
      term?.services.get(service)?.noteNotHeld(key, server, sentAt);
    },
    subscribe: listener => void listeners.add(listener),
  };
}
