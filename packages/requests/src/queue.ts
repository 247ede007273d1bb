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
import {createDispatchResumer} from './dispatch-resumer.js';
import {isAt, isLeaseShort, isTooLate} from './send-checks.js';
import {createLoadMeter, type HotKeyMeter} from './load-meter.js';
import {createPending, leaveQueue, refuse, type Pending} from './pending.js';
import {cancelled, expired, moved, noOwner} from './refusals.js';
import {createSender, type Send} from './sender.js';
import {createServerQueue, type ServerQueue} from './server-queue.js';
import {createShardGates} from './shard-gates.js';
import {snapshotOf, type QueueSnapshot} from './snapshot.js';
import {createWaitingRoom} from './waiting-room.js';

/** The leader's queue of one cell. */
export interface LeaderQueue {
  readonly cell: CellId;
  /** Queues the request, sends it in its turn and returns its answer. */
  readonly handle: RequestHandler;
  /** The waiting and running requests; with a key, also those for it. */
  snapshot(key?: string): QueueSnapshot;
}

/** The queue as its leader controls it. */
export interface CellQueue extends LeaderQueue {
  /** Continues under another epoch of the same cell. */
  adopt(led: LedCell): void;
  /** Stops sending for a shard; resolves when none of it is in flight. */
  close(shard: ShardId, wait?: GateWait): Promise<void>;
  open(shard: ShardId): void;
  /** Refuses waiting requests; resolves when none is in flight. */
  stop(): Promise<void>;
  load(): CellLoad;
}

/** Parts of the policy that measurements can switch off. */
export interface QueuePolicy {
  /** Whether turns are fair by caller and key; else by order of arrival. */
  readonly fair: boolean;
  /** Whether to refuse requests on arrival that can't meet their deadline. */
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

/** Interval at which a stopped queue is checked, in ms. */
const HOLD_POLL_MS = 10;

/** Idle servers with a lower recent load are removed, in slots. */
const MIN_BUSY = 1e-5;

/**
 * Creates the queue of a cell that this process leads. Each server has a queue
 * and at most as many requests in flight as slots. Requests for a moving shard
 * wait until it has an owner again.
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

  /** Queues a request where its shard is now. */
  const place = (pending: Pending, where: Location): void => {
    if (where.kind === 'unowned') return refuse(pending, noOwner(where.reason));
    const gate = gates.of(where.shard);
    if (where.kind === 'moving') {
      waitingRoom.waitForShard(pending, gate);
      return gates.follow(gate, where.settled);
    }
    if (gate.closed) return waitingRoom.waitForShard(pending, gate);
    const server = serverOf(where);
    const ticket = waitingRoom.enter(pending, server);
    sendWaiting(server);
    if (pending.position?.ticket === ticket) waitingRoom.admit(pending, server);
  };

  const serverOf = ({server}: Owned): ServerQueue => {
    const known = servers.get(server.name);
    known?.update(server);
    if (known !== undefined) return known;
    const queue = createServerQueue(server, fairness, clock);
    servers.set(server.name, queue);
    return queue;
  };

  /** Sends the waiting requests that may be sent now. */
  const sendWaiting = (server: ServerQueue): void => {
    while (server.slots.isFree() && server.waiting.size() > 0) {
      if (!led.mayAct()) {
        server.heldBack();
        return resumer.noteAuthorityLost();
      }
      resumer.noteAuthorityHeld();
      const ticket = server.waiting.take(clock.now());
      if (ticket === null || !launch(server, ticket)) return;
    }
    wakeAfterPause(server);
  };

  /** Returns `false` if nothing may be sent to the server for a while. */
  const launch = (server: ServerQueue, ticket: Ticket<Pending>): boolean => {
    const pending = ticket.item;
    waitingRoom.leave(pending, server);
    const where = led.locate(pending.key);
    const gate = gates.of(where.shard);
    if (!isAt(server, where) || gate.closed) {
      place(pending, where);
      return true;
    }
    if (mustAwaitRenewal(server, pending, where)) {
      waitingRoom.putBack(ticket, server);
      server.heldBack();
      resumer.poll();
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
    resumer.wake(server, slots.pausedUntil());
  };

  /** Queues a request again that a server didn't run. */
  const takeBack = ({pending, server, ticket}: Send): void => {
    if (stopped) return refuse(pending, moved('no longer leading'));
    const where = led.locate(pending.key);
    const stays = isAt(server, where) && !gates.of(where.shard).closed;
    if (stays) waitingRoom.putBack(ticket, server);
    else place(pending, where);
  };

  /** Waiting requests for the shard in the servers' queues, oldest first. */
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
      if (empty && load.server(name).busy < MIN_BUSY) servers.delete(name);
    }
  };

  const sendAllWaiting = (): void => servers.forEach(sendWaiting);

  const waitingRoom = createWaitingRoom({
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
  const resumer = createDispatchResumer({
    clock,
    wheel,
    pollMs: HOLD_POLL_MS,
    limitMs: () => rules().timing.authorityMs,
    sendWaiting: sendWaiting,
    sendAllWaiting: sendAllWaiting,
    giveUp: refuseAll,
  });
  const sender = createSender({
    client: options.client,
    clock,
    wheel,
    load,
    takeBack,
    ended: sendWaiting,
  });

  return {
    cell: first.cell,
    handle,
    snapshot: key => snapshotOf([...servers.values()], gates.all(), key),
    adopt(next) {
      led = next;
      if (stopped) gates.all().forEach(gates.open);
      stopped = false;
      sendAllWaiting();
    },
    close(shard, wait = 'ended') {
      const gate = gates.of(shard);
      gate.closed = true;
      for (const pending of waitingFor(shard)) {
        leaveQueue(pending);
        waitingRoom.waitForShard(pending, gate);
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
