import type {Clock} from '@banyandrum/base/clock.js';
import {DIGEST_SCOPES, type ContentDigests} from './content-digests.js';
import type {Emit} from './events.js';
import {findToQuarantine, standingsOf} from './judge-suspects.js';
import {
  mergeSuspects,
  strikeRows,
  type Clearing,
  type Standing,
  type StruckRequest,
  type Suspect,
} from './suspect.js';

/** Told of rows that changed; `isOwn`: by what this router saw or was told. */
export type SuspectListener = (
  rows: readonly Suspect[],
  isOwn: boolean,
) => void;

/** Requests under which servers ended, as far as this router knows. */
export interface Suspects {
  /** Of one digest, or the worst of a request's. */
  standingOf(content: string | ContentDigests): Standing;
  /** How many contents stand so. */
  count(standing: Standing): number;
  /** Whether nothing is suspected: contents need not be looked up. */
  isEmpty(): boolean;
  /** A server's run ended under the request. */
  addStrike(struck: StruckRequest, server: string, isTrial: boolean): void;
  /** A server answered the request whole, and lives. */
  clearAnswered(contents: ContentDigests): void;
  /**
   * An operator's word, on all rows of the request; false where it isn't
   * quarantined.
   */
  clear(content: string, by: string, reason: string): boolean;
  /**
   * The server answered a request that was sent at `sentAt`, monotonic, in ms.
   * Where its run was taken for ended before, it wasn't.
   */
  noteAlive(server: string, sentAt: number): void;
  /** Takes what another router, or the record, says. */
  merge(rows: readonly Suspect[]): void;
  /** Quarantines what has ended servers often enough: the leader's part. */
  applyQuarantineRules(): void;
  get(content: string): Suspect | undefined;
  /** All rows; the same array until one changes. */
  rows(): readonly Suspect[];
  subscribe(listener: SuspectListener): void;
}

/** Rows of requests that aren't quarantined, and of those that are. */
const MAX_UNQUARANTINED = 1_000;
const MAX_QUARANTINED = 300;
/** Who clears a request that a server answered. */
const CLEARED_BY_ANSWER = 'answered';
/** Servers that were wrongly taken for ended. */
const MAX_ALIVE_SERVERS = 1_000;
/** One that isn't quarantined is forgotten after this time, in ms. */
const SUSPECT_TTL_MS = 600_000;
/**
 * An operator's clearing is kept for longer, in ms: routers that were cut off
 * meanwhile still know the request as quarantined.
 */
const CLEARED_TTL_MS = 86_400_000;

/**
 * Makes the table. Rows of several routers merge in any order to the same: a
 * later round goes before an earlier one, and strikes of one round add up.
 *
 * A request that was beside the bad one is told apart by three signs: it is
 * answered whole when it is sent again; in a trial no other suspected request
 * is at the same server; and a server that ended under a quarantined request
 * is held against no other.
 *
 * @example
 * ```ts
 * const suspects = createSuspects(clock, emit);
 * suspects.strike(struck, 'i-7', false);
 * suspects.standingOf(struck.contents); // 'suspected'
 * ```
 */
