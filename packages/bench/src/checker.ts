import type {Belief} from '@banyandrum/standins/server-beliefs.js';
import type {Execution} from '@banyandrum/standins/server-record.js';
import {request} from 'undici';
import type {ServerAddress} from './deployment.js';
import type {Sample} from './probe-load.js';

/** What the servers recorded, not what routers say. */
export interface ServerRecords {
  readonly executions: readonly Execution[];
  readonly beliefs: readonly Belief[];
}

/** Broken promises; every list must be empty. */
export interface Violations {
  /** Shards that two servers believed to own at one time. */
  readonly doubleOwners: readonly string[];
  /** Requests not to be repeated that ran more than once. */
  readonly doubledRequests: readonly string[];
  /** Requests said not to have run that ran. */
  readonly falseNotRun: readonly string[];
  /** Records confirmed to the caller that no server has. */
  readonly lostRecords: readonly string[];
  /** Answers that were not their caller's own, or not whole. */
  readonly mixedAnswers: readonly string[];
}

/** Reads what all servers recorded since they began. */
export async function readRecords(
  servers: readonly ServerAddress[],
): Promise<ServerRecords> {
  const all = await Promise.all(servers.map(readServer));
  return {
    executions: all.flatMap(({executions}) => executions),
    beliefs: all.flatMap(({beliefs}) => beliefs),
  };
}

/**
 * Holds the callers' samples against the servers' records.
 *
 * @example
 * ```ts
 * const {doubleOwners} = findViolations(records, load.samples);
 * ```
 */
export function findViolations(
  records: ServerRecords,
  samples: readonly Sample[],
): Violations {
  const {executions, beliefs} = records;
  const runs = countRuns(executions);
  const told = samples.filter(({requestId}) => requestId !== null);
  const runsOf = (sample: Sample): number => runs.get(sample.requestId!) ?? 0;
  return {
    doubleOwners: findDoubleOwners(beliefs),
    doubledRequests: executions
      .filter(({once, requestId}) => once && runs.get(requestId)! > 1)
      .map(({requestId, server}) => `${requestId} on ${server}`),
    falseNotRun: told
      .filter(sample => sample.verdict === 'not-run' && runsOf(sample) > 0)
      .map(({requestId}) => requestId!),
    lostRecords: told
      .filter(sample => sample.status === 201 && runsOf(sample) === 0)
      .map(({requestId}) => requestId!),
    mixedAnswers: samples
      .filter(({isOwn}) => !isOwn)
      .map(({requestId, target}) => `${target} ${requestId}`),
  };
}

/** How many promises were broken, by kind. */
export function countViolations(violations: Violations): number {
  return Object.values(violations).reduce(
    (sum: number, list: readonly string[]) => sum + list.length,
    0,
  );
}

/** Shards that went from one server to another between two times. */
export function countMoves(beliefs: readonly Belief[], fromMs: number): number {
  const moved = new Set<string>();
  for (const [shard, periods] of byShard(beliefs)) {
    const before = lastOwner(periods.filter(entry => entry.fromMs < fromMs));
    const owners = periods
      .filter(entry => entry.fromMs >= fromMs)
      .map(({server}) => server);
    if (owners.some(server => server !== before)) moved.add(shard);
  }
  return moved.size;
}

interface ServerReply {
  readonly executions: readonly Execution[];
  readonly beliefs: readonly Belief[];
}

async function readServer({address}: ServerAddress): Promise<ServerReply> {
  const [executions, beliefs] = await Promise.all(
    ['executions', 'beliefs'].map(async kind => {
      const res = await request(`http://${address}/standin/${kind}`);
      return (await res.body.json()) as Partial<ServerReply>;
    }),
  );
  return {
    executions: executions!.executions!,
    beliefs: beliefs!.beliefs!,
  };
}

function countRuns(
  executions: readonly Execution[],
): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  for (const {requestId} of executions) {
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
  }
  return runs;
}

interface Period {
  readonly server: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

function byShard(
  beliefs: readonly Belief[],
): ReadonlyMap<string, readonly Period[]> {
  const shards = new Map<string, Period[]>();
  for (const {server, cell, shards: held, fromMs, untilMs} of beliefs) {
    for (const shard of held) {
      const id = `${cell}#${shard}`;
      const periods = shards.get(id) ?? [];
      periods.push({server, fromMs, untilMs});
      shards.set(id, periods);
    }
  }
  for (const periods of shards.values()) {
    periods.sort((a, b) => a.fromMs - b.fromMs);
  }
  return shards;
}

function lastOwner(periods: readonly Period[]): string | null {
  return periods[periods.length - 1]?.server ?? null;
}

function findDoubleOwners(beliefs: readonly Belief[]): readonly string[] {
  const found: string[] = [];
  for (const [shard, periods] of byShard(beliefs)) {
    let latest: Period | null = null;
    for (const period of periods) {
      if (
        latest !== null &&
        latest.server !== period.server &&
        period.fromMs < latest.untilMs
      ) {
        const overlap = Math.round(latest.untilMs - period.fromMs);
        const pair = `${latest.server} and ${period.server}`;
        found.push(`${shard}: ${pair} for ${overlap} ms`);
      }
      if (latest === null || period.untilMs > latest.untilMs) latest = period;
    }
  }
  return found;
}
