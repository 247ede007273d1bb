import type {Clock} from '@banyandrum/base/clock.js';
import {failure, type Failure} from '@banyandrum/base/failure.js';
import type {ServiceAnswer} from '@banyandrum/base/request.js';
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import type {
  Dispatch,
  LeaseAck,
  ServerClient,
  ServerError,
  ServerLoad,
} from '@banyandrum/servers/client.js';
import {
  createServerLeases,
  type ServerLeases,
} from '@banyandrum/standins/server-lease.js';
import {drawExponential, type Random} from './experiment-random.js';

/** One simulated backend server. */
export interface SimulatedServer {
  readonly name: string;
  readonly slots: number;
  /** Its service times are multiplied by this. */
  slowness: number;
  /** What it says of itself instead of the truth. */
  lie: ServerLoad | null;
  /** Slot-milliseconds of work done since it began. */
  busyMs(): number;
  isAlive(): boolean;
  die(): void;
  restart(): void;
  /** Nothing is begun, answered or obeyed for so long. */
  stall(ms: number): void;
}

/** What became of one execution. */
export interface Execution {
  readonly server: string;
  readonly once: boolean;
  readonly key: string;
  runs: number;
}

/** All simulated servers and the way to them. */
export interface SimulatedServers {
  readonly client: ServerClient;
  add(name: string): SimulatedServer;
  get(name: string): SimulatedServer;
  all(): Iterable<SimulatedServer>;
  /** Executions by request id. */
  readonly executions: ReadonlyMap<string, Execution>;
}

export interface SimulatedServersOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly slots: number;
  readonly serviceMsOf: (dispatch: Dispatch) => number;
  /** Whether a request needs a lease in force. */
  readonly leases: boolean;
}

/** One way over the network, in ms. */
const HOP_MS = 0.25;

/** When a caller of a dead server hears that it is dead, in ms. */
const REFUSED_MS = 1;

/** Retry hint of a server without a free slot, in ms. */
const SHED_RETRY_MS = 20;

type Outcome = Result<ServiceAnswer, Failure>;

/** The server itself, with what only the client below uses. */
interface Internals extends SimulatedServer {
  readonly leases: () => ServerLeases;
  /** Runs the task now, or once the server's stall is over. */
  whenAwake(task: () => void): void;
  execute(dispatch: Dispatch, done: (outcome: Outcome) => void): void;
}

/**
 * Makes the servers. They keep leases like the stand-ins, have their slots,
 * and take exponentially distributed times in virtual time.
 *
 * @example
 * ```ts
 * const servers = createSimulatedServers({clock, random, slots: 4, ...});
 * servers.add('s1').stall(300);
 * ```
 */
export function createSimulatedServers(
  options: SimulatedServersOptions,
): SimulatedServers {
  const {clock} = options;
  const servers = new Map<string, Internals>();
  const executions = new Map<string, Execution>();

  const get = (name: string): Internals => {
    const server = servers.get(name);
    if (server === undefined) throw new Error(`no server ${name}`);
    return server;
  };

  /** Reaches the server after a hop; `gone` where it is dead by then. */
  const reach = <T>(
    name: string,
    gone: T,
    task: (server: Internals, reply: (value: T) => void) => void,
  ): Promise<T> =>
    new Promise(resolve => {
      const server = get(name);
      const later = (ms: number, value: T): void =>
        void clock.after(ms, () => resolve(value));
      clock.after(HOP_MS, () => {
        if (!server.isAlive()) return later(REFUSED_MS, gone);
        server.whenAwake(() => task(server, value => later(HOP_MS, value)));
      });
    });

  const client: ServerClient = {
    order: ({name}, order) =>
      reach<Result<LeaseAck, ServerError>>(
        name,
        Err({kind: 'unreachable', detail: 'dead'}),
        (server, reply) => {
          const obeyed = server.leases().obey(order);
          if (obeyed.kind === 'ack') return reply(Ok(obeyed.ack));
          const {fence} = obeyed;
          reply(Err({kind: 'fenced', detail: 'fenced', fence}));
        },
      ),
    load: ({name}) =>
      reach<Result<ServerLoad, ServerError>>(
        name,
        Err({kind: 'unreachable', detail: 'dead'}),
        (server, reply) => {
          const {slots, lie} = server;
          reply(Ok(lie ?? {health: 'ok', busy: 0, slots, queued: 0}));
        },
      ),
    send({name}, dispatch) {
      if (!dispatch.mayWrite()) {
        return Promise.resolve(Err(failure('not-run', 'refused', 'held')));
      }
      const gone = failure('not-run', 'connection-lost', 'dead');
      return reach<Outcome>(name, Err(gone), (server, reply) =>
        server.execute(dispatch, reply),
      );
    },
    forget: () => {},
    close: () => Promise.resolve(),
  };

  return {
    client,
    executions,
    get,
    all: () => servers.values(),
    add(name) {
      const server = createServer(name, options, executions);
      servers.set(name, server);
      return server;
    },
  };
}

