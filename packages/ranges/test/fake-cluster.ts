import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {TableStore, SaveResult} from '@banyandrum/ranges/table-store.js';
import type {
  LeaseCallResult,
  LeaseClient,
} from '@banyandrum/ranges/lease-client.js';
import type {
  KeyRange,
  RangeAssignment,
  RangeTable,
} from '@banyandrum/ranges/table.js';

/** A lease as a fake server tracks it. */
interface FakeLease {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  readonly expiresAt: number;
}

/** A server that carries out calls, sometimes late, and with a slow clock. */
export interface FakeServer {
  readonly id: string;
  readonly address: string;
  isUp: boolean;
  /** Number of the process that runs under this id. */
  process: number;
  /** Numbers of the leaders that can't reach this server. */
  readonly unreachableBy: Set<number>;
  leases: FakeLease[];
  /** Every range that was granted, with its fence. */
  seenFences: FakeLease[];
}

/** Probabilities of faults, from 0 to 1. */
export interface FaultRates {
  /** A call is carried out 2 to 12 s later and not answered. */
  late: number;
  /** The answer to a call is lost. */
  unanswered: number;
  /** A write to the table store fails. */
  unsaved: number;
  /**
   * In place of the answer to a renewal, the server sends an earlier one again,
   * and carries the renewal out 0.5 to 3.5 s later.
   */
  copied: number;
}

/** Servers and a table store; checks that no key has two lease holders. */
export interface FakeCluster {
  readonly servers: FakeServer[];
  readonly faultRates: FaultRates;
  readonly violations: string[];
  /**
   * Whether servers return the ids of lease calls, by which copies of answers
   * are told from others; true by default.
   */
  returnsIds: boolean;
  /** Time that a server needs to release the keys, in ms; 0 by default. */
  releaseMs: (range: KeyRange) => number;
  createLeaseClient(leader: number): LeaseClient;
  createTableStore(): TableStore;
  /** Starts another process under the server's id, which knows nothing. */
  restart(server: FakeServer): void;
  /** Ids of the servers that hold a lease on the key now. */
  holdersOf(key: number): readonly string[];
}

/** Factor by which a server's slow clock prolongs a lease. */
const MAX_CLOCK_SLOWDOWN = 1.02;
const STEP_KEYS = 512;

/**
 * Creates the servers and the table store that test leaders work with.
 *
 * @example
 * ```ts
 * const cluster = createFakeCluster(clock, random, ['s1', 's2']);
 * ```
 */
