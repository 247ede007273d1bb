import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {createClock, sleep} from '@banyandrum/base/clock.js';
import type {ServerRef, Stamp} from '@banyandrum/servers/client.js';
import {controlRoute, harnessRoute} from './server-control.js';
import type {FaultChange} from './server-faults.js';
import type {HeldLease} from './server-lease.js';
import type {ServerStandinOptions} from './server-options.js';
import {createBeliefRecord} from './server-beliefs.js';
import {createExecutionRecord} from './server-record.js';
import type {Execution} from './server-record.js';
import {serveRequest} from './server-requests.js';
import {createServerRun} from './server-run.js';

/** Counts for checks of limits. */
export interface ServerStats {
  readonly boot: string;
  readonly connections: number;
  readonly peakConnections: number;
  readonly peakBusy: number;
  readonly queued: number;
  /** Heads of orders, load questions and requests that came in. */
  readonly received: number;
}

/** A backend server that keeps to the protocol, but for its faults. */
export interface ServerStandin {
  readonly name: string;
  /** `ip:port`; kept over restarts. */
  readonly address: string;
  /** How the inventory names it. */
  ref(connections: number): ServerRef;
  /** Reads its own clock. */
  stamp(): Stamp;
  held(): readonly HeldLease[];
  executions(): readonly Execution[];
  stats(): ServerStats;
  /**
   * Changes faults, as `POST /standin/faults` does; with `restartAfterMs` it
   * resolves once the server is back.
   */
  change(change: FaultChange): Promise<void>;
  close(): Promise<void>;
}

/**
 * Starts a stand-in backend server on 127.0.0.1 at a free port.
 *
 * @example
 * ```ts
 * const server = await createServerStandin({
 *   name: 'holds-1', service: 'holds', slots: 4, checksFences: true,
 * });
 * await server.change({frozen: true});
 * await server.close();
 * ```
 */
export async function createServerStandin(
  options: ServerStandinOptions,
): Promise<ServerStandin> {
  const clock = options.clock ?? createClock();
  const record = createExecutionRecord(options.name, () => clock.now());
  const beliefs = createBeliefRecord(options.name, () => clock.now());
  let run = createServerRun(options, clock, record, beliefs);
  let received = 0;

  const handle = async (
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> => {
    const exchange = {req, res};
    const harness = harnessRoute(req);
    if (harness) return harness({record, beliefs, change}, exchange);
    received++;
    if (listener.isSilent(req.socket)) return;
    const {control, requests} = run;
    if (control.faults.current().frozen) await control.faults.thawed();
    const route = controlRoute(req);
    if (route) return route(control, exchange);
    await serveRequest(requests, exchange);
  };
  const listener = createListener(handle);

  const change = async (faults: FaultChange): Promise<void> => {
    const {silence, die, restartAfterMs, ...lasting} = faults;
    run.control.faults.set(lasting);
    if (silence) listener.silence();
    if (!die) return;
    beliefs.endAll();
    await listener.stop();
    if (restartAfterMs === undefined) return;
    await sleep(clock, restartAfterMs);
    run = createServerRun(options, clock, record, beliefs);
    await listener.start(port);
  };

  const port = await listener.start(0);
  const address = `127.0.0.1:${port}`;
  const {name, service, slots} = options;
  return {
    name,
    address,
    ref: connections => ({name, service, address, slots, connections}),
    stamp: () => run.requests.stamp(),
    held: () => run.control.leases.held(),
    executions: () => record.list(),
    stats: () => ({
      boot: run.boot,
      ...listener.counts(),
      peakBusy: run.requests.slots.peak,
      queued: run.requests.slots.queued,
      received,
    }),
    change,
    close: () => listener.stop(),
  };
}

type Handle = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

interface Listener {
  start(port: number): Promise<number>;
  stop(): Promise<void>;
  silence(): void;
  isSilent(socket: Socket): boolean;
  counts(): {readonly connections: number; readonly peakConnections: number};
}

function createListener(handle: Handle): Listener {
  const sockets = new Set<Socket>();
  const silent = new WeakSet<Socket>();
  let peakConnections = 0;
  const http = createServer((req, res) => {
    handle(req, res).catch(() => res.destroy());
  });
  http.on('connection', (socket: Socket) => {
    sockets.add(socket);
    peakConnections = Math.max(peakConnections, sockets.size);
    socket.once('close', () => sockets.delete(socket));
  });
  return {
    start: port => listen(http, port),
    stop: () => stop(http, sockets),
    silence() {
      for (const socket of sockets) {
        silent.add(socket);
        // What is written from now on stays in this process.
        socket.cork();
      }
    },
    isSilent: socket => silent.has(socket),
    counts: () => ({connections: sockets.size, peakConnections}),
  };
}

function listen(http: Server, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    http.once('error', reject);
    http.listen(port, '127.0.0.1', () => {
      http.off('error', reject);
      resolve((http.address() as AddressInfo).port);
    });
  });
}

function stop(http: Server, sockets: Iterable<Socket>): Promise<void> {
  return new Promise(resolve => {
    http.close(() => resolve());
    for (const socket of sockets) socket.destroy();
  });
}