export function createSuspects(
  clock: Clock,
  emit: Emit,
  unixNow: () => number = Date.now,
): Suspects {
  const table = new Map<string, Suspect>();
  const changedAt = new Map<string, number>();
  /** Runs that were struck, and when this router heard of it, in ms. */
  const struckAt = new Map<string, number>();
  const aliveServers = new Set<string>();
  const listeners: SuspectListener[] = [];
  let rows: readonly Suspect[] = [];
  let standings: ReadonlyMap<string, Standing> = new Map();

  const publish = (some: readonly Suspect[], isOwn: boolean): void => {
    evictOld();
    rows = [...table.values()];
    standings = standingsOf(rows, aliveServers);
    const struck = new Set(
      rows.flatMap(({strikes}) => strikes.map(({server}) => server)),
    );
    for (const server of struckAt.keys()) {
      if (!struck.has(server)) struckAt.delete(server);
    }
    for (const listener of listeners) listener(some, isOwn);
  };

  const store = (row: Suspect): void => {
    table.set(row.content, row);
    changedAt.delete(row.content);
    changedAt.set(row.content, clock.now());
    for (const {server} of row.strikes) {
      if (!struckAt.has(server)) struckAt.set(server, clock.now());
    }
  };

  const remove = (content: string): void => {
    table.delete(content);
    changedAt.delete(content);
  };

  /** Old rows go, and of too many those of the caller that has most. */
  const evictOld = (): void => {
    const now = clock.now();
    for (const [content, at] of changedAt) {
      if (now - at > ttlMs(table.get(content)!)) remove(content);
    }
    for (const isQuarantined of [false, true]) {
      const most = isQuarantined ? MAX_QUARANTINED : MAX_UNQUARANTINED;
      const ofKind = (row: Suspect): boolean =>
        row.isQuarantined === isQuarantined;
      let left = [...table.values()].filter(ofKind).length;
      for (; left > most; left--) remove(oldestOfLargestCaller(ofKind));
    }
  };

  /** A caller that fills the table pushes out its own rows only. */
  const oldestOfLargestCaller = (ofKind: (row: Suspect) => boolean): string => {
    const counts = new Map<string, number>();
    for (const row of table.values()) {
      if (ofKind(row))
        counts.set(row.caller, (counts.get(row.caller) ?? 0) + 1);
    }
    const most = Math.max(...counts.values());
    const oldest = [...changedAt.keys()].find(content => {
      const row = table.get(content)!;
      return ofKind(row) && counts.get(row.caller) === most;
    });
    return oldest!;
  };

  const startRound = (some: readonly Suspect[], cleared: Clearing): void => {
    if (some.length === 0) return;
    const blank = {strikes: [], isQuarantined: false, cleared};
    const next = some.map(row => ({...row, ...blank, round: row.round + 1}));
    const {by, reason} = cleared;
    for (const row of next) {
      store(row);
      const {content, scope, caller, service} = row;
      emit('request-cleared', {content, scope, caller, service, by, reason});
    }
    publish(next, true);
  };

  const known = ({content}: Suspect): Suspect => table.get(content)!;

  const mergeRow = (row: Suspect): boolean => {
    const last = table.get(row.content);
    const next = last === undefined ? row : mergeSuspects(last, row);
    if (next === last) return false;
    store(next);
    return true;
  };

  return {
    standingOf(content) {
      if (typeof content === 'string') {
        return standings.get(content) ?? 'unknown';
      }
      const all = DIGEST_SCOPES.map(scope => standings.get(content[scope]));
      if (all.includes('quarantined')) return 'quarantined';
      return all.includes('suspected') ? 'suspected' : 'unknown';
    },
    count: standing =>
      [...standings.values()].filter(each => each === standing).length,
    isEmpty: () => standings.size === 0,
    addStrike(struck, server, isTrial) {
      const news = strikeRows(struck, server, isTrial)
        .map(row => ({...row, round: table.get(row.content)?.round ?? 0}))
        .filter(mergeRow);
      const {contents, caller, service, route} = struck;
      const {strikes} = table.get(contents.anyQuery)!;
      emit('request-struck', {
        ...{...contents, caller, service, route, server, isTrial},
        strikes: strikes.length,
      });
      if (news.length > 0) publish(news.map(known), true);
    },
    clearAnswered(contents) {
      const rows = DIGEST_SCOPES.map(scope =>
        table.get(contents[scope]),
      ).filter(row => row !== undefined && row.strikes.length > 0);
      const reason = 'a server answered it whole';
      const cleared = {by: CLEARED_BY_ANSWER, reason, at: unixNow()};
      startRound(rows as readonly Suspect[], cleared);
    },
    clear(content, by, reason) {
      const row = table.get(content);
      if (row === undefined || !row.isQuarantined) return false;
      const all = rows.filter(
        ({family, strikes}) => family === row.family && strikes.length > 0,
      );
      startRound(all, {by, reason, at: unixNow()});
      return true;
    },
    noteAlive(server, sentAt) {
      const at = struckAt.get(server);
      if (at === undefined || sentAt <= at || aliveServers.has(server)) return;
      aliveServers.add(server);
      if (aliveServers.size > MAX_ALIVE_SERVERS) {
        const [oldest] = aliveServers;
        aliveServers.delete(oldest!);
      }
      emit('server-alive', {server});
      publish([], true);
    },
    merge(others) {
      const news = others.filter(mergeRow).map(known);
      if (news.length > 0) publish(news, false);
    },
    applyQuarantineRules() {
      const guilty = findToQuarantine(rows, aliveServers);
      if (guilty.length === 0) return;
      const next = guilty.map(row => ({...row, isQuarantined: true}));
      for (const row of next) {
        store(row);
        const {content, scope, caller, service, route, strikes} = row;
        const servers = strikes.map(({server}) => server).join(' ');
        const about = {content, scope, caller, service, route};
        emit('request-quarantined', {...about, servers});
      }
      publish(next, true);
    },
    get: content => table.get(content),
    rows: () => rows,
    subscribe: listener => void listeners.push(listener),
  };
}

/** For how long a row is kept while nothing of it changes, in ms. */
function ttlMs({isQuarantined, cleared}: Suspect): number {
  if (isQuarantined) return Infinity;
  const isAnswered = cleared === null || cleared.by === CLEARED_BY_ANSWER;
  return isAnswered ? SUSPECT_TTL_MS : CLEARED_TTL_MS;
}
