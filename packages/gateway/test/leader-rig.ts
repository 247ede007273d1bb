import {openSync} from 'node:fs';
import {createClock} from '@banyandrum/base/clock.js';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {
  combineLimits,
  createColdLimits,
} from '@banyandrum/dispatch/cold-limits.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {toServerEntry} from '@banyandrum/dispatch/server-entry.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createEventLog} from '@banyandrum/gateway/event-log.js';
import {createKeyOwners} from '@banyandrum/gateway/key-owners.js';
import type {Leadership} from '@banyandrum/gateway/leadership.js';
import {serveLinks} from '@banyandrum/gateway/link-server.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import {
  KEY_COUNT,
  MAX_KEY,
  type ServedRange,
} from '@banyandrum/ranges/table.js';
import {createTimeModel} from '@banyandrum/service-times/time-model.js';
import {createSlotAllocator} from '@banyandrum/slots/slot-allocator.js';
import {reserveAddress} from '@banyandrum/standins/ports.js';

/** The services of a leader under load; the first one is divided by key. */
export const KEYED_SERVICE = 'keyed';
export const PLAIN_SERVICE = 'plain';

const KEYED_SERVERS = 120;
const PLAIN_SERVERS = 65;
const ROOM = {processors: 1, linkMbps: 1_000};
const DATA_CENTRES = 3;

/** What a leader has done since the last call of `take`. */
export interface LeaderWork {
  readonly asks: number;
  readonly replies: number;
  readonly refusals: number;
  readonly ends: number;
  /** Processor time of the process, in ms. */
  readonly cpuMs: number;
  readonly waiting: number;
  readonly followers: number;
  /** The longest delay of a timer, in ms. */
  readonly longestTurnMs: number;
}

/** A leader with its own links, allocator, server list and log. */
export interface LeaderRig {
  readonly address: string;
  take(): LeaderWork;
  /** Limits its processor time, as a share of one processor. */
  limitProcessor(share: number): void;
  close(): void;
}

/** Starts a leader that serves followers on a free port. */
export async function startLeader(slotsPerServer: number): Promise<LeaderRig> {
  const clock = createClock();
  const {emit} = createEventLog(openSync('/dev/null', 'w'), 'leader');
  const backends = createBackends(clock);
  const list = createServerList(clock, emit, 2_000);
  list.subscribe(() => backends.update(list.snapshot()!.servers));
  const servers = listServers(slotsPerServer);
  list.applyRead({
    kind: 'read',
    isWhole: true,
    changes: servers.map(server => ({
      kind: 'listed',
      server: toServerEntry(server, clock.now()),
    })),
    cursor: 1,
  });
  const owners = createKeyOwners(clock, emit);
  const tables = new Map([[KEYED_SERVICE, divideKeys(servers)]]);
  owners.replaceTables(tables);
  const suspects = createSuspects(clock, emit);
  const limits = createServerLimits({clock, emit});
  const coldLimits = createColdLimits({
    ...{clock, emit, backends, knownAt: list.coldKnownAt},
    coldPerSecondOf: () => 4,
    coldMsOf: () => 3_000,
  });
  const times = createTimeModel({clock});
  const counts = {asks: 0, replies: 0, refusals: 0, ends: 0};
  const allocator = createSlotAllocator({
    ...{backends, clock, emit, suspects, times, queue: 'fair'},
    limits: combineLimits(limits, coldLimits),
    ownerOf: owners.ownerOf,
    onNotHeld: () => undefined,
  });
  const listen = await reserveAddress();
  const server = await serveLinks({
    ...{listen, clock, emit, list, suspects, limits, times, room: ROOM},
    leadership: leadershipOf(tables),
    allocator: {
      ...allocator,
      ask(req, reply) {
        counts.asks++;
        const end = allocator.ask(req, answer => {
          counts.replies++;
          if (answer.kind !== 'granted') counts.refusals++;
          reply(answer);
        });
        return (...how) => {
          counts.ends++;
          end(...how);
        };
      },
    },
    configPosition: () => null,
    noteEvacuated: () => undefined,
    config: () => null,
    configAgeMs: () => 0,
    leader: () => null,
    self: {address: listen, dataCentre: 'a'},
    paths: {
      unreachableCount: () => 0,
      unreachableSince: () => null,
      subscribe: () => undefined,
    },
    carryServer: {handle: () => undefined},
    contactAgeMs: () => 0,
    onLeadershipOffered: async () => true,
    noteReplaced: () => undefined,
    noteLeaving: () => undefined,
    noteRequest: owners.noteRequest,
  });
  const throttle = throttleProcessor();
  let cpuAt = process.cpuUsage();
  return {
    address: listen,
    take() {
      const used = process.cpuUsage(cpuAt);
      cpuAt = process.cpuUsage();
      const work = {
        ...counts,
        cpuMs: (used.user + used.system) / 1_000,
        waiting: allocator.waitingCount(),
        followers: server.followers(),
        longestTurnMs: throttle.takeLongestTurn(),
      };
      Object.assign(counts, {asks: 0, replies: 0, refusals: 0, ends: 0});
      return work;
    },
    limitProcessor: throttle.limit,
    close() {
      throttle.stop();
      server.close();
    },
  };
}

