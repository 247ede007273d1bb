import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import {
  leadService,
  type ServiceLead,
} from '@banyandrum/ranges/lead-service.js';
import type {LedServer} from '@banyandrum/ranges/lead-state.js';
import type {RangeTable} from '@banyandrum/ranges/table.js';
import {AUTHORITY_MS, type HoldTiming} from '@banyandrum/ranges/timing.js';
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
  readonly timing: HoldTiming;
  /** Distinguishes the versions of this run. */
  readonly boot: string;
  /** This router's address for the others, `ip:port`. */
  readonly address: string;
  keyedServices(): readonly string[];
  serversOf(service: string): readonly LedServer[];
  hasEnded(server: string): boolean;
  /** Whether no server came to the list for a while. */
  isListSettled(): boolean;
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
/**
 * Fences of one term; the epoch takes the digits above. A term at the size
 * designed for has some thousand ranges, and moves a few hundred a second.
 */
const FENCES_A_TERM = 2 ** 20;
/** A term ends with so many fences left, for moves under way. */
const SPARE_FENCES = 2 ** 16;

interface Term {
  readonly epoch: number;
  readonly stored: readonly RangeTable[];
  readonly leads: Map<string, ServiceLead>;
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
  const listeners = new Set<() => void>();
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

  const end = (why: string): void => {
    if (term === null) return;
    emit('leadership-ended', {epoch: term.epoch, why});
    cancelTick();
    for (const lead of term.leads.values()) lead.stop();
    term = null;
    changes++;
    gathered.now();
  };

  const leadNew = (own: Term): void => {
    for (const service of cfg.keyedServices()) {
      if (own.leads.has(service)) continue;
      const stored = own.stored.find(table => table.service === service);
      const lead = leadService({
        service,
        stored: stored ?? null,
        ledger: platform.ledger,
        orders: platform.orders,
        clock,
        timing: cfg.timing,
        servers: () => cfg.serversOf(service),
        hasEnded: cfg.hasEnded,
        isListSettled: cfg.isListSettled,
        waitingKeys: () => cfg.waitingKeys(service),
        nextFence: () => own.epoch * FENCES_A_TERM + own.fence++,
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
    if (own.fence >= FENCES_A_TERM - SPARE_FENCES) return end('fences-used');
    leadNew(own);
    for (const lead of own.leads.values()) lead.tick();
    cancelTick = clock.after(TICK_MS, () => tick(own));
  };

  const begin = async (): Promise<void> => {
    if (isStarting || term !== null) return;
    isStarting = true;
    const askedAt = cfg.wakefulNow();
    const epoch = await platform.ledger.begin(cfg.address);
    const stored = epoch === null ? null : await platform.ledger.load();
    if (epoch === null || stored === null) {
      emit('leadership-failed', {epoch});
      await sleep(clock, RETRY_MS);
    } else {
      confirmedAt = askedAt;
      emit('leadership-began', {epoch, tables: stored.length});
      term = {epoch, stored, leads: new Map(), fence: 1};
      tick(term);
      void checkOn(term);
    }
    isStarting = false;
  };

  const check = async (own: Term): Promise<void> => {
    const askedAt = cfg.wakefulNow();
    const isNewest = await platform.ledger.isNewest();
    if (term !== own) return;
    if (isNewest === true) confirmedAt = Math.max(confirmedAt, askedAt);
    if (isNewest === false) end('replaced');
  };

  const checkOn = async (own: Term): Promise<void> => {
    while (term === own) {
      await sleep(clock, CHECK_MS);
      if (term === own) await check(own);
    }
  };

  return {
    isLeading: () => term !== null,
    touchMs: () => cfg.wakefulNow() - confirmedAt,
    epoch: () => term?.epoch ?? null,
    noteTerm(epoch) {
      if (term !== null && epoch > term.epoch) end('replaced');
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
