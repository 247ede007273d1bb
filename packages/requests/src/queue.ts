import type {Clock} from '@banyandrum/base/clock.js';
import {failure, type Failure} from '@banyandrum/base/failure.js';
import type {CellId, ShardId} from '@banyandrum/base/ids.js';
import type {RequestHandler, ServiceRequest} from '@banyandrum/base/request.js';
import {Err} from '@banyandrum/base/result.js';
import type {Limits} from '@banyandrum/config/rules.js';
import type {LedCell, Location, Owned} from '@banyandrum/ownership/led-cell.js';
import type {Dispatch, ServerClient} from '@banyandrum/servers/client.js';
import {watchAnswerEnd} from './answer-end.js';
import {
  guardDeadline,
  VERDICT_GRACE_MS,
  type Outcome,
} from './deadline-guard.js';
import type {DeadlineWheel} from './deadline.js';
import {createFairQueue, type FairQueue, type QueueItem} from './fair-queue.js';
import {createServerSlots, type ServerSlots} from './server-slots.js';

/** The leader's admission for one cell. */
export interface LeaderQueue {
  readonly cell: CellId;
  /** Queues the request, sends it when its turn comes, yields its answer. */
  readonly handle: RequestHandler;
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
}

export interface QueueOptions {
  readonly client: Pick<ServerClient, 'send'>;
  readonly limits: () => Limits;
  readonly clock: Clock;
  readonly wheel: DeadlineWheel;
}

/** One request in the leader's hands. */
interface Pending extends QueueItem {
  readonly req: ServiceRequest;
  readonly resolve: (outcome: Outcome) => void;
  readonly release: () => void;
  /** Where it waits. */
  place: FairQueue<Pending> | null;
}

interface ServerQueue {
  readonly name: string;
  readonly slots: ServerSlots;
  readonly waiting: FairQueue<Pending>;
}

/** One shard's gate and what waits behind it. */
interface ShardGate {
  readonly shard: ShardId;
  readonly waiting: FairQueue<Pending>;
  closed: boolean;
  inFlight: number;
  /** Those who wait for the shard's last answer. */
  emptied: (() => void)[];
  /** What `waiting` waits for, beside the gate. */
  settled: Promise<void> | null;
}

/** How often a held queue looks whether it may go on. */
const HOLD_POLL_MS = 10;

/**
 * Makes the admission of a cell that this process leads: exactly the slots
 * in flight at each server and a queue for each, while requests of a shard
 * that moves wait at the shard and follow it.
 *
 * @example
 * ```ts
 * const queue = createCellQueue(led, {client, limits, clock, wheel});
 * const outcome = await queue.handle(req);
 * ```
 */
