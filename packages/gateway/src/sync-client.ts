import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {KeyCounts, KeyOwners} from './key-owners.js';
import {createJsonClient, type JsonClient} from './json-http.js';
import type {ServerList} from './server-list.js';
import {
  SYNC_HOLD_MS,
  type ServerTimes,
  type SyncReply,
  type SyncRequest,
} from './sync-messages.js';

/** What following the leader needs. */
export interface SyncClientConfig {
  readonly self: string;
  readonly clock: Clock;
  readonly emit: Emit;
  readonly owners: KeyOwners;
  readonly list: ServerList;
  /** `ip:port` of the leader's interface for routers; null: unknown. */
  leader(): string | null;
  drainTimes(): readonly ServerTimes[];
  drainReplaced(): readonly string[];
  noteConfigCursor(cursor: number): void;
}

/** A follower's exchange with the leader. */
export interface SyncClient {
  /** Time since the leader last answered, in ms. */
  ageMs(): number;
  stop(): void;
}

/** A leader that is silent for so much longer than it may wait, in ms. */
const SILENCE_MS = 500;
/** Pause after a call that failed, in ms. */
const RETRY_MS = 150;
/** Calls are no closer than this, in ms: it bounds what changes cost. */
const PACE_MS = 30;

/**
 * Follows the leader until stopped.
 *
 * @example
 * ```ts
 * const sync = followLeader(cfg);
 * if (sync.ageMs() > 1_000) readStore();
 * ```
 */
export function followLeader(cfg: SyncClientConfig): SyncClient {
  let isStopped = false;
  let repliedAt = -Infinity;
  let tables = '';
  let list = '';
  let client: JsonClient | null = null;
  let address: string | null = null;

  const toLeader = (leader: string): JsonClient => {
    if (client !== null && address === leader) return client;
    client?.close();
    address = leader;
    client = createJsonClient(leader);
    tables = '';
    list = '';
    return client;
  };

  const take = (reply: SyncReply, askedAt: number): void => {
    repliedAt = cfg.clock.now();
    tables = reply.tablesVersion;
    list = reply.listVersion;
    if (reply.tables !== null) {
      cfg.owners.takeTables(new Map(Object.entries(reply.tables)));
      cfg.emit('tables-taken', {version: tables, from: address});
    }
    takeList(cfg, reply, askedAt);
    if (reply.configCursor !== null) cfg.noteConfigCursor(reply.configCursor);
  };

  const exchange = async (leader: string): Promise<void> => {
    const message: SyncRequest = {
      from: cfg.self,
      tables,
      list,
      counts: toPairs(cfg.owners.drainCounts()),
      times: cfg.drainTimes(),
      replaced: cfg.drainReplaced(),
    };
    const askedAt = cfg.clock.now();
    const within = SYNC_HOLD_MS + SILENCE_MS;
    const reply = await toLeader(leader).post('/sync', message, within);
    if (reply === null) return sleep(cfg.clock, RETRY_MS);
    take(reply as SyncReply, askedAt);
    await sleep(cfg.clock, PACE_MS);
  };

  const run = async (): Promise<void> => {
    while (!isStopped) {
      const leader = cfg.leader();
      if (leader === null) await sleep(cfg.clock, RETRY_MS);
      else await exchange(leader);
    }
    client?.close();
  };
  void run();
  return {
    ageMs: () => cfg.clock.now() - repliedAt,
    stop() {
      isStopped = true;
    },
  };
}

function takeList(
  cfg: SyncClientConfig,
  reply: SyncReply,
  askedAt: number,
): void {
  const {listCursor, listAgeMs} = reply;
  if (listCursor === null) return;
  const ageMs = listAgeMs + cfg.clock.now() - askedAt;
  // An unchanged list still tells that it was confirmed once more.
  const servers = reply.list ?? cfg.list.snapshot()?.servers ?? [];
  cfg.list.takeSnapshot({cursor: listCursor, servers}, ageMs);
}

function toPairs(counts: KeyCounts): Record<string, readonly number[]> {
  const pairs: Record<string, readonly number[]> = {};
  for (const [service, keys] of counts) {
    pairs[service] = [...keys].flat();
  }
  return pairs;
}
