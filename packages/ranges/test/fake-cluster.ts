import type {Clock} from '@banyandrum/base/clock.js';
import type {TableStore, SaveResult} from '@banyandrum/ranges/ledger.js';
import type {LeaseCallResult, LeaseClient} from '@banyandrum/ranges/orders.js';
import type {RangeAssignment, RangeTable} from '@banyandrum/ranges/table.js';

/** What a fake server believes to hold. */
interface FakeLease {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  readonly until: number;
}

/** A server that obeys orders, at times late, and with a slow clock. */
export interface FakeServer {
  readonly id: string;
  readonly address: string;
  isUp: boolean;
  /** Leaders whose orders don't get through. */
  readonly unreachableBy: Set<number>;
  leases: FakeLease[];
  /** The highest fence that each part of the keys was ordered with. */
  seenFences: FakeLease[];
}

/** How often things go wrong, 0 to 1. */
export interface FaultRates {
  /** An order is carried out 2 to 12 s later, without an answer. */
  late: number;
  /** An order's answer is lost. */
  unanswered: number;
  /** A write to the ledger fails. */
  unsaved: number;
}

/** Servers, the ledger, and a check that no key has two holders. */
export interface FakeCluster {
  readonly servers: FakeServer[];
  readonly faultRates: FaultRates;
  readonly violations: string[];
  createLeaseClient(leader: number): LeaseClient;
  createTableStore(): TableStore;
  /** Servers that hold the key now. */
  holdersOf(key: number): readonly string[];
}

/** Clocks of servers that measure holds run up to this much slow. */
const MAX_CLOCK_SLOWDOWN = 1.02;
const STEP_KEYS = 512;

/**
 * Makes the world that leaders act on.
 *
 * @example
 * ```ts
 * const world = createFakeWorld(clock, random, ['s1', 's2']);
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
    unreachableBy: new Set(),
    leases: [],
    seenFences: [],
  }));
  const luck: FaultRates = {late: 0, unanswered: 0, unsaved: 0};
  const violations: string[] = [];
  const granted = new Map<number, {fence: number; server: string}>();
  let tables = new Map<string, RangeTable>();
  let terms = 0;
  let owner = 0;

  const holdsKey = (server: FakeServer, key: number): boolean =>
    server.isUp &&
    server.leases.some(
      ({from, to, until}) => from <= key && key <= to && until > clock.now(),
    );

  const holdersOf = (key: number): readonly string[] =>
    servers.filter(server => holdsKey(server, key)).map(({id}) => id);

  const check = ({from, to, fence}: RangeAssignment, server: string): void => {
    for (let key = from; key <= to; key += STEP_KEYS) {
      const holders = holdersOf(key);
      if (holders.length > 1) {
        violations.push(`${key}: ${holders.join(', ')} at ${clock.now()}`);
      }
      const before = granted.get(key);
      if (before === undefined || fence > before.fence) {
        granted.set(key, {fence, server});
      } else if (before.server !== server) {
        violations.push(`${key}: fence ${fence} after ${before.fence}`);
      }
    }
  };

  const overlaps = (a: FakeLease, b: RangeAssignment): boolean =>
    a.from <= b.to && b.from <= a.to;

  const applyGrant = (
    server: FakeServer,
    holding: RangeAssignment,
    until: number,
  ): boolean => {
    const {from, to, fence} = holding;
    if (server.seenFences.some(seen => overlaps(seen, holding) && seen.fence > fence))
      return false;
    server.leases = server.leases.flatMap(hold => subtractRange(hold, holding));
    const hold = {from, to, fence, until};
    server.leases.push(hold);
    server.seenFences.push(hold);
    if (until > clock.now()) check(holding, server.id);
    return true;
  };

  const applyRelease = (server: FakeServer, holding: RangeAssignment): void => {
    server.leases = server.leases.flatMap(hold => subtractRange(hold, holding));
  };

  const carryOut = (
    leader: number,
    holding: RangeAssignment,
    apply: (server: FakeServer, arrivedAt: number) => boolean,
    withinMs: number,
  ): Promise<LeaseCallResult> =>
    new Promise(resolve => {
      const server = servers.find(({address, id, isUp, unreachableBy: cutFrom}) => {
        const isIt = address === holding.address && id === holding.server;
        return isIt && isUp && !cutFrom.has(leader);
      });
      const end = (kind: 'unsent' | 'unproved'): void => {
        clock.after(withinMs, () => resolve({kind}));
      };
      if (server === undefined) {
        clock.after(400, () => resolve({kind: 'unsent'}));
        return;
      }
      clock.after(1 + random() * 4, () => {
        const draw = random();
        const arrivedAt = clock.now();
        if (draw < luck.late) {
          clock.after(
            2_000 + random() * 10_000,
            () => void apply(server, arrivedAt),
          );
          return end('unproved');
        }
        const isDone = apply(server, arrivedAt);
        if (draw < luck.late + luck.unanswered) return end('unproved');
        clock.after(1 + random() * 4, () =>
          resolve(
            isDone
              ? {kind: 'done', handover: `h${clock.now()}`}
              : {kind: 'fenced'},
          ),
        );
      });
    });

  return {
    servers,
    faultRates: luck,
    violations,
    holdersOf,
    createLeaseClient: leader => ({
      grant(holding, holdMs, withinMs) {
        return carryOut(
          leader,
          holding,
          // The time counts from the arrival, however late it is obeyed.
          (server, arrivedAt) =>
            applyGrant(server, holding, arrivedAt + holdMs * MAX_CLOCK_SLOWDOWN),
          withinMs,
        );
      },
      release: (holding, withinMs) =>
        carryOut(
          leader,
          holding,
          server => {
            applyRelease(server, holding);
            return true;
          },
          withinMs,
        ),
    }),
    createTableStore() {
      let term = 0;
      return {
        async beginTerm() {
          term = ++terms;
          owner = term;
          return term;
        },
        isNewestTerm: async () => owner === term,
        lastLeader: async () => ({kind: 'read', address: null}),
        load: async () => [...tables.values()],
        save: table =>
          new Promise<SaveResult>(resolve => {
            clock.after(2 + random() * 8, () => {
              if (owner !== term) return resolve('fenced');
              if (random() < luck.unsaved) return resolve('failed');
              tables = new Map(tables).set(table.service, table);
              resolve('saved');
            });
          }),
      };
    },
  };
}

function subtractRange(hold: FakeLease, {from, to}: RangeAssignment): readonly FakeLease[] {
  if (hold.to < from || to < hold.from) return [hold];
  const left = {...hold, to: from - 1};
  const right = {...hold, from: to + 1};
  return [left, right].filter(each => each.from <= each.to);
}
