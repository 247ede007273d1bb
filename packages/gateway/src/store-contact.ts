import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {Members, Platform} from './platform.js';
import type {StoreCallsMode} from './settings.js';

/** Whether this router should read the platform's store itself. */
export interface StoreReads {
  /** Whether a read is worth its cost now. */
  mayRead(): boolean;
  /**
   * The same, but also allows a read now and then while calls fail. Such a read
   * counts as started.
   */
  mayProbe(): boolean;
  /** Calls `listener` when reads that were held back may be sent. */
  subscribe(listener: () => void): void;
}

/** What this router's recent calls tell of the platform's store. */
export interface StoreContact extends StoreReads {
  /** Observes a call, which the store may hold for `waitMs`. */
  track<T>(
    call: Promise<T>,
    isAnswered: (result: T) => boolean,
    waitMs?: number,
  ): Promise<T>;
  /**
   * Whether reads are paused until a call succeeds: the next membership renewal
   * should not be left out then.
   */
  isPaused(): boolean;
  /** This router is chosen to lead: it can't expect a leader's state. */
  endStartup(): void;
}

/** Dependencies of the contact with the store. */
export interface StoreContactConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  /** Whether this router leads: it then reads for all others. */
  isLeading(): boolean;
  /** Returns a number from 0 to 1, exclusive of 1. */
  readonly random?: () => number;
}

/**
 * The store counts as down after this many calls in a row that failed or are
 * overdue: a single connection may fail without a cause at the store.
 */
const MIN_FAILURES = 3;
/**
 * A call without an answer for this long is overdue, in ms: even a slow store
 * answers within 250 ms.
 */
const OVERDUE_MS = 500;
/**
 * Longest interval between reads while calls fail, in ms. Membership renewals,
 * which cost a tenth of a read, show earlier that the store answers. The reads
 * are for a store that answers anything but renewals: a router has 3 s to be up
 * to date again.
 */
const PROBE_INTERVAL_MS = 2_400;
/**
 * How long a starting router waits for the state of a leader before it reads
 * the store, in ms. A leader is usually followed within 70 ms of the start.
 */
const STARTUP_MS = 250;

/**
 * Creates the contact with a store that was not called yet. It keeps all routers
 * from reading a store that is down, each at its own pace.
 *
 * @example
 * ```ts
 * const contact = createStoreContact({clock, emit, isLeading});
 * const platform = trackStoreCalls(external, contact);
 * if (contact.mayRead()) await platform.readServers(cursor);
 * ```
 */
export function createStoreContact(cfg: StoreContactConfig): StoreContact {
  const {clock, emit, random = Math.random} = cfg;
  const listeners = new Set<() => void>();
  /** When each pending call is overdue, in ms. */
  const overdueAt = new Map<symbol, number>();
  /** Calls in a row that failed. */
  let failures = 0;
  let pausedAt: number | null = null;
  let probeAt = -Infinity;
  let isStarting = true;

  const notify = (): void => listeners.forEach(listener => listener());

  const endStartup = (): void => {
    if (!isStarting) return;
    isStarting = false;
    cancelStartup();
    notify();
  };
  const cancelStartup = clock.after(STARTUP_MS, endStartup);

  const countOverdue = (): number => {
    const now = clock.now();
    return [...overdueAt.values()].filter(at => at <= now).length;
  };

  const scheduleProbe = (): void => {
    probeAt = clock.now() + PROBE_INTERVAL_MS * (0.75 + random() / 4);
  };

  const pauseIfDown = (): boolean => {
    if (pausedAt !== null) return true;
    if (failures + countOverdue() < MIN_FAILURES) return false;
    pausedAt = clock.now();
    scheduleProbe();
    emit('store-reads-paused', {failures, overdue: countOverdue()});
    return true;
  };

  const noteAnswered = (): void => {
    failures = 0;
    // Calls that are overdue by now belong to the time before this answer.
    for (const id of overdueAt.keys()) overdueAt.set(id, Infinity);
    if (pausedAt === null) return;
    const pausedMs = Math.round(clock.now() - pausedAt);
    pausedAt = null;
    emit('store-reads-resumed', {pausedMs});
    notify();
  };

  const mayRead = (): boolean => {
    // Also checked as the leader, whose reads are resumed like those of others.
    const isPaused = pauseIfDown() || isStarting;
    return !isPaused || cfg.isLeading();
  };

  return {
    mayRead,
    mayProbe() {
      if (mayRead()) return true;
      if (isStarting || clock.now() < probeAt) return false;
      scheduleProbe();
      return true;
    },
    subscribe: listener => void listeners.add(listener),
    async track(call, isAnswered, waitMs = 0) {
      const id = Symbol();
      overdueAt.set(id, clock.now() + waitMs + OVERDUE_MS);
      const result = await call.finally(() => overdueAt.delete(id));
      if (isAnswered(result)) noteAnswered();
      else failures++;
      return result;
    },
    isPaused: () => pausedAt !== null,
    endStartup,
  };
}

/** The platform, and when this router should read it. */
export interface StoreCalls {
  /** The platform as the rest of the router should call it. */
  readonly platform: Platform;
  /** For the parts that read, to spread into their dependencies. */
  readonly part: {readonly reads?: StoreReads};
  readonly isReduced: boolean;
  isPaused(): boolean;
  endStartup(): void;
}

/**
 * Reduces the calls to the platform while it answers none, if `mode` asks for
 * that.
 *
 * @example
 * ```ts
 * const calls = reduceStoreCalls('reduced', cfg, platform);
 * startRefreshLoops({...loopsCfg, ...calls.part});
 * ```
 */
export function reduceStoreCalls(
  mode: StoreCallsMode,
  cfg: StoreContactConfig,
  platform: Platform,
): StoreCalls {
  if (mode === 'direct') {
    return {
      ...{platform, part: {}, isReduced: false},
      isPaused: () => false,
      endStartup: () => undefined,
    };
  }
  const contact = createStoreContact(cfg);
  return {
    platform: trackStoreCalls(platform, contact),
    part: {reads: contact},
    isReduced: true,
    isPaused: contact.isPaused,
    endStartup: contact.endStartup,
  };
}

/**
 * Returns the platform with its frequent calls tracked by `contact`.
 *
 * @example
 * ```ts
 * const platform = trackStoreCalls(external, contact);
 * ```
 */
export function trackStoreCalls(
  platform: Platform,
  contact: Pick<StoreContact, 'track'>,
): Platform {
  const {ledger, suspects} = platform;
  return {
    ...platform,
    readConfig: (cursor, waitMs) =>
      contact.track(platform.readConfig(cursor, waitMs), wasRead, waitMs),
    readServers: cursor => contact.track(platform.readServers(cursor), wasRead),
    members: self => trackMembers(platform.members(self), contact),
    ledger: {
      ...ledger,
      load: () => contact.track(ledger.load(), isKnown),
    },
    suspects: {
      ...suspects,
      load: () => contact.track(suspects.load(), isKnown),
    },
  };
}

function trackMembers(
  members: Members,
  contact: Pick<StoreContact, 'track'>,
): Members {
  return {
    join: () => contact.track(members.join(), isKnown),
    leave: () => contact.track(members.leave(), isDone => isDone),
    list: () => contact.track(members.list(), isKnown),
  };
}

function wasRead({kind}: {readonly kind: 'read' | 'failed'}): boolean {
  return kind === 'read';
}

function isKnown(result: unknown): boolean {
  return result !== null;
}
