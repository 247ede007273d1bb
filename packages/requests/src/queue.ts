import type {Clock} from '@banyandrum/base/clock.js';
import type {Failure} from '@banyandrum/base/failure.js';
import type {CellId, ShardId} from '@banyandrum/base/ids.js';
import type {RequestHandler} from '@banyandrum/base/request.js';
import {Err} from '@banyandrum/base/result.js';
import type {Rules} from '@banyandrum/config/rules.js';
import type {
  CellLoad,
  LedCell,
  Location,
  Owned,
  ServerObservation,
} from '@banyandrum/ownership/led-cell.js';
import type {ServerClient} from '@banyandrum/servers/client.js';
import type {DeadlineWheel} from './deadline.js';
import type {Ticket} from './fair-level.js';
import type {FairQueue, FairQueueOptions} from './fair-queue.js';
import {createHold} from './hold.js';
import {
  createLoadMeter,
  type HotKeyMeter,
  type LoadMeter,
} from './load-meter.js';
import {
  createPending,
  guard,
  leaveSpot,
  refuse,
  type Pending,
  type Spot,
} from './pending.js';
import {
  cancelled,
  expired,
  moved,
  noOwner,
  overloaded,
  tooManyWait,
} from './refusals.js';
import {createSender, type Flight} from './sender.js';
import {createServerQueue, type ServerQueue} from './server-queue.js';
import {createShardGate, type ShardGate} from './shard-gate.js';
import {snapshotOf, type QueueSnapshot} from './snapshot.js';

/** The leader's admission for one cell. */
export interface LeaderQueue {
  readonly cell: CellId;
  /** Queues the request, sends it when its turn comes, yields its answer. */
  readonly handle: RequestHandler;
  /** What waits and runs now; with a key, also what waits for it. */
  snapshot(key?: string): QueueSnapshot;
}

/** What the process that leads the cell may do with its queue. */
export interface CellQueue extends LeaderQueue {
  /** Goes on under another epoch of the same cell. */
  adopt(led: LedCell): void;
  /** Stops dispatch of a shard; resolves when none of it is in flight. */
  close(shard: ShardId): Promise<void>;
  open(shard: ShardId): void;
  /** Refuses what waits; resolves when nothing is in flight any more. */
  stop(): Promise<void>;
  load(): CellLoad;
}

/** Parts that can be switched off, so that their gain can be measured. */
export interface QueuePolicy {
  /** Turns by caller and key; else first come, first served. */
  readonly fair: boolean;
  /** Refuses on arrival what its deadline leaves no time for. */
  readonly refuseEarly: boolean;
}

export interface QueueOptions {
  readonly client: Pick<ServerClient, 'send'>;
  readonly rules: () => Pick<Rules, 'limits' | 'precedence' | 'timing'>;
  readonly clock: Clock;
  readonly wheel: DeadlineWheel;
  readonly hotKeys: HotKeyMeter | null;
  readonly policy: QueuePolicy;
}

/** How often a held queue looks whether it may go on. */
const HOLD_POLL_MS = 10;

/**
 * A request that leaves time for so many service times and still can't be
 * served in time shows an overload; one in more of a hurry shows only that.
 * The entry throttles its cell for the first kind alone.
 */
const PATIENCE = 4;

/** Part of a lease that must be left for a request that outlives it. */
const SHORT_LEASE = 1 / 4;

/** A server that kept less than this busy of late is forgotten. */
const IDLE_BUSY = 1e-5;

/**
 * Makes the admission of a cell that this process leads: exactly the slots
 * in flight at each server and a queue for each, while requests of a shard
 * that moves wait at the shard and follow it.
 *
 * @example
 * ```ts
 * const queue = createCellQueue(led, options);
 * const outcome = await queue.handle(req);
 * ```
 */
