import type {Clock} from '@banyandrum/base/clock.js';
import type {CellId, ShardId} from '@banyandrum/base/ids.js';
import type {RequestHandler} from '@banyandrum/base/request.js';
import {Err} from '@banyandrum/base/result.js';
import type {Rules} from '@banyandrum/config/rules.js';
import type {
  CellLoad,
  GateWait,
  LedCell,
  Location,
  Owned,
} from '@banyandrum/ownership/led-cell.js';
import type {ServerClient} from '@banyandrum/servers/client.js';
import {cellLoadOf} from './cell-load.js';
import type {DeadlineWheel} from './deadline.js';
import type {Ticket} from './fair-level.js';
import type {FairQueueOptions} from './fair-queue.js';
import {createHold} from './hold.js';
import {isAt, isLeaseShort, isTooLate} from './launch-checks.js';
import {createLoadMeter, type HotKeyMeter} from './load-meter.js';
import {createPending, leaveSpot, refuse, type Pending} from './pending.js';
import {cancelled, expired, moved, noOwner} from './refusals.js';
import {createSender, type Flight} from './sender.js';
import {createServerQueue, type ServerQueue} from './server-queue.js';
import {createShardGates} from './shard-gates.js';
import {snapshotOf, type QueueSnapshot} from './snapshot.js';
import {createWaitingRoom} from './waiting-room.js';

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
  close(shard: ShardId, wait?: GateWait): Promise<void>;
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
  const load = createLoadMeter(clock, options.hotKeys);
  let led = first;
  let stopped = false;

  const handle: RequestHandler = req => {
    if (stopped) return Promise.resolve(Err(moved('no longer leading')));
    if (req.signal.aborted) return Promise.resolve(Err(cancelled()));
    return new Promise(resolve => {
      const now = clock.now();
      const levels = rules().precedence.length;
      const pending = createPending(req, levels, now, resolve);
      const where = led.locate(req.key);
      load.arrived(where.shard, now);
      place(pending, where);
    });
  };

  /** Puts a request where its shard is now. */
  const place = (pending: Pending, where: Location): void => {
    if (where.kind === 'unowned') return refuse(pending, noOwner(where.reason));
    const gate = gates.of(where.shard);
    if (where.kind === 'moving') {
      room.park(pending, gate);
      return gates.follow(gate, where.settled);
    }
    if (gate.closed) return room.park(pending, gate);
    const server = serverOf(where);
    const ticket = room.enter(pending, server);
    pump(server);
    if (pending.spot?.ticket === ticket) room.admit(pending, server);
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
      if (ticket === null || !launch(server, ticket)) return;
    }
    wakeAfterPause(server);
  };

  /** `false` where the server must be left alone for a while. */
  const launch = (server: ServerQueue, ticket: Ticket<Pending>): boolean => {
    const pending = ticket.item;
    room.leave(pending, server);
    const where = led.locate(pending.key);
    const gate = gates.of(where.shard);
    if (!isAt(server, where) || gate.closed) {
      place(pending, where);
      return true;
    }
    if (mustAwaitRenewal(server, pending, where)) {
      room.putBack(ticket, server);
      server.heldBack();
      hold.poll();
      return false;
    }
    if (isTooLate(server, pending, clock.now())) {
      refuse(pending, expired(server.meanMs(pending.level)));
      return true;
    }
    pending.unguard();
    sender.send({led, pending, where, gate, server, ticket});
    return true;
  };

  const mustAwaitRenewal = (
    server: ServerQueue,
    {level, req}: Pending,
    {leaseEnd, checksFences}: Owned,
  ): boolean => {
    const leftMs = leaseEnd - clock.now();
    const outlives = !checksFences && req.deadline > leaseEnd;
    const {leaseMs} = rules().timing;
    return isLeaseShort(leftMs, leaseMs, outlives, server.meanMs(level));
  };

  const wakeAfterPause = (server: ServerQueue): void => {
    const {slots, waiting} = server;
    if (waiting.size() === 0 || slots.pausedUntil() <= clock.now()) return;
    hold.wake(server, slots.pausedUntil());
  };

  /** A request comes back from a server without having run. */
  const takeBack = ({pending, server, ticket}: Flight): void => {
    if (stopped) return refuse(pending, moved('no longer leading'));
    const where = led.locate(pending.key);
    const stays = isAt(server, where) && !gates.of(where.shard).closed;
    if (stays) room.putBack(ticket, server);
    else place(pending, where);
  };

  /** Those in the servers' queues that ask for the shard, oldest first. */
  const waitingFor = (shard: ShardId): readonly Pending[] =>
    [...servers.values()]
      .flatMap(server => server.waiting.items())
      .filter(pending => led.locate(pending.key).shard === shard)
      .sort((a, b) => a.queuedAt - b.queuedAt);

  const refuseAll = (): void => {
    const queues = [...servers.values(), ...gates.all()];
    for (const {waiting} of queues) {
      for (const pending of waiting.items()) {
        refuse(pending, moved('no longer leading'));
      }
    }
  };

  const pruneServers = (): void => {
    for (const [name, {slots, waiting}] of servers) {
      const empty = slots.inFlight() === 0 && waiting.size() === 0;
      if (empty && load.server(name).busy < IDLE_BUSY) servers.delete(name);
    }
  };

  const pumpAll = (): void => servers.forEach(pump);

  const room = createWaitingRoom({
    clock,
    wheel,
    rules,
    refuseEarly: policy.refuseEarly,
  });
  const gates = createShardGates({
    clock,
    fairness,
    replace: pending => place(pending, led.locate(pending.key)),
  });
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
    snapshot: key => snapshotOf([...servers.values()], gates.all(), key),
    adopt(next) {
      led = next;
      if (stopped) gates.all().forEach(gates.open);
      stopped = false;
      pumpAll();
    },
    close(shard, wait = 'ended') {
      const gate = gates.of(shard);
      gate.closed = true;
      for (const pending of waitingFor(shard)) {
        leaveSpot(pending);
        room.park(pending, gate);
      }
      return gate.idle(wait);
    },
    open: shard => gates.open(gates.of(shard)),
    stop() {
      stopped = true;
      refuseAll();
      return sender.idle();
    },
    load() {
      gates.prune();
      pruneServers();
      return cellLoadOf(load, servers.values());
    },
  };
}
