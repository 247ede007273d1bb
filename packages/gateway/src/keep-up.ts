import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import {storeEpochOfFence} from '@banyandrum/ranges/fence.js';
import type {RangeAssignment, ServedRange} from '@banyandrum/ranges/table.js';
import type {KeyOwners} from './key-owners.js';
import type {Leadership} from './leadership.js';
import type {LinkClient} from './link-client.js';
import type {Platform} from './platform.js';
import {repeat} from './repeat.js';
import type {ServerList} from './server-list.js';

/** What keeping up with the platform needs of the router. */
export interface KeepUpConfig {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly emit: Emit;
  readonly leadership: Leadership;
  readonly list: ServerList;
  readonly owners: KeyOwners;
  readonly link: LinkClient;
  /** By then a server that leaves must get no more requests, in ms. */
  readonly leaveWithinMs: number;
  goesOn(): boolean;
  keyedServices(): readonly string[];
  shareConnections(): void;
  /** Takes what the leader itself counted and measured. */
  takeOwn(): void;
}

/** The list of servers is read this often by whoever leads, in ms. */
const LIST_MS = 400;
/**
 * Without the leader each router reads it, in this share of the time by which a
 * server that leaves must get no more: 80 routers that read as often as a
 * leader made 200 calls a second, longer outages alike.
 */
const ALONE_SHARE = 0.3;
/** A list that the leader confirmed within this time is new enough, in ms. */
const LIST_FRESH_MS = 900;
/** Tables are read from the store after this time without the leader, ms. */
const TABLES_FRESH_MS = 1_500;
const TABLES_MS = 1_000;
/** The leader's own requests are counted this often, in ms. */
const OWN_MS = 100;
/** Whether this router leads by now is looked at this often, in ms. */
const OWN_IDLE_MS = 500;
/** Routers' shares of the servers' connections follow their number, in ms. */
const SHARES_MS = 1_000;

/** Whether the leader's word is newer than what the store would tell. */
export function isFollowing(link: LinkClient): boolean {
  return link.ageMs() < LIST_FRESH_MS;
}

/**
 * Keeps what this router believes up to date: by the leader's word, or by its
 * own reads where it leads or hears nobody.
 *
 * @example
 * ```ts
 * keepUp(cfg);
 * ```
 */
export function keepUp(cfg: KeepUpConfig): void {
  const {platform, leadership, list, link} = cfg;
  const aloneMs = cfg.leaveWithinMs * ALONE_SHARE;
  let readAt = -Infinity;
  repeat({...cfg, name: 'servers', ms: LIST_MS}, async () => {
    const ageMs = list.ageMs();
    const isAlone = !leadership.isLeading();
    if (isAlone && isFollowing(link) && ageMs < LIST_FRESH_MS) return;
    const now = cfg.clock.now();
    const isKnown = list.cursor() !== null;
    if (isAlone && isKnown && now - readAt < aloneMs) return;
    readAt = now;
    list.take(await platform.readServers(list.cursor()));
  });
  repeat({...cfg, name: 'tables', ms: TABLES_MS}, () => readTables(cfg));
  repeat({...cfg, name: 'shares', ms: SHARES_MS}, async () =>
    cfg.shareConnections(),
  );
  repeat({...cfg, name: 'own-counts', ms: OWN_MS}, async () => {
    if (leadership.isLeading()) return cfg.takeOwn();
    await sleep(cfg.clock, OWN_IDLE_MS);
  });
}

/** What was recorded before the store was restored may hold no longer. */
function toServed(holding: RangeAssignment, storeEpoch: number): ServedRange {
  const {from, to, server, fence} = holding;
  const isCurrent = storeEpochOfFence(fence) === storeEpoch;
  return {from, to, server: isCurrent ? server : null};
}

/** Takes the tables from the store where no leader is heard for long. */
async function readTables(cfg: KeepUpConfig): Promise<void> {
  const {platform, leadership, link, owners, emit} = cfg;
  const isNeeded = (): boolean =>
    !leadership.isLeading() && link.ageMs() >= TABLES_FRESH_MS;
  if (!isNeeded() || cfg.keyedServices().length === 0) return;
  const stored = await platform.ledger.load();
  if (stored === null || !isNeeded()) return;
  emit('tables-taken', {from: 'store', linkAgeMs: Math.round(link.ageMs())});
  const storeEpoch = platform.history.epoch();
  owners.takeTables(
    new Map(
      stored.map(({service, assignments: holdings}) => [
        service,
        holdings.map(holding => toServed(holding, storeEpoch)),
      ]),
    ),
  );
}
