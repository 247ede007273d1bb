import type {Clock} from '@banyandrum/base/clock.js';
import type {Ledger, SaveEnd} from '@banyandrum/ranges/ledger.js';
import type {OrderEnd, Orders} from '@banyandrum/ranges/orders.js';
import type {Holding, RangeTable} from '@banyandrum/ranges/table.js';

/** What a fake server believes to hold. */
interface Hold {
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
  readonly cutFrom: Set<number>;
  holds: Hold[];
  /** The highest fence that each part of the keys was ordered with. */
  seen: Hold[];
}

/** How often things go wrong, 0 to 1. */
export interface Luck {
  /** An order is carried out 2 to 12 s later, without an answer. */
  late: number;
  /** An order's answer is lost. */
  unanswered: number;
  /** A write to the ledger fails. */
  unsaved: number;
}

/** Servers, the ledger, and a check that no key has two holders. */
export interface FakeWorld {
  readonly servers: FakeServer[];
  readonly luck: Luck;
  readonly violations: string[];
  ordersFor(leader: number): Orders;
  createLedger(): Ledger;
  /** Servers that hold the key now. */
  holdersOf(key: number): readonly string[];
}

/** Clocks of servers that measure holds run up to this much slow. */
const SLOW = 1.02;
const STEP_KEYS = 512;

/**
 * Makes the world that leaders act on.
 *
 * @example
 * ```ts
 * const world = createFakeWorld(clock, random, ['s1', 's2']);
 * ```
 */
export function createFakeWorld(
  clock: Clock,
  random: () => number,
  ids: readonly string[],
): FakeWorld {
  const servers: FakeServer[] = ids.map((id, at) => ({
    id,
    address: `10.0.0.${at}:80`,
    isUp: true,
    cutFrom: new Set(),
    holds: [],
    seen: [],
  }));
  const luck: Luck = {late: 0, unanswered: 0, unsaved: 0};
  const violations: string[] = [];
  const granted = new Map<number, {fence: number; server: string}>();
  let tables = new Map<string, RangeTable>();
  let terms = 0;
  let owner = 0;

  const holdsKey = (server: FakeServer, key: number): boolean =>
    server.isUp &&
    server.holds.some(
      ({from, to, until}) => from <= key && key <= to && until > clock.now(),
    );

  const holdersOf = (key: number): readonly string[] =>
    servers.filter(server => holdsKey(server, key)).map(({id}) => id);

  const check = ({from, to, fence}: Holding, server: string): void => {
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

  const overlaps = (a: Hold, b: Holding): boolean =>
    a.from <= b.to && b.from <= a.to;

  const applyGrant = (
    server: FakeServer,
    holding: Holding,
    until: number,
  ): boolean => {
    const {from, to, fence} = holding;
    if (server.seen.some(seen => overlaps(seen, holding) && seen.fence > fence))
      return false;
    server.holds = server.holds.flatMap(hold => without(hold, holding));
    const hold = {from, to, fence, until};
    server.holds.push(hold);
    server.seen.push(hold);
    if (until > clock.now()) check(holding, server.id);
    return true;
  };

  const applyRelease = (server: FakeServer, holding: Holding): void => {
    server.holds = server.holds.flatMap(hold => without(hold, holding));
  };

  const carryOut = (
    leader: number,
    holding: Holding,
    apply: (server: FakeServer, arrivedAt: number) => boolean,
    withinMs: number,
  ): Promise<OrderEnd> =>
    new Promise(resolve => {
      const server = servers.find(({address, id, isUp, cutFrom}) => {
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
    luck,
    violations,
    holdersOf,
    ordersFor: leader => ({
      grant(holding, holdMs, withinMs) {
        return carryOut(
          leader,
          holding,
          // The time counts from the arrival, however late it is obeyed.
          (server, arrivedAt) =>
            applyGrant(server, holding, arrivedAt + holdMs * SLOW),
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
    createLedger() {
      let term = 0;
      return {
        async begin() {
          term = ++terms;
          owner = term;
          return term;
        },
        isNewest: async () => owner === term,
        lastLeader: async () => ({kind: 'read', address: null}),
        load: async () => [...tables.values()],
        save: table =>
          new Promise<SaveEnd>(resolve => {
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

function without(hold: Hold, {from, to}: Holding): readonly Hold[] {
  if (hold.to < from || to < hold.from) return [hold];
  const left = {...hold, to: from - 1};
  const right = {...hold, from: to + 1};
  return [left, right].filter(each => each.from <= each.to);
}