export function createCellQueue(
  first: LedCell,
  options: QueueOptions,
): CellQueue {
  const {clock, wheel, rules, policy} = options;
  const fairness: FairQueueOptions = {
    levels: () => rules().precedence,
    fair: policy.fair,
  };
  const servers = new Map<string, ServerQueue>();
  const gates = new Map<ShardId, ShardGate>();
  const load = createLoadMeter(clock, options.hotKeys);
  let led = first;
  let stopped = false;

  const handle: RequestHandler = req => {
    if (stopped) return Promise.resolve(Err(moved('no longer leading')));
    if (req.signal.aborted) return Promise.resolve(Err(cancelled()));
    return new Promise(resolve => {
      const now = clock.now();
      const pending = createPending(req, now, resolve);
      const where = led.locate(req.key);
      load.arrived(where.shard, now);
      place(pending, where);
    });
  };

  /** Puts a request where its shard is now. */
  const place = (pending: Pending, where: Location): void => {
    if (where.kind === 'unowned') return refuse(pending, noOwner(where.reason));
    const gate = gateOf(where.shard);
    if (where.kind === 'moving') follow(gate, where.settled);
    if (where.kind === 'moving' || gate.closed) return park(pending, gate);
    enqueue(pending, serverOf(where));
  };

  const replace = (pending: Pending): void =>
    place(pending, led.locate(pending.key));

  const enqueue = (pending: Pending, server: ServerQueue): void => {
    const ticket = server.waiting.push(pending);
    pending.spot = createSpot(server.waiting, ticket);
    pump(server);
    if (pending.spot?.ticket !== ticket) return;
    const waitMs = server.waitMs(ticket);
    const spareMs = pending.req.deadline - clock.now();
    if (policy.refuseEarly && waitMs + server.lowMs(pending.level) > spareMs) {
      const patient = spareMs >= PATIENCE * server.meanMs(pending.level);
      const why = patient
        ? overloaded('the queue is too long', waitMs)
        : expired(waitMs);
      return refuse(pending, why);
    }
    trim(server.waiting, pending, () =>
      overloaded('the queue is full', waitMs),
    );
    if (pending.spot === null) return;
    pending.spot.expectedMs = waitMs;
    guardWaiting(pending, server);
  };

  const createSpot = (
    queue: FairQueue<Pending>,
    ticket: Ticket<Pending>,
  ): Spot => ({queue, ticket, since: clock.now(), expectedMs: 0});

  /** Compares the estimate of its wait with what came of it. */
  const learnWait = (pending: Pending, server: ServerQueue): void => {
    if (pending.spot === null) return;
    const {since, expectedMs} = pending.spot;
    server.waited(pending.level, since, expectedMs);
  };

  const park = (pending: Pending, gate: ShardGate): void => {
    const ticket = gate.waiting.push(pending);
    pending.spot = createSpot(gate.waiting, ticket);
    trim(gate.waiting, pending, tooManyWait);
    if (pending.spot !== null) guardWaiting(pending, null);
  };

  /** Makes room for a newcomer, or refuses it where it is the last. */
  const trim = (
    queue: FairQueue<Pending>,
    newcomer: Pending,
    why: () => Failure,
  ): void => {
    const {maxQueued, maxQueuedBytes} = rules().limits;
    while (queue.size() > maxQueued || queue.bytes() > maxQueuedBytes) {
      if (newcomer.spot === null) return;
      const {item} = queue.victim(newcomer.spot.ticket, clock.now());
      refuse(item, why());
    }
  };

  const guardWaiting = (pending: Pending, server: ServerQueue | null): void => {
    const lowMs = server?.lowMs(pending.level) ?? 0;
    const until = pending.req.deadline - lowMs;
    guard(pending, wheel, until, () => {
      const ticket = pending.spot?.ticket;
      const waitMs = ticket && server ? server.waitMs(ticket) : HOLD_POLL_MS;
      if (server !== null) learnWait(pending, server);
      refuse(pending, expired(waitMs));
    });
  };

  /** Places the shard's waiting requests anew once it has settled. */
  const follow = (gate: ShardGate, settled: Promise<void>): void => {
    if (gate.settling === settled) return;
    gate.settling = settled;
    const go = (): void => {
      if (gate.settling === settled) gate.settling = null;
      if (!gate.closed) release(gate);
    };
    // The pause keeps a location that never settles from spinning.
    const later = (): void => void clock.after(HOLD_POLL_MS, go);
    settled.then(later, later);
  };

  const release = (gate: ShardGate): void =>
    gate.drain(clock.now()).forEach(replace);

  const gateOf = (shard: ShardId): ShardGate => {
    const known = gates.get(shard);
    if (known !== undefined) return known;
    const gate = createShardGate(shard, fairness);
    gates.set(shard, gate);
    return gate;
  };

  const serverOf = ({server}: Owned): ServerQueue => {
    const known = servers.get(server.name);
    known?.update(server);
    if (known !== undefined) return known;
    const queue = createServerQueue(server, fairness, clock);
    servers.set(server.name, queue);
    return queue;
  };

  /** Sends what may be sent now. */
  const pump = (server: ServerQueue): void => {
    while (server.slots.isFree() && server.waiting.size() > 0) {
      if (!led.mayAct()) {
        server.heldBack();
        return hold.lost();
      }
      hold.found();
      const ticket = server.waiting.take(clock.now());
      if (ticket === null) return;
      if (!launch(server, ticket)) return;
    }
    wakeAfterPause(server);
  };

  /** `false` where the server must be left alone for a while. */
  const launch = (server: ServerQueue, ticket: Ticket<Pending>): boolean => {
    const pending = ticket.item;
    learnWait(pending, server);
    pending.spot = null;
    const where = led.locate(pending.key);
    const gate = gateOf(where.shard);
    if (!isAt(server, where) || gate.closed) {
      place(pending, where);
      return true;
    }
    if (isLeaseShort(server, pending, where)) {
      putBack(server, ticket);
      server.heldBack();
      hold.poll();
      return false;
    }
    if (isTooLate(server, pending)) {
      refuse(pending, expired(server.meanMs(pending.level)));
      return true;
    }
    pending.unguard();
    sender.send({led, pending, where, gate, server, ticket});
    return true;
  };

  const putBack = (server: ServerQueue, ticket: Ticket<Pending>): void => {
    server.waiting.putBack(ticket);
    ticket.item.spot = createSpot(server.waiting, ticket);
  };

  const isLeaseShort = (
    server: ServerQueue,
    {level, req}: Pending,
    {leaseEnd}: Owned,
  ): boolean => {
    const left = leaseEnd - clock.now();
    if (left <= 0) return true;
    if (req.deadline <= leaseEnd) return false;
    const enough = rules().timing.leaseMs * SHORT_LEASE;
    return left < Math.min(server.meanMs(level), enough);
  };

  /** With nothing in flight it is sent all the same, to learn anew. */
  const isTooLate = (server: ServerQueue, {level, req}: Pending): boolean => {
    const left = req.deadline - clock.now();
    if (left <= 0) return true;
    return server.slots.inFlight() > 0 && left < server.lowMs(level);
  };

  const wakeAfterPause = (server: ServerQueue): void => {
    const {slots, waiting} = server;
    if (waiting.size() === 0 || slots.pausedUntil() <= clock.now()) return;
    hold.wake(server, slots.pausedUntil());
  };

  /** A request comes back from a server without having run. */
  const takeBack = (flight: Flight): void => {
    const {pending, server, ticket} = flight;
    if (stopped) return refuse(pending, moved('no longer leading'));
    const where = led.locate(pending.key);
    if (!isAt(server, where) || gateOf(where.shard).closed) {
      return place(pending, where);
    }
    putBack(server, ticket);
    guardWaiting(pending, server);
  };

  /** Those in the servers' queues that ask for the shard, oldest first. */
  const waitingFor = (shard: ShardId): readonly Pending[] =>
    [...servers.values()]
      .flatMap(server => server.waiting.items())
      .filter(pending => led.locate(pending.key).shard === shard)
      .sort((a, b) => a.queuedAt - b.queuedAt);

  /** Forgets shards and servers that nothing is left of. */
  const prune = (): void => {
    for (const [shard, gate] of gates) if (gate.isIdle()) gates.delete(shard);
    for (const [name, {slots, waiting}] of servers) {
      const empty = slots.inFlight() === 0 && waiting.size() === 0;
      if (empty && load.server(name).busy < IDLE_BUSY) servers.delete(name);
    }
  };

  const pumpAll = (): void => servers.forEach(pump);

  const refuseAll = (): void => {
    const queues = [...servers.values(), ...gates.values()];
    for (const {waiting} of queues) {
      for (const pending of waiting.items()) {
        refuse(pending, moved('no longer leading'));
      }
    }
  };

  const hold = createHold({
    clock,
    wheel,
    pollMs: HOLD_POLL_MS,
    limitMs: () => rules().timing.authorityMs,
    pump,
    pumpAll,
    giveUp: refuseAll,
  });
  const sender = createSender({
    client: options.client,
    clock,
    wheel,
    load,
    takeBack,
    ended: pump,
  });

  return {
    cell: first.cell,
    handle,
    snapshot: key => snapshotOf(servers, gates, key),
    adopt(next) {
      led = next;
      if (stopped) for (const gate of gates.values()) gate.closed = false;
      stopped = false;
      pumpAll();
    },
    close(shard) {
      const gate = gateOf(shard);
      gate.closed = true;
      for (const pending of waitingFor(shard)) {
        leaveSpot(pending);
        park(pending, gate);
      }
      return gate.idle();
    },
    open(shard) {
      const gate = gateOf(shard);
      gate.closed = false;
      release(gate);
    },
    stop() {
      stopped = true;
      refuseAll();
      return sender.idle();
    },
    load() {
      prune();
      return loadOf(load, servers);
    },
  };
}

function loadOf(
  load: LoadMeter,
  servers: ReadonlyMap<string, ServerQueue>,
): CellLoad {
  const observe = (server: ServerQueue): ServerObservation => ({
    server: server.name,
    queued: server.waiting.size(),
    serviceMs: server.meanMs(),
    ...load.server(server.name),
  });
  return {
    shards: load.shards(),
    servers: [...servers.values()].map(observe),
    hotKeys: load.hotKeys(),
  };
}

function isAt(server: ServerQueue, where: Location): where is Owned {
  return where.kind === 'owned' && where.server.name === server.name;
}