export function createCellQueue(
  first: LedCell,
  options: QueueOptions,
): CellQueue {
  const {clock, wheel} = options;
  const servers = new Map<string, ServerQueue>();
  const gates = new Map<ShardId, ShardGate>();
  let led = first;
  let stopped = false;
  let holding = false;
  let inFlight = 0;
  let emptied: (() => void)[] = [];

  const handle: RequestHandler = req => {
    if (stopped) return Promise.resolve(Err(moved()));
    if (req.signal.aborted) return Promise.resolve(Err(cancelled()));
    return new Promise(resolve => place(createPending(req, resolve)));
  };

  const createPending = (
    req: ServiceRequest,
    resolve: (outcome: Outcome) => void,
  ): Pending => {
    const giveUp = (): void => refuse(pending, cancelled());
    const cancel = wheel.schedule(req.deadline, () =>
      refuse(pending, expired()),
    );
    req.signal.addEventListener('abort', giveUp);
    const pending: Pending = {
      req,
      resolve,
      release() {
        cancel();
        req.signal.removeEventListener('abort', giveUp);
      },
      level: req.precedence,
      bytes: req.body instanceof Uint8Array ? req.body.length : 0,
      place: null,
    };
    return pending;
  };

  const refuse = (pending: Pending, why: Failure): void => {
    pending.place?.remove(pending);
    pending.place = null;
    pending.release();
    pending.resolve(Err(why));
  };

  /** Puts a request where its shard is now. */
  const place = (pending: Pending): void => {
    const where = led.locate(pending.req.key);
    if (where.kind === 'unowned') return refuse(pending, noOwner(where.reason));
    const gate = gateOf(where.shard);
    if (where.kind === 'moving') return park(pending, gate, where.settled);
    if (gate.closed) return park(pending, gate, null);
    const server = serverOf(where);
    if (isFull(server.waiting, pending)) return refuse(pending, full());
    server.waiting.push(pending);
    pending.place = server.waiting;
    pump(server);
  };

  const isFull = (queue: FairQueue<Pending>, pending: Pending): boolean => {
    const {maxQueued, maxQueuedBytes} = options.limits();
    if (queue.size() >= maxQueued) return true;
    return queue.bytes() + pending.bytes > maxQueuedBytes;
  };

  const park = (
    pending: Pending,
    gate: ShardGate,
    settled: Promise<void> | null,
  ): void => {
    if (isFull(gate.waiting, pending)) return refuse(pending, full());
    gate.waiting.push(pending);
    pending.place = gate.waiting;
    if (settled !== null) follow(gate, settled);
  };

  /** Places the shard's waiting requests anew once it has settled. */
  const follow = (gate: ShardGate, settled: Promise<void>): void => {
    if (gate.settled === settled) return;
    gate.settled = settled;
    const go = (): void => {
      if (gate.settled === settled) gate.settled = null;
      if (!gate.closed) release(gate);
    };
    // The pause keeps a location that stays unsettled from spinning.
    const later = (): void => void clock.after(HOLD_POLL_MS, go);
    settled.then(later, later);
  };

  const release = (gate: ShardGate): void => {
    for (let next = gate.waiting.take(); next; next = gate.waiting.take()) {
      next.place = null;
      place(next);
    }
  };

  const gateOf = (shard: ShardId): ShardGate => {
    const known = gates.get(shard);
    if (known !== undefined) return known;
    const gate = createGate(shard);
    gates.set(shard, gate);
    return gate;
  };

  const serverOf = ({server}: Owned): ServerQueue => {
    const known = servers.get(server.name);
    known?.slots.resize(server.slots);
    if (known !== undefined) return known;
    const queue: ServerQueue = {
      name: server.name,
      slots: createServerSlots(server.slots),
      waiting: createFairQueue(),
    };
    servers.set(server.name, queue);
    return queue;
  };

  /** Sends what may be sent now. */
  const pump = (server: ServerQueue): void => {
    while (server.slots.isFree() && server.waiting.size() > 0) {
      if (!led.mayAct()) return hold();
      const next = server.waiting.take();
      if (next === null) return;
      next.place = null;
      const where = led.locate(next.req.key);
      if (!isAt(server, where) || gateOf(where.shard).closed) {
        place(next);
        continue;
      }
      if (where.leaseEnd <= clock.now()) return retain(server, next);
      void dispatch(server, next, where);
    }
  };

  const pumpAll = (): void => {
    for (const server of servers.values()) pump(server);
  };

  /** Looks again a little later: the authority or the lease may return. */
  const hold = (): void => {
    if (holding) return;
    holding = true;
    clock.after(HOLD_POLL_MS, () => {
      holding = false;
      pumpAll();
    });
  };

  const retain = (server: ServerQueue, pending: Pending): void => {
    server.waiting.putBack(pending);
    pending.place = server.waiting;
    hold();
  };

  const dispatch = async (
    server: ServerQueue,
    pending: Pending,
    where: Owned,
  ): Promise<void> => {
    const {req} = pending;
    const gate = gateOf(where.shard);
    const deadline = Math.min(req.deadline, where.leaseEnd);
    const send = createSend(led, pending, where, gate, clock, deadline);
    pending.release();
    begin(server, gate);
    const end = once(() => finish(server, gate));
    const outcome = await guardDeadline(
      () => options.client.send(where.server, send),
      {
        wheel,
        deadline,
        verdict: () => (send.written ? 'may-have-run' : 'not-run'),
      },
    );
    if (outcome.err) {
      end();
      pending.resolve(outcome);
      return;
    }
    const cancel = wheel.schedule(deadline + VERDICT_GRACE_MS, end);
    const answer = watchAnswerEnd(outcome.val, () => {
      cancel();
      end();
    });
    pending.resolve(outcome.map(() => answer));
  };

  const begin = (server: ServerQueue, gate: ShardGate): void => {
    server.slots.take();
    gate.inFlight++;
    inFlight++;
  };

  const finish = (server: ServerQueue, gate: ShardGate): void => {
    server.slots.give();
    gate.inFlight--;
    inFlight--;
    if (gate.inFlight === 0) gate.emptied = callAll(gate.emptied);
    if (inFlight === 0) emptied = callAll(emptied);
    pump(server);
  };

  const waitingItems = (): Pending[] => [
    ...[...servers.values()].flatMap(server => server.waiting.items()),
    ...[...gates.values()].flatMap(gate => gate.waiting.items()),
  ];

  return {
    cell: first.cell,
    handle,
    adopt(next) {
      led = next;
      if (stopped) for (const gate of gates.values()) gate.closed = false;
      stopped = false;
      pumpAll();
    },
    async close(shard) {
      const gate = gateOf(shard);
      gate.closed = true;
      if (gate.inFlight === 0) return;
      await new Promise<void>(resolve => gate.emptied.push(resolve));
    },
    open(shard) {
      const gate = gateOf(shard);
      gate.closed = false;
      release(gate);
    },
    async stop() {
      stopped = true;
      for (const pending of waitingItems()) refuse(pending, moved());
      if (inFlight === 0) return;
      await new Promise<void>(resolve => emptied.push(resolve));
    },
  };
}

