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
} from '@banyandrum/ranges/lead-service.js';
import type {TableStore} from '@banyandrum/ranges/ledger.js';
import type {ListedServer} from '@banyandrum/ranges/lead-state.js';
import type {RangeTable} from '@banyandrum/ranges/table.js';
import {AUTHORITY_MS, type LeaseTiming} from '@banyandrum/ranges/timing.js';
import {createGathered} from './gathered.js';
import type {KeyCounts, ServedTables} from './key-owners.js';
import type {Platform} from './platform.js';

/** This router's part as the leader of all keyed services. */
export interface Leadership {
  /** Whether it leads now. */
  isLeading(): boolean;
  /** Null until it leads and knows the tables. */
  tables(): ServedTables | null;
  /** Since when the platform showed that no later term began, in ms. */
  touchMs(): number;
  /** The term in which it leads; null where it doesn't. */
  epoch(): number | null;
  /** Another router says that it leads in this term. */
  noteTerm(epoch: number): void;
  /** Changes whenever the tables do. */
  version(): string;
  /** Begins a term, which ends the one before it; whether it leads then. */
  begin(): Promise<boolean>;
  /** Another router may have begun: asks at once. */
  check(): void;
  /** This router stops. */
  resign(): void;
  takeCounts(counts: KeyCounts): void;
  subscribe(listener: () => void): void;
}

/** What leading needs of the router. */
export interface LeadershipConfig {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly emit: Emit;
  /** Time that also passes while the host is suspended, in ms. */
  wakefulNow(): number;
  readonly timing: LeaseTiming;
  /** Distinguishes the versions of this run. */
  readonly boot: string;
  /** This router's address for the others, `ip:port`. */
  readonly address: string;
  keyedServices(): readonly string[];
  serversOf(service: string): readonly ListedServer[];
  hasEnded(server: string): boolean;
  /** Whether no server came to the list for a while. */
  isListSettled(): boolean;
  /** Whether the whole system, this process included, starts for the first time. */
  readonly isFirstStart: boolean;
  /** Keys of the service whose requests wait for a place, one for each. */
  waitingKeys(service: string): readonly number[];
}

/** Grants, renewals and moves are looked at this often, in ms. */
const TICK_MS = 50;
/** Pause after a failed start of a term, in ms. */
const RETRY_MS = 250;
/**
 * Whether a later term has begun is asked this often, in ms: a few times within
 * a leader's authority, and one call to the platform each.
 */
const CHECK_MS = 2_500;
/** A term ends with so many fences left, for moves under way. */
const SPARE_FENCES = 2 ** 16;

/** What a term takes over, by service. */
type Inheritance = ReadonlyMap<string, readonly InheritedAssignment[]>;

const NOTHING: Inheritance = new Map();

interface Term {
  readonly epoch: number;
  readonly inherited: Inheritance;
  readonly leads: Map<string, ServiceLeader>;
  fence: number;
}

