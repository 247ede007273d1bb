import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import {storeEpochOfFence} from '@banyandrum/ranges/fence.js';
import type {RangeAssignment, ServedRange} from '@banyandrum/ranges/table.js';
import type {KeyOwners} from './key-owners.js';
import type {Leadership} from './leadership.js';
import type {LinkClient} from './link-client.js';
import {createListReads} from './list-reads.js';
import type {Platform} from './platform.js';
import {logLoopError, repeat} from './repeat.js';
import type {ServerList} from './server-list.js';
import type {StoreReads} from './store-contact.js';

/** Dependencies of the refresh loops. */
export interface RefreshConfig {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly emit: Emit;
  readonly leadership: Leadership;
  readonly list: ServerList;
  readonly owners: KeyOwners;
  readonly link: LinkClient;
  /** When reads are held back; never if absent. */
  readonly reads?: Pick<StoreReads, 'mayRead' | 'subscribe'>;
  /** Time within which a leaving server must stop getting requests, in ms. */
  readonly leaveWithinMs: number;
  /** Whether the last leader designated this router to lead next. */
  isDeputy(): boolean;
  /** Whether the loops should keep running. */
  goesOn(): boolean;
  keyedServices(): readonly string[];
  updateConnectionLimits(): void;
  /** Adds this router's own request counts and service times, as the leader. */
  collectOwnMeasurements(): void;
  /** Interval at which a leader reads the list of servers, in ms. */
  listReadMs(): number;
  /** Number of working routers, as far as it is known. */
  routers(): number;
}

/**
 * Without a leader each router reads the list itself, at this share of
 * `leaveWithinMs` at the latest: 80 routers that read as often as a leader made
 * 200 calls a second, also during longer outages of the platform. Few routers
 * read more often, together as often as a leader.
 */
const NO_LEADER_READ_SHARE = 0.3;
/** State that the leader confirmed within this time counts as fresh, in ms. */
const FRESH_MS = 900;
/** Tables are read from the store after this time without a leader, in ms. */
const TABLES_READ_AFTER_MS = 1_500;
const TABLES_READ_MS = 1_000;
/** Interval at which the leader collects its own measurements, in ms. */
const OWN_COUNTS_MS = 100;
/** Interval at which a follower checks whether it leads now, in ms. */
const LEADING_CHECK_MS = 500;
/**
 * Interval at which this router's share of the servers' connections is adapted
 * to the number of routers, in ms.
 */
const CONNECTION_LIMITS_MS = 1_000;

/**
 * Whether the leader was heard from recently, so that its state is newer than
 * a read of the store would be.
 */
function hasFreshLeaderState(link: LinkClient): boolean {
  return link.leaderAgeMs() < FRESH_MS;
}

/**
 * Whether one of the deputies, which read the list while there is no leader,
 * confirmed this router's list. Without it, each router reads the list once or
 * twice whenever the leader is lost.
 */
function hasFreshNeighbourList({
  link,
  isDeputy,
  reads,
}: RefreshConfig): boolean {
  return reads !== undefined && link.neighbourAgeMs() < FRESH_MS && !isDeputy();
}

/**
 * Keeps this router's state up to date. A follower takes it from the leader;
 * the leader, and a router without a leader, read the platform.
 *
 * @example
 * ```ts
 * startRefreshLoops(cfg);
 * ```
 */
export function startRefreshLoops(cfg: RefreshConfig): void {
  const {platform, leadership, list, link, emit} = cfg;
  const noLeaderReadMs = (): number =>
    Math.min(
      cfg.leaveWithinMs * NO_LEADER_READ_SHARE,
      cfg.listReadMs() * cfg.routers(),
    );
  const mayRead = (): boolean => cfg.reads?.mayRead() ?? true;
  /** Whether reads that were held back may be sent. */
  let isResumed = false;
  const listReads = createListReads({clock: cfg.clock, platform, list});

  const readListIfNeeded = async (): Promise<void> => {
    if (!mayRead()) return;
    const isFollower = !leadership.isLeading();
    const isTold = hasFreshLeaderState(link) || hasFreshNeighbourList(cfg);
    if (isFollower && isTold && list.ageMs() < FRESH_MS) return;
    const intervalMs = isFollower ? noLeaderReadMs() : cfg.listReadMs();
    const isKnown = list.cursor() !== null;
    const isEarly = listReads.sinceLastMs() < intervalMs && !isResumed;
    if (isFollower && isKnown && isEarly) return;
    isResumed = false;
    await listReads.startIfDue(intervalMs);
  };
  const startListRead = (): void => {
    readListIfNeeded().catch(err => logLoopError(emit, 'servers', err));
  };

  // The loop doesn't wait for the answer, so that it starts further reads.
  repeat({...cfg, name: 'servers', pauseMs: cfg.listReadMs}, async () =>
    startListRead(),
  );
  cfg.reads?.subscribe(() => {
    isResumed = true;
    if (cfg.goesOn()) startListRead();
  });
  repeat({...cfg, name: 'tables', pauseMs: TABLES_READ_MS}, async () => {
    if (mayRead()) await readStoredTables(cfg);
  });
  repeat({...cfg, name: 'shares', pauseMs: CONNECTION_LIMITS_MS}, async () =>
    cfg.updateConnectionLimits(),
  );
  repeat({...cfg, name: 'own-counts', pauseMs: OWN_COUNTS_MS}, async () => {
    if (leadership.isLeading()) return cfg.collectOwnMeasurements();
    await sleep(cfg.clock, LEADING_CHECK_MS);
  });
}

/**
 * Omits owners recorded before the store was restored: they may be outdated.
 */
function toServedRange(
  holding: RangeAssignment,
  storeEpoch: number,
): ServedRange {
  const {from, to, server, fence} = holding;
  const isCurrent = storeEpochOfFence(fence) === storeEpoch;
  return {from, to, server: isCurrent ? server : null};
}

/** Reads the tables from the store while there is no leader. */
async function readStoredTables(cfg: RefreshConfig): Promise<void> {
  const {platform, leadership, link, owners, emit} = cfg;
  const isNeeded = (): boolean =>
    !leadership.isLeading() && link.leaderAgeMs() >= TABLES_READ_AFTER_MS;
  if (!isNeeded() || cfg.keyedServices().length === 0) return;
  const stored = await platform.ledger.load();
  if (stored === null || !isNeeded()) return;
  emit('tables-taken', {
    from: 'store',
    linkAgeMs: Math.round(link.leaderAgeMs()),
  });
  const storeEpoch = platform.history.epoch();
  owners.replaceTables(
    new Map(
      stored.map(({service, assignments}) => [
        service,
        assignments.map(assignment => toServedRange(assignment, storeEpoch)),
      ]),
    ),
  );
}
