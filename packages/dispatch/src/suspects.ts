import type {Clock} from '@banyandrum/base/clock.js';
import {DIGEST_SCOPES, type ContentDigests} from './content-digests.js';
import type {Emit} from './events.js';
import {findToQuarantine, standingsOf} from './quarantine-rules.js';
import {
  mergeSuspects,
  strikeRows,
  type Clearing,
  type Standing,
  type StruckRequest,
  type Suspect,
} from './suspect.js';

/**
 * Called with changed rows; `isOwn` is set unless they were received from
 * another router or read from a record.
 */
export type SuspectListener = (
  rows: readonly Suspect[],
  isOwn: boolean,
) => void;

/** Requests that may have crashed servers, as far as this router knows. */
export interface Suspects {
  /**
   * Returns the standing of a digest, or the worst one of a request's digests.
   */
  standingOf(content: string | ContentDigests): Standing;
  /** Number of digests with this standing. */
  count(standing: Standing): number;
  /**
   * Whether no digest is suspected or quarantined, so lookups can be skipped.
   */
  isEmpty(): boolean;
  /** Records that a server instance crashed while it ran the request. */
  addStrike(struck: StruckRequest, server: string, isTrial: boolean): void;
  /** Clears a request that a server answered completely without a crash. */
  clearAnswered(contents: ContentDigests): void;
  /**
   * Clears all rows of a quarantined request on behalf of an operator; false if
   * it isn't quarantined.
   */
  clear(content: string, by: string, reason: string): boolean;
  /**
   * Records that the server answered a request sent at `sentAt`, monotonic, in
   * ms. If it was believed to have crashed before, its strikes no longer count.
   */
  noteAlive(server: string, sentAt: number): void;
  /** Merges rows from another router or from the stored record. */
  merge(rows: readonly Suspect[]): void;
  /** Quarantines digests that meet the rules; called by the leader. */
  applyQuarantineRules(): void;
  get(content: string): Suspect | undefined;
  /** Returns all rows; the same array until a row changes. */
  rows(): readonly Suspect[];
  subscribe(listener: SuspectListener): void;
}

/** Maximum rows that aren't quarantined, and that are. */
const MAX_UNQUARANTINED = 1_000;
const MAX_QUARANTINED = 300;
/** `Clearing.by` of a request that a server answered. */
const CLEARED_BY_ANSWER = 'answered';
/** Maximum remembered servers that were wrongly believed to have crashed. */
const MAX_ALIVE_SERVERS = 1_000;
/**
 * Rows that aren't quarantined expire this time after their last change, in ms.
 */
const SUSPECT_TTL_MS = 600_000;
/**
 * Rows that an operator cleared are kept for longer, in ms. Routers that were
 * partitioned meanwhile still have the request as quarantined, and the clearing
 * must override that when they reconnect.
 */
const CLEARED_TTL_MS = 86_400_000;

/**
 * Creates the table. Rows of several routers merge to the same result in any
 * order: a later round replaces an earlier one, and strikes of the same round
 * are united.
 *
 * Requests that ran beside the one that crashed the server are distinguished
 * from it in three ways: a retry of them is answered; in a trial, no other
 * suspected request is at the same server; and a crash attributed to a
 * quarantined request doesn't count against others.
 *
 * @example
 * ```ts
 * const suspects = createSuspects(clock, emit);
 * suspects.addStrike(struck, 'i-7', false);
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
  /**
   * Monotonic time of the first known strike of each server instance, in ms.
   */
  const struckAt = new Map<string, number>();
  const aliveServers = new Set<string>();
  const listeners: SuspectListener[] = [];
  let rows: readonly Suspect[] = [];
  let standings: ReadonlyMap<string, Standing> = new Map();

  const publish = (changedRows: readonly Suspect[], isOwn: boolean): void => {
    evictOld();
    rows = [...table.values()];
    standings = standingsOf(rows, aliveServers);
    const struck = new Set(
      rows.flatMap(({strikes}) => strikes.map(({server}) => server)),
    );
    for (const server of struckAt.keys()) {
      if (!struck.has(server)) struckAt.delete(server);
    }
    for (const listener of listeners) listener(changedRows, isOwn);
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

  /**
   * Removes expired rows, and excess rows of the callers with the most rows.
   */
  const evictOld = (): void => {
    const now = clock.now();
    for (const [content, at] of changedAt) {
      if (now - at > ttlMs(table.get(content)!)) remove(content);
    }
    for (const isQuarantined of [false, true]) {
      const limit = isQuarantined ? MAX_QUARANTINED : MAX_UNQUARANTINED;
      const ofKind = (row: Suspect): boolean =>
        row.isQuarantined === isQuarantined;
      let count = [...table.values()].filter(ofKind).length;
      for (; count > limit; count--) remove(oldestOfLargestCaller(ofKind));
    }
  };

  /**
   * Returns the oldest row of a caller with the most rows, to protect others'.
   */
  const oldestOfLargestCaller = (ofKind: (row: Suspect) => boolean): string => {
    const counts = new Map<string, number>();
    for (const row of table.values()) {
      if (ofKind(row))
        counts.set(row.caller, (counts.get(row.caller) ?? 0) + 1);
    }
    const maxCount = Math.max(...counts.values());
    const oldest = [...changedAt.keys()].find(content => {
      const row = table.get(content)!;
      return ofKind(row) && counts.get(row.caller) === maxCount;
    });
    return oldest!;
  };

  const startRound = (
    clearedRows: readonly Suspect[],
    cleared: Clearing,
  ): void => {
    if (clearedRows.length === 0) return;
    const blank = {strikes: [], isQuarantined: false, cleared};
    const next = clearedRows.map(row => ({
      ...row,
      ...blank,
      round: row.round + 1,
    }));
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
      const scopeStandings = DIGEST_SCOPES.map(scope =>
        standings.get(content[scope]),
      );
      if (scopeStandings.includes('quarantined')) return 'quarantined';
      return scopeStandings.includes('suspected') ? 'suspected' : 'unknown';
    },
    count: standing =>
      [...standings.values()].filter(each => each === standing).length,
    isEmpty: () => standings.size === 0,
    addStrike(struck, server, isTrial) {
      const changedRows = strikeRows(struck, server, isTrial)
        .map(row => ({...row, round: table.get(row.content)?.round ?? 0}))
        .filter(mergeRow);
      const {contents, caller, service, route} = struck;
      const {strikes} = table.get(contents.anyQuery)!;
      emit('request-struck', {
        ...{...contents, caller, service, route, server, isTrial},
        strikes: strikes.length,
      });
      if (changedRows.length > 0) publish(changedRows.map(known), true);
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
      const familyRows = rows.filter(
        ({family, strikes}) => family === row.family && strikes.length > 0,
      );
      startRound(familyRows, {by, reason, at: unixNow()});
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
      const changedRows = others.filter(mergeRow).map(known);
      if (changedRows.length > 0) publish(changedRows, false);
    },
    applyQuarantineRules() {
      const toQuarantine = findToQuarantine(rows, aliveServers);
      if (toQuarantine.length === 0) return;
      const next = toQuarantine.map(row => ({...row, isQuarantined: true}));
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

/** Time after its last change until a row expires, in ms. */
function ttlMs({isQuarantined, cleared}: Suspect): number {
  if (isQuarantined) return Infinity;
  const isAnswered = cleared === null || cleared.by === CLEARED_BY_ANSWER;
  return isAnswered ? SUSPECT_TTL_MS : CLEARED_TTL_MS;
}