function listServers(slots: number): readonly ServerInfo[] {
  return Array.from({length: KEYED_SERVERS + PLAIN_SERVERS}, (_, i) => ({
    id: `10.0.0.${i}:7000#${1_000_000 + i}`,
    service: i < KEYED_SERVERS ? KEYED_SERVICE : PLAIN_SERVICE,
    address: `10.0.0.${i}:7000`,
    dataCentre: dataCentreOf(i),
    ...{slots, isLeaving: false, coldUntil: 0},
  }));
}

/** The data centre of the router or server with this index. */
export function dataCentreOf(index: number): string {
  return 'abc'.charAt(index % DATA_CENTRES);
}

function divideKeys(servers: readonly ServerInfo[]): readonly ServedRange[] {
  const width = Math.ceil(KEY_COUNT / KEYED_SERVERS);
  return servers
    .filter(({service}) => service === KEYED_SERVICE)
    .map(({id}, i) => ({
      from: i * width,
      to: Math.min((i + 1) * width - 1, MAX_KEY),
      server: id,
    }));
}

function leadershipOf(tables: ReturnType<Leadership['tables']>): Leadership {
  return {
    isLeading: () => true,
    tables: () => tables,
    version: () => 'v1',
    addRequestCounts: () => undefined,
    subscribe: () => undefined,
  } as unknown as Leadership;
}

/** Interval at which the processor time is compared with the limit, in ms. */
const THROTTLE_MS = 5;
/** Unused processor time that is kept for later, in ms. */
const THROTTLE_BURST_MS = 10;

/**
 * Blocks the event loop whenever the process has used more than its share of
 * processor time, as a host with little of it would.
 */
function throttleProcessor(): {
  limit(share: number): void;
  takeLongestTurn(): number;
  stop(): void;
} {
  const cell = new Int32Array(new SharedArrayBuffer(4));
  let usedAt = process.cpuUsage();
  let checkedAt = performance.now();
  let share = 1;
  let creditMs = 0;
  let longestTurnMs = 0;
  const check = (): void => {
    const now = performance.now();
    const used = process.cpuUsage(usedAt);
    const turnMs = now - checkedAt;
    longestTurnMs = Math.max(longestTurnMs, turnMs);
    checkedAt = now;
    usedAt = process.cpuUsage();
    creditMs += turnMs * share - (used.user + used.system) / 1_000;
    creditMs = Math.min(creditMs, THROTTLE_BURST_MS);
    if (creditMs < 0 && share < 1) Atomics.wait(cell, 0, 0, -creditMs / share);
  };
  const timer = setInterval(check, THROTTLE_MS);
  return {
    limit(next) {
      share = next;
    },
    takeLongestTurn() {
      const longest = longestTurnMs;
      longestTurnMs = 0;
      return longest;
    },
    stop: () => clearInterval(timer),
  };
}