export function createFakeCluster(
  clock: Clock,
  random: () => number,
  ids: readonly string[],
): FakeCluster {
  const servers: FakeServer[] = ids.map((id, at) => ({
    id,
    address: `10.0.0.${at}:80`,
    isUp: true,
    process: 0,
    unreachableBy: new Set(),
    leases: [],
    seenFences: [],
  }));
  const faultRates: FaultRates = {
    ...{late: 0, unanswered: 0, unsaved: 0, copied: 0},
  };
  const violations: string[] = [];
  const granted = new Map<number, {fence: number; holder: string}>();
  let tables = new Map<string, RangeTable>();
  let terms = 0;
  let newestTerm = 0;

  const holdsKey = (server: FakeServer, key: number): boolean =>
    server.isUp &&
    server.leases.some(
      ({from, to, expiresAt}) =>
        from <= key && key <= to && expiresAt > clock.now(),
    );

  const holdersOf = (key: number): readonly string[] =>
    servers.filter(server => holdsKey(server, key)).map(({id}) => id);

  const check = (
    {from, to, fence}: RangeAssignment,
    {id, process}: FakeServer,
  ): void => {
    const holder = `${id}, process ${process}`;
    for (let key = from; key <= to; key += STEP_KEYS) {
      const holders = holdersOf(key);
      if (holders.length > 1) {
        violations.push(`${key}: holders ${holders.join(', ')}`);
      }
      const before = granted.get(key);
      if (before === undefined || fence > before.fence) {
        granted.set(key, {fence, holder});
      } else if (before.holder !== holder) {
        violations.push(`${key}: fence ${fence} after ${before.fence}`);
      }
    }
  };

  const overlaps = (a: FakeLease, b: RangeAssignment): boolean =>
    a.from <= b.to && b.from <= a.to;

  const applyGrant = (
    server: FakeServer,
    assignment: RangeAssignment,
    expiresAt: number,
  ): boolean => {
    const {from, to, fence} = assignment;
    if (
      server.seenFences.some(
        seen => overlaps(seen, assignment) && seen.fence > fence,
      )
    )
      return false;
    server.leases = server.leases.flatMap(lease =>
      subtractRange(lease, assignment),
    );
    const lease = {from, to, fence, expiresAt};
    server.leases.push(lease);
    server.seenFences.push(lease);
    if (expiresAt > clock.now()) check(assignment, server);
    return true;
  };

  const applyRelease = (
    server: FakeServer,
    assignment: RangeAssignment,
  ): void => {
    server.leases = server.leases.flatMap(lease =>
      subtractRange(lease, assignment),
    );
  };

  const deliver = (
    leader: number,
    assignment: RangeAssignment,
    apply: (server: FakeServer, arrivedAt: number) => boolean,
    timeoutMs: number,
  ): Promise<LeaseCallResult> =>
    new Promise(resolvePromise => {
      const resolve = (result: LeaseCallResult): void => {
        sessions.note(leader, assignment.server!, result);
        resolvePromise(result);
      };
      const server = servers.find(({address, id, isUp, unreachableBy}) => {
        const isAddressed =
          address === assignment.address && id === assignment.server;
        return isAddressed && isUp && !unreachableBy.has(leader);
      });
      const resolveAtTimeout = (kind: 'unsent' | 'unproved'): void => {
        clock.after(timeoutMs, () => resolve({kind}));
      };
      if (server === undefined) {
        clock.after(400, () => resolve({kind: 'unsent'}));
        return;
      }
      const {process} = server;
      clock.after(1 + random() * 4, () => {
        if (server.process !== process) return resolveAtTimeout('unproved');
        const draw = random();
        const arrivedAt = clock.now();
        if (draw < faultRates.late) {
          clock.after(2_000 + random() * 10_000, () => {
            if (server.process === process) apply(server, arrivedAt);
          });
          return resolveAtTimeout('unproved');
        }
        const isDone = apply(server, arrivedAt);
        if (draw < faultRates.late + faultRates.unanswered)
          return resolveAtTimeout('unproved');
        clock.after(1 + random() * 4, () =>
          resolve(
            isDone
              ? {kind: 'done', handover: `h${clock.now()}`, mayBeCopy: false}
              : {kind: 'fenced'},
          ),
        );
      });
    });

  const sessions = createSessions(clock, servers);

  /** The server sends a copy of an answer, and renews the lease later. */
  const renewLate = (
    assignment: RangeAssignment,
    leaseMs: number,
  ): LeaseCallResult => {
    const server = servers.find(({id}) => id === assignment.server)!;
    const {process} = server;
    const expiresAt = clock.now() + leaseMs * MAX_CLOCK_SLOWDOWN;
    clock.after(500 + random() * 3_000, () => {
      if (server.process === process) applyGrant(server, assignment, expiresAt);
    });
    return cluster.returnsIds
      ? {kind: 'unproved'}
      : {kind: 'done', handover: null, mayBeCopy: true};
  };

  const cluster: FakeCluster = {
    servers,
    faultRates,
    violations,
    returnsIds: true,
    releaseMs: () => 0,
    holdersOf,
    createLeaseClient: leader => ({
      async renew(assignment, leaseMs, timeoutMs, acceptedAt) {
        const state = sessions.check(leader, assignment.server!, acceptedAt);
        if (state === 'none') return {kind: 'session-lost'};
        // The connection was open to a process that has ended.
        if (state === 'reset') return {kind: 'unproved'};
        if (faultRates.copied > 0 && random() < faultRates.copied)
          return renewLate(assignment, leaseMs);
        const result = await this.grant(assignment, leaseMs, timeoutMs);
        return result.kind === 'done'
          ? {...result, mayBeCopy: !cluster.returnsIds}
          : result;
      },
      grant(assignment, leaseMs, timeoutMs) {
        return deliver(
          leader,
          assignment,
          // A lease starts when the call arrives, however late it is carried
          // out.
          (server, arrivedAt) =>
            applyGrant(
              server,
              assignment,
              arrivedAt + leaseMs * MAX_CLOCK_SLOWDOWN,
            ),
          timeoutMs,
        );
      },
      async release(assignment, timeoutMs) {
        const result = await deliver(
          leader,
          assignment,
          server => {
            applyRelease(server, assignment);
            return true;
          },
          timeoutMs,
        );
        const releaseMs = cluster.releaseMs(assignment);
        if (result.kind === 'done' && releaseMs > 0)
          await sleep(clock, releaseMs);
        return result;
      },
    }),
    restart(server) {
      server.process++;
      server.leases = [];
      server.seenFences = [];
    },
    createTableStore() {
      let term = 0;
      return {
        async beginTerm() {
          term = ++terms;
          newestTerm = term;
          return term;
        },
        previousLeader: async () => null,
        isNewestTerm: async () => newestTerm === term,
        lastLeader: async () => ({kind: 'read', address: null}),
        load: async () => [...tables.values()],
        save: table =>
          new Promise<SaveResult>(resolve => {
            clock.after(2 + random() * 8, () => {
              if (newestTerm !== term) return resolve('fenced');
              if (random() < faultRates.unsaved) return resolve('failed');
              tables = new Map(tables).set(table.service, table);
              resolve('saved');
            });
          }),
      };
    },
  };
  return cluster;
}

/** Whether a violation is of two holders, not of a fence that didn't rise. */
export function isTwoHolders(violation: string): boolean {
  return violation.includes('holders');
}

/** The leaders' connections to the servers, one for each pair. */
interface Sessions {
  /** Opens or closes the connection, as the outcome of a call tells. */
  note(leader: number, server: string, result: LeaseCallResult): void;
  /** Whether a connection that had an answer by `time` is open. */
  check(leader: number, server: string, time: number): SessionState;
}

type SessionState = 'open' | 'reset' | 'none';

function createSessions(
  clock: Clock,
  servers: readonly FakeServer[],
): Sessions {
  const open = new Map<string, {process: number; since: number}>();
  const processOf = (server: string): number =>
    servers.find(({id}) => id === server)!.process;
  return {
    note(leader, server, {kind}) {
      const key = `${leader} ${server}`;
      if (kind === 'unsent' || kind === 'unproved')
        return void open.delete(key);
      const process = processOf(server);
      if (open.get(key)?.process === process) return;
      open.set(key, {process, since: clock.now()});
    },
    check(leader, server, time) {
      const key = `${leader} ${server}`;
      const session = open.get(key);
      if (session === undefined || session.since > time) return 'none';
      if (session.process === processOf(server)) return 'open';
      open.delete(key);
      return 'reset';
    },
  };
}

function subtractRange(
  lease: FakeLease,
  {from, to}: RangeAssignment,
): readonly FakeLease[] {
  if (lease.to < from || to < lease.from) return [lease];
  const left = {...lease, to: from - 1};
  const right = {...lease, from: to + 1};
  return [left, right].filter(each => each.from <= each.to);
}
