import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Clock} from '@banyandrum/base/clock.js';
import type {KeyCounts} from './key-owners.js';
import {readJson, sendJson} from './json-http.js';
import type {Leadership} from './leadership.js';
import type {ServerList} from './server-list.js';
import type {ServiceTimes} from './service-times.js';
import {
  MAX_SYNC_BYTES,
  SYNC_HOLD_MS,
  type SyncReply,
  type SyncRequest,
} from './sync-messages.js';

/** What answering the other routers needs. */
export interface SyncServerConfig {
  readonly boot: string;
  readonly clock: Clock;
  readonly leadership: Leadership;
  readonly list: ServerList;
  readonly times: ServiceTimes;
  configCursor(): number | null;
  noteReplaced(server: string): void;
}

/**
 * Answers the other routers' messages while this router leads: with what they
 * lack at once, else when something changes or after a short while.
 *
 * @example
 * ```ts
 * const server = createSyncServer(cfg);
 * server.listen(7200, '10.1.0.18');
 * ```
 */
export function createSyncServer(cfg: SyncServerConfig): Server {
  const waiting = new Set<() => void>();
  const wake = (): void => {
    for (const finish of [...waiting]) finish();
  };
  cfg.leadership.subscribe(wake);
  cfg.list.subscribe(wake);

  const changeWithin = (ms: number): Promise<void> =>
    new Promise(resolve => {
      const finish = (): void => {
        cancel();
        waiting.delete(finish);
        resolve();
      };
      const cancel = cfg.clock.after(ms, finish);
      waiting.add(finish);
    });

  const handle = async (
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> => {
    const message = (await readJson(req, MAX_SYNC_BYTES)) as SyncRequest | null;
    if (message === null) return sendJson(res, 400, {});
    if (!cfg.leadership.isLeading()) return sendJson(res, 409, {});
    takeReport(cfg, message);
    if (knowsAll(cfg, message)) await changeWithin(SYNC_HOLD_MS);
    if (!cfg.leadership.isLeading()) return sendJson(res, 409, {});
    sendJson(res, 200, toReply(cfg, message));
  };
  return createServer((req, res) => void handle(req, res));
}

function takeReport(cfg: SyncServerConfig, message: SyncRequest): void {
  cfg.leadership.takeCounts(toCounts(message.counts));
  cfg.times.add(message.times);
  message.replaced.forEach(cfg.noteReplaced);
}

function toCounts(counts: SyncRequest['counts']): KeyCounts {
  const result = new Map<string, Map<number, number>>();
  for (const [service, pairs] of Object.entries(counts)) {
    const keys = new Map<number, number>();
    for (let at = 0; at + 1 < pairs.length; at += 2) {
      keys.set(pairs[at]!, pairs[at + 1]!);
    }
    result.set(service, keys);
  }
  return result;
}

function listVersion({boot, list}: SyncServerConfig): string {
  return `${boot}-${list.version()}`;
}

function knowsAll(cfg: SyncServerConfig, message: SyncRequest): boolean {
  return (
    message.tables === cfg.leadership.version() &&
    message.list === listVersion(cfg)
  );
}

function toReply(cfg: SyncServerConfig, message: SyncRequest): SyncReply {
  const {leadership, list} = cfg;
  const tables = leadership.tables();
  const snapshot = list.snapshot();
  const hasTables = message.tables === leadership.version();
  const hasList = message.list === listVersion(cfg);
  return {
    tablesVersion: leadership.version(),
    tables: hasTables || tables === null ? null : Object.fromEntries(tables),
    listVersion: listVersion(cfg),
    list: hasList || snapshot === null ? null : snapshot.servers,
    listCursor: snapshot?.cursor ?? null,
    listAgeMs: list.ageMs(),
    configCursor: cfg.configCursor(),
  };
}
