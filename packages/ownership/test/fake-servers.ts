/** Simulates backend servers in memory, with network faults. */
import {sleep} from '@banyandrum/base/clock.js';
import {failure} from '@banyandrum/base/failure.js';
import {
  type CellId,
  type Fence,
  type ShardId,
  compareFences,
} from '@banyandrum/base/ids.js';
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import type {
  LeaseAck,
  LeaseOrder,
  ServerClient,
  ServerError,
  ServerHealth,
  Stamp,
} from '@banyandrum/servers/client.js';
import type {ManualClock} from '@banyandrum/standins/manual-clock.js';

/** Network faults that affect one lease call. */
export interface OrderFaults {
  /** The call never arrives. */
  readonly lost?: boolean;
  /** Additional delay before it arrives, in ms. */
  readonly delayMs?: number;
  /** The server applies it, but its answer is lost. */
  readonly ackLost?: boolean;
  /** Delay after which a duplicate arrives, in ms. */
  readonly duplicateAfterMs?: number;
}

/** A lease as a simulated server keeps it. */
export interface ServerLease {
  readonly fence: Fence;
  readonly shards: readonly ShardId[];
  /** Expiry on the server's own clock. */
  readonly endsAt: number;
}

/** One simulated server. */
export interface FakeServer {
  readonly name: string;
  /** Refuses connections, so that lease calls are known not to be delivered. */
  down: boolean;
  /** Accepts lease calls, but applies them only after `thaw`. */
  frozen: boolean;
  health: ServerHealth;
  faultsFor: (order: LeaseOrder) => OrderFaults;
  /** Lease calls that were applied, in order. */
  readonly applied: LeaseOrder[];
  /** Replaces the instance by a new one without leases. */
  restart(): void;
  /** Applies the lease calls that arrived while it was frozen. */
  thaw(): void;
  stamp(): Stamp;
  activeLease(cell: CellId): ServerLease | null;
  /**
   * Latest expiry, on its own clock, of any lease of the shard that this
   * instance applied. A delayed lease call may have ended the lease earlier.
   */
  grantedUntil(cell: CellId, shard: ShardId): number;
}

export interface FakeServers {
  readonly client: ServerClient;
  readonly servers: ReadonlyMap<string, FakeServer>;
  get(name: string): FakeServer;
  /** Adds a server whose clock has its own offset and rate. */
  add(name: string): void;
}

export interface FakeServersOptions {
  readonly clock: ManualClock;
  readonly checksFences: boolean;
  /** Rate of each server's clock relative to the test's clock; 1 by default. */
  readonly clockRateOf?: ((name: string) => number) | undefined;
  /** Called each time a server has applied a lease call. */
  readonly onApplied: (server: FakeServer) => void;
}

type Answer = Result<LeaseAck, ServerError>;
type Receive = (order: LeaseOrder) => Promise<Answer>;

const LATENCY_MS = 1;

/** Creates the simulated servers of one service. */
export function createFakeServers(options: FakeServersOptions): FakeServers {
  const {clock, clockRateOf = () => 1} = options;
  const servers = new Map<string, FakeServer>();
  const receivers = new Map<string, Receive>();

  const get = (name: string): FakeServer => {
    const server = servers.get(name);
    if (server === undefined) throw new Error(`no server ${name}`);
    return server;
  };

  const add = (name: string): void => {
    const start = 1000 * servers.size;
    const time = (): number => start + clock.now() * clockRateOf(name);
    const {server, receive} = createServer(name, options, time);
    servers.set(name, server);
    receivers.set(name, receive);
  };

  const deliver = (name: string, message: LeaseOrder): Promise<Answer> => {
    const {
      lost,
      delayMs = 0,
      ackLost,
      duplicateAfterMs,
    } = get(name).faultsFor(message);
    const receive = receivers.get(name);
    return new Promise(resolve => {
      if (lost || receive === undefined) return;
      clock.after(delayMs, () => {
        void receive(message).then(answer => {
          if (!ackLost) resolve(answer);
        });
        if (duplicateAfterMs === undefined) return;
        clock.after(duplicateAfterMs, () => void receive(message));
      });
    });
  };

  const client: ServerClient = {
    async order(ref, message, signal) {
      await sleep(clock, LATENCY_MS);
      if (get(ref.name).down) return fail('unreachable');
      const aborted = new Promise<Answer>(resolve => {
        const giveUp = (): void => resolve(fail('unknown'));
        if (signal?.aborted) giveUp();
        signal?.addEventListener('abort', giveUp);
      });
      return Promise.race([deliver(ref.name, message), aborted]);
    },
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
  return {client, servers, get, add};
}

interface Simulation {
  readonly server: FakeServer;
  readonly receive: Receive;
}

function createServer(
  name: string,
  options: FakeServersOptions,
  time: () => number,
): Simulation {
  const {checksFences} = options;
  let instance = 1;
  let leases = new Map<CellId, ServerLease>();
  let untilThawed: (() => void)[] = [];

  const stamp = (): Stamp => ({boot: `${name}-${instance}`, ms: time()});

  const activeLease = (cell: CellId): ServerLease | null => {
    const lease = leases.get(cell);
    return lease !== undefined && time() < lease.endsAt ? lease : null;
  };

  const apply = (order: LeaseOrder): Answer => {
    const {cell, fence, shards, echo} = order;
    const known = leases.get(cell)?.fence;
    if (echo === null) return report(cell);
    if (checksFences && known && compareFences(fence, known) < 0) {
      return Err({kind: 'fenced', detail: 'lower fence', fence: known});
    }
    const endsAt = echo.ms + order.ttlMs;
    const isExpired = echo.boot !== stamp().boot || endsAt <= time();
    if (isExpired) return report(cell);
    leases.set(cell, {fence, shards, endsAt});
    server.applied.push(order);
    options.onApplied(server);
    return report(cell);
  };

  const report = (cell: CellId): Answer => {
    const lease = activeLease(cell);
    const known = checksFences ? (leases.get(cell) ?? null) : lease;
    return Ok({
      stamp: stamp(),
      fence: known?.fence ?? null,
      shards: lease?.shards ?? [],
    });
  };

  const server: FakeServer = {
    name,
    down: false,
    frozen: false,
    health: 'ok',
    faultsFor: () => ({}),
    applied: [],
    restart() {
      server.down = false;
      server.frozen = false;
      untilThawed = [];
      instance++;
      leases = new Map();
    },
    thaw() {
      server.frozen = false;
      const pending = untilThawed;
      untilThawed = [];
      for (const resume of pending) resume();
    },
    stamp,
    activeLease,
    grantedUntil: (cell, shard) =>
      Math.max(
        -Infinity,
        ...server.applied
          .filter(({echo}) => echo?.boot === stamp().boot)
          .filter(order => order.cell === cell && order.shards.includes(shard))
          .map(({echo, ttlMs}) => (echo?.ms ?? -Infinity) + ttlMs),
      ),
  };

  const receive: Receive = async order => {
    const target = instance;
    if (server.frozen)
      await new Promise<void>(resume => untilThawed.push(resume));
    if (target !== instance || server.down) return fail('unknown');
    return apply(order);
  };

  return {server, receive};
}

function fail(kind: 'unreachable' | 'unknown'): Result<never, ServerError> {
  return Err({kind, detail: 'simulated'});
}
