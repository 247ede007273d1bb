/** Backend servers simulated in memory, with faults on the way to them. */
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import {sleep} from '@banyandrum/base/clock.js';
import {failure} from '@banyandrum/base/failure.js';
import {type Fence, type ShardId, compareFences} from '@banyandrum/base/ids.js';
import type {
  LeaseAck,
  LeaseOrder,
  ServerClient,
  ServerError,
  ServerHealth,
} from '@banyandrum/servers/client.js';
import type {ManualClock} from '@banyandrum/standins/manual-clock.js';

/** What happens to one order on its way. */
export interface OrderFate {
  /** Never arrives. */
  readonly lost?: boolean;
  /** Arrives this much later than usual, in ms. */
  readonly delayMs?: number;
  /** Is obeyed, but its answer never arrives. */
  readonly ackLost?: boolean;
  /** A second copy arrives this much after the first, in ms. */
  readonly copyAfterMs?: number;
}

/** One simulated server. */
export interface FakeServer {
  readonly name: string;
  /** Refuses connections: orders are proved not delivered. */
  down: boolean;
  /** Takes orders in, and obeys them only once it is thawed. */
  frozen: boolean;
  health: ServerHealth;
  fate: (order: LeaseOrder) => OrderFate;
  /** Orders that arrived, in turn. */
  readonly orders: LeaseOrder[];
  /** Ends the run and starts another, which holds nothing. */
  restart(): void;
  /** Goes on with what came while it was frozen. */
  thaw(): void;
  /** Shards that it believes it may serve for a cell. */
  believes(cell: string): readonly ShardId[];
}

export interface FakeServers {
  readonly client: ServerClient;
  readonly servers: ReadonlyMap<string, FakeServer>;
  get(name: string): FakeServer;
}

const LATENCY_MS = 1;

/**
 * Makes simulated servers; each one's clock starts at its own time and runs
 * at its own pace.
 */
export function createFakeServers(
  clock: ManualClock,
  names: readonly string[],
  checksFences: boolean,
  paceOf: (name: string) => number = () => 1,
): FakeServers {
  const servers = new Map<string, FakeServer>();
  const arrivals = new Map<string, Arrive>();
  for (const [index, name] of names.entries()) {
    const time = (): number => 1000 * index + clock.now() * paceOf(name);
    const {server, arrive} = createServer(name, checksFences, time);
    servers.set(name, server);
    arrivals.set(name, arrive);
  }

  const get = (name: string): FakeServer => {
    const server = servers.get(name);
    if (server === undefined) throw new Error(`no server ${name}`);
    return server;
  };

  const order: ServerClient['order'] = async (ref, message, signal) => {
    const server = get(ref.name);
    const arrive = arrivals.get(ref.name);
    if (arrive === undefined) throw new Error(`no server ${ref.name}`);
    const fate = server.fate(message);
    await sleep(clock, LATENCY_MS);
    if (server.down) return fail('unreachable');
    const answer = new Promise<Result<LeaseAck, ServerError>>(resolve => {
      if (fate.lost) return;
      const {delayMs = 0, copyAfterMs} = fate;
      clock.after(delayMs, () => {
        void arrive(message).then(result => {
          if (!fate.ackLost) resolve(result);
        });
        if (copyAfterMs === undefined) return;
        clock.after(copyAfterMs, () => void arrive(message));
      });
    });
    const aborted = new Promise<Result<LeaseAck, ServerError>>(resolve => {
      const giveUp = (): void => resolve(fail('unknown'));
      if (signal?.aborted) giveUp();
      signal?.addEventListener('abort', giveUp);
    });
    return Promise.race([answer, aborted]);
  };

  const client: ServerClient = {
    order,
    async load(ref) {
      const {down, frozen, health} = get(ref.name);
      await sleep(clock, LATENCY_MS);
      if (down || frozen) return fail('unknown');
      return Ok({health, busy: 0, slots: ref.slots, queued: 0});
    },
    send: () =>
      Promise.resolve(Err(failure('not-run', 'internal', 'not simulated'))),
    forget: () => {},
    close: () => Promise.resolve(),
  };
  return {client, servers, get};
}

type Arrive = (order: LeaseOrder) => Promise<Result<LeaseAck, ServerError>>;

interface HeldLease {
  readonly fence: Fence;
  readonly shards: readonly ShardId[];
  readonly endsAt: number;
}

interface Simulation {
  readonly server: FakeServer;
  readonly arrive: Arrive;
}

function createServer(
  name: string,
  checksFences: boolean,
  time: () => number,
): Simulation {
  let run = 0;
  let boot = '';
  let leases = new Map<string, HeldLease>();
  let thawed: (() => void)[] = [];

  const start = (): void => {
    boot = `${name}-run-${++run}`;
    leases = new Map();
  };
  start();

  const live = (cell: string): HeldLease | undefined => {
    const lease = leases.get(cell);
    return lease !== undefined && time() < lease.endsAt ? lease : undefined;
  };

  const obey = (order: LeaseOrder): Result<LeaseAck, ServerError> => {
    const known = leases.get(order.cell)?.fence;
    if (order.echo === null) return report(order.cell);
    if (checksFences && known && compareFences(order.fence, known) < 0) {
      return Err({kind: 'fenced', detail: 'lower fence', fence: known});
    }
    const endsAt = order.echo.ms + order.ttlMs;
    if (order.echo.boot !== boot || endsAt <= time()) return report(order.cell);
    const {fence, shards} = order;
    leases.set(order.cell, {fence, shards, endsAt});
    return report(order.cell);
  };

  const report = (cell: string): Result<LeaseAck, ServerError> => {
    const lease = checksFences ? leases.get(cell) : live(cell);
    return Ok({
      stamp: {boot, ms: time()},
      fence: lease?.fence ?? null,
      shards: live(cell)?.shards ?? [],
    });
  };

  const server: FakeServer = {
    name,
    down: false,
    frozen: false,
    health: 'ok',
    fate: () => ({}),
    orders: [],
    restart() {
      server.down = false;
      server.frozen = false;
      thawed = [];
      start();
    },
    thaw() {
      server.frozen = false;
      const waiting = thawed;
      thawed = [];
      for (const go of waiting) go();
    },
    believes: cell => live(cell)?.shards ?? [],
  };

  const arrive: Arrive = async order => {
    const target = run;
    if (server.frozen) await new Promise<void>(go => thawed.push(go));
    if (target !== run || server.down) return fail('unknown');
    server.orders.push(order);
    return obey(order);
  };

  return {server, arrive};
}

function fail(kind: 'unreachable' | 'unknown'): Result<never, ServerError> {
  return Err({kind, detail: 'simulated'});
}