/**
 * Makes this router's leadership; it does nothing until it begins.
 *
 * @example
 * ```ts
 * const leadership = createLeadership(cfg);
 * const leads = await leadership.begin();
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
  let changes = 0;
  let cancelTick = (): void => undefined;

  const gathered = createGathered(clock, () =>
    listeners.forEach(listener => listener()),
  );
  /** What gains a server may be told of a little later. */
  const changed = (): void => {
    changes++;
    gathered.later();
  };
  /** What loses its server is known before the server hears of it. */
  const withdrawn = (): void => {
    changes++;
    gathered.soon();
  };

  const mayAct = (): boolean => cfg.wakefulNow() - confirmedAt < AUTHORITY_MS;

  const stop = (own: Term): void => {
    cancelTick();
    for (const lead of own.leads.values()) lead.stop();
  };

  const end = (why: string): void => {
    if (term === null) return;
    emit('leadership-ended', {epoch: term.epoch, why});
    stop(term);
    term = null;
    changes++;
    gathered.now();
  };

  const earlierActUntil = (): number => history.seenAt() + AUTHORITY_MS;

  const isUnrecordedFree = (): boolean => {
    const isWhole =
      history.epoch() === 0 || (cfg.isFirstStart && !hasSeenRestore);
    return isWhole || clock.now() >= cfg.timing.expiryOf(earlierActUntil());
  };

  /** Whether the store was restored since the term began. */
  const isRestored = ({epoch}: Term): boolean =>
    storeEpochOfTerm(epoch) < history.epoch();

  /** A term that the store lost records nothing: its successor would. */
  const ledgerOf = (own: Term): Pick<TableStore, 'save'> => ({
    save: async table =>
      isRestored(own) ? 'failed' : platform.ledger.save(table),
  });

  const leadNew = (own: Term): void => {
    for (const service of cfg.keyedServices()) {
      if (own.leads.has(service)) continue;
      const lead = createServiceLeader({
        service,
        inherited: own.inherited.get(service) ?? null,
        earlierLeadersActUntil: earlierActUntil(),
        areUnrecordedKeysFree: isUnrecordedFree,
        suspendAwareNow: cfg.wakefulNow,
        tableStore: ledgerOf(own),
        leaseClient: platform.orders,
        clock,
        timing: cfg.timing,
        servers: () => cfg.serversOf(service),
        hasEnded: cfg.hasEnded,
        isListSettled: cfg.isListSettled,
        queuedKeys: () => cfg.waitingKeys(service),
        nextFence: () => toFence(own.epoch, own.fence++),
        mayAct: () => term === own && mayAct(),
        onChange: changed,
        onWithdrawn: withdrawn,
        onFenced: () => {
          if (term === own) end('fenced');
        },
        emit: (event, fields) => emit(event, {service, ...fields}),
      });
      own.leads.set(service, lead);
      withdrawn();
    }
  };

  const tick = (own: Term): void => {
    if (term !== own) return;
    if (own.fence >= FENCES_PER_TERM - SPARE_FENCES) return end('fences-used');
    if (isRestored(own) && !mayAct()) return end('restored');
    leadNew(own);
    for (const lead of own.leads.values()) lead.tick();
    cancelTick = clock.after(TICK_MS, () => tick(own));
  };

  /** What this router knows, where the store lost it. */
  const rememberedBy = (before: Term): Inheritance => {
    const actUntil = confirmedAt + AUTHORITY_MS;
    return new Map(
      [...before.leads]
        .map(([name, lead]) => [name, lead.remembered(actUntil)] as const)
        .filter(([, holdings]) => holdings.length > 0),
    );
  };

  const inherit = (
    epoch: number,
    stored: readonly RangeTable[],
    remembered: Inheritance,
  ): Inheritance => {
    const inherited = new Map(remembered);
    for (const table of stored) {
      const {service} = table;
      // What was recorded since the restore is newer than what was known then.
      const isNewer = isRecordedSinceRestore(table, epoch);
      if (inherited.has(service) && !isNewer) continue;
      inherited.set(service, inheritRecorded(table, epoch));
    }
    return inherited;
  };

  /** Begins a term, in place of `before`, which the store lost. */
  const start = async (before: Term | null): Promise<void> => {
    isStarting = true;
    const askedAt = cfg.wakefulNow();
    const epoch = await platform.ledger.beginTerm(cfg.address);
    const stored = epoch === null ? null : await platform.ledger.load();
    if (
      epoch === null ||
      stored === null ||
      storeEpochOfTerm(epoch) !== history.epoch()
    ) {
      emit('leadership-failed', {epoch});
      await sleep(clock, RETRY_MS);
    } else if (term === before) {
      const remembered = before === null ? NOTHING : rememberedBy(before);
      const inherited = inherit(epoch, stored, remembered);
      if (before !== null) stop(before);
      confirmedAt = askedAt;
      emit('leadership-began', {
        ...{epoch, tables: stored.length, before: before?.epoch ?? null},
        remembered: remembered.size,
      });
      term = {epoch, inherited, leads: new Map(), fence: 1};
      tick(term);
      void checkOn(term);
    }
    isStarting = false;
  };

  const begin = async (): Promise<void> => {
    if (isStarting || term !== null) return;
    await start(null);
  };

  /**
   * Goes on in a new term after the store lost this one's: only this router
   * knows of what was recorded since the copy.
   */
  const goOn = async (own: Term): Promise<void> => {
    if (isStarting) return;
    while (term === own && isRestored(own) && mayAct()) await start(own);
  };

  const check = async (own: Term): Promise<void> => {
    const askedAt = cfg.wakefulNow();
    const isNewest = await platform.ledger.isNewestTerm();
    if (term !== own) return;
    if (isRestored(own)) return void goOn(own);
    if (isNewest === true) confirmedAt = Math.max(confirmedAt, askedAt);
    if (isNewest === false) end('replaced');
  };

  const checkOn = async (own: Term): Promise<void> => {
    while (term === own) {
      await sleep(clock, CHECK_MS);
      if (term === own) await check(own);
    }
  };

  history.subscribe((_epoch, before) => {
    hasSeenRestore ||= before !== null;
    if (term !== null) void goOn(term);
  });

  return {
    isLeading: () => term !== null,
    touchMs: () => cfg.wakefulNow() - confirmedAt,
    epoch: () => term?.epoch ?? null,
    noteTerm(epoch) {
      if (term === null || epoch <= term.epoch) return;
      // One that began since a restore knows less than this router.
      if (storeEpochOfTerm(epoch) > storeEpochOfTerm(term.epoch)) {
        return void goOn(term);
      }
      end('replaced');
    },
    tables() {
      if (term === null) return null;
      const leads = [...term.leads.values()];
      return new Map(leads.map(lead => [lead.service, lead.served()]));
    },
    version: () => `${cfg.boot}-${changes}`,
    async begin() {
      await begin();
      return term !== null;
    },
    check() {
      if (term !== null) void check(term);
    },
    resign() {
      confirmedAt = -Infinity;
      end('resigned');
    },
    takeCounts(counts) {
      for (const [service, keys] of counts) {
        const load = term?.leads.get(service)?.load;
        if (load === undefined) continue;
        for (const [key, count] of keys) load.add(key, count);
      }
    },
    subscribe: listener => void listeners.add(listener),
  };
}
