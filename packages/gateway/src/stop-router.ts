import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {CarryServer} from './carry-server.js';
import type {Frontend} from './frontend.js';
import {handOverLeadership} from './leadership-handover.js';
import type {Leadership} from './leadership.js';
import type {RouterGroup} from './membership.js';
import type {OpenRequests} from './open-requests.js';

/** Dependencies of a graceful stop. */
export interface StopConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  /** Time from the stop signal to the end of the process, in ms. */
  readonly graceMs: number;
  readonly frontend: Frontend;
  readonly openRequests: OpenRequests;
  readonly carryServer: Pick<CarryServer, 'inFlight' | 'startClosing'>;
  readonly routers: RouterGroup;
  readonly leadership: Leadership;
  /** Whether the router has not been closed yet. */
  goesOn(): boolean;
  /** Ends all loops and closes all servers. */
  closeAll(): void;
}

/** Time for the load balancer to notice that a router isn't ready, in ms. */
const BALANCER_NOTICE_MS = 2_300;
/** Time reserved for the exit of the process, in ms. */
const EXIT_RESERVE_MS = 400;
/** The reserve is no larger a part of a short grace period. */
const MAX_EXIT_SHARE = 1 / 6;
const DRAIN_POLL_MS = 50;
/** Part of the reserve for writing the answers of requests that are broken off. */
const BREAK_OFF_SHARE = 0.375;
const BREAK_OFF_POLL_MS = 10;

/**
 * Stops the router gracefully: requests in flight are completed, and a leader
 * keeps renewing leases until another router leads.
 *
 * @example
 * ```ts
 * await stopRouter({clock, emit, graceMs: 6_000, ...components});
 * ```
 */
export async function stopRouter(cfg: StopConfig): Promise<void> {
  const {clock, emit, graceMs, frontend, routers, leadership} = cfg;
  const {carryServer, openRequests} = cfg;
  const startedAt = clock.now();
  const reserveMs = exitReserveMs(graceMs);
  const end = startedAt + graceMs - reserveMs;
  emit('stopping', {inFlight: openRequests.count()});
  frontend.startClosing(end);
  carryServer.startClosing();
  // The platform chooses another leader only after this router has left the
  // group. While the store is down, this router keeps renewing leases: without
  // a leader they would expire.
  void routers
    .leave(cfg.goesOn)
    .then(() => handOverLeadership(leadership, clock));
  await sleep(clock, Math.min(BALANCER_NOTICE_MS, graceMs / 2));
  // By now the load balancer opens no new connections. A request that arrives
  // on a kept-alive connection as it closes was not read, so its caller retries
  // it.
  frontend.connections.stopListening();
  // Other routers serve at once what would outlast this one.
  frontend.stopSending();
  frontend.connections.closeIdle();
  const isNeeded = (): boolean =>
    openRequests.count() > 0 ||
    frontend.connections.lingeringCount() > 0 ||
    carryServer.inFlight() > 0 ||
    leadership.isLeading() ||
    leadership.awaitsTermEndQuestion();
  while (isNeeded() && clock.now() < end) {
    await sleep(clock, DRAIN_POLL_MS);
    frontend.connections.closeIdle();
  }
  const brokenOff = await breakOffRequests(cfg, reserveMs * BREAK_OFF_SHARE);
  emit('stopped', {
    tookMs: Math.round(clock.now() - startedAt),
    brokenOff,
    inFlight: openRequests.count(),
    unwritten: openRequests.unwrittenCount(),
    carried: carryServer.inFlight(),
    connections: frontend.connections.count(),
  });
  openRequests.logCut(clock.now());
  // In the same turn as the last look: a request that is read any later would
  // be sent on, and cut off as the process ends.
  frontend.connections.closeAll();
  cfg.closeAll();
}

function exitReserveMs(graceMs: number): number {
  return Math.min(EXIT_RESERVE_MS, graceMs * MAX_EXIT_SHARE);
}

/**
 * Answers the requests that are left within `limitMs`, and returns their number.
 * A closed connection would not tell callers which requests can be repeated.
 */
async function breakOffRequests(
  {clock, frontend, openRequests}: StopConfig,
  limitMs: number,
): Promise<number> {
  const brokenOff = openRequests.count();
  frontend.startRefusing();
  openRequests.breakOff();
  const end = clock.now() + limitMs;
  while (openRequests.count() > 0 && clock.now() < end)
    await sleep(clock, BREAK_OFF_POLL_MS);
  return brokenOff;
}