function createServer(
  name: string,
  options: SimulatedServersOptions,
  executions: Map<string, Execution>,
): Internals {
  const {clock, random, slots} = options;
  let boot = 0;
  let alive = true;
  let stalledUntil = 0;
  let running = 0;
  let busyMs = 0;
  let countedAt = 0;

  const createLeases = (): ServerLeases => {
    const mine = String(boot);
    return createServerLeases(true, () => ({boot: mine, ms: clock.now()}));
  };
  let leases = createLeases();

  const count = (change: number): void => {
    busyMs += running * (clock.now() - countedAt);
    countedAt = clock.now();
    running += change;
  };

  const whenAwake = (task: () => void): void => {
    const left = stalledUntil - clock.now();
    if (left <= 0) return task();
    clock.after(left, () => whenAwake(task));
  };

  const refusalOf = (dispatch: Dispatch): Failure | null => {
    const {cell, shard, fence} = dispatch;
    if (options.leases && !leases.holds(cell, shard, fence)) {
      return failure('not-run', 'fenced', 'not the owner');
    }
    if (running < slots) return null;
    return failure('not-run', 'overloaded', 'no slot', SHED_RETRY_MS);
  };

  const execute: Internals['execute'] = (dispatch, done) => {
    const refusal = refusalOf(dispatch);
    if (refusal !== null) return done(Err(refusal));
    const {id, key, once} = dispatch.req;
    const execution = executions.get(id) ?? {server: name, key, once, runs: 0};
    execution.runs++;
    executions.set(id, execution);
    const begun = boot;
    count(1);
    const mean = options.serviceMsOf(dispatch) * server.slowness;
    const wanted = drawExponential(random, mean);
    const left = dispatch.serverDeadline.ms - clock.now();
    clock.after(Math.min(wanted, left), () =>
      whenAwake(() => {
        if (boot !== begun) {
          return done(Err(failure('may-have-run', 'connection-lost', 'died')));
        }
        count(-1);
        done(wanted <= left ? Ok(answerOf(id, key)) : Err(stopped()));
      }),
    );
  };

  const server: Internals = {
    name,
    slots,
    slowness: 1,
    lie: null,
    busyMs() {
      count(0);
      return busyMs;
    },
    isAlive: () => alive,
    die() {
      count(-running);
      alive = false;
      boot++;
    },
    restart() {
      alive = true;
      leases = createLeases();
    },
    stall(ms) {
      stalledUntil = Math.max(stalledUntil, clock.now() + ms);
    },
    leases: () => leases,
    whenAwake,
    execute,
  };
  return server;
}

function stopped(): Failure {
  return failure('may-have-run', 'deadline', 'stopped at its deadline');
}

function answerOf(id: string, key: string): ServiceAnswer {
  const body = Buffer.from(`${id} ${key}`);
  return {status: 200, headers: [], body};
}