function createGate(shard: ShardId): ShardGate {
  return {
    shard,
    waiting: createFairQueue(),
    closed: false,
    inFlight: 0,
    emptied: [],
    settled: null,
  };
}

function isAt(server: ServerQueue, where: Location): where is Owned {
  return where.kind === 'owned' && where.server.name === server.name;
}

function createSend(
  led: LedCell,
  pending: Pending,
  where: Owned,
  gate: ShardGate,
  clock: Clock,
  deadline: number,
): Dispatch & {written: boolean} {
  const {req} = pending;
  return {
    req: deadline < req.deadline ? {...req, deadline} : req,
    cell: led.cell,
    shard: where.shard,
    fence: where.fence,
    serverDeadline: where.toServerTime(deadline),
    written: false,
    mayWrite() {
      const may = led.mayAct() && clock.now() < deadline && !gate.closed;
      if (may) this.written = true;
      return may;
    },
  };
}

function callAll(waiters: readonly (() => void)[]): (() => void)[] {
  for (const wake of waiters) wake();
  return [];
}

function once(task: () => void): () => void {
  let done = false;
  return () => {
    if (done) return;
    done = true;
    task();
  };
}

const MOVED_RETRY_MS = 100;
const NO_OWNER_RETRY_MS = 1000;
const FULL_RETRY_MS = 200;

function moved(): Failure {
  return failure('not-run', 'moved', 'no longer leading', MOVED_RETRY_MS);
}

function cancelled(): Failure {
  return failure('not-run', 'cancelled', 'the caller gave up');
}

function expired(): Failure {
  return failure('not-run', 'deadline', 'its turn did not come in time');
}

function noOwner(reason: string): Failure {
  return failure('not-run', 'no-owner', reason, NO_OWNER_RETRY_MS);
}

function full(): Failure {
  return failure('not-run', 'overloaded', 'the queue is full', FULL_RETRY_MS);
}
