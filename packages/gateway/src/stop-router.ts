import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {Frontend} from './frontend.js';
import {handOver} from './hand-over.js';
import type {Leadership} from './leadership.js';
import type {Routers} from './membership.js';

/** What a planned stop needs of the router. */
export interface StopConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  /** From the signal to the end of the process, in ms. */
  readonly graceMs: number;
  readonly frontend: Frontend;
  readonly routers: Routers;
  readonly leadership: Leadership;
  goesOn(): boolean;
  /** Ends all loops and closes all interfaces. */
  closeAll(): void;
}

/** The balancer sees within this time that a router isn't ready, in ms. */
const BALANCER_NOTICE_MS = 2_300;
/** What is left of the grace for the process's own end, in ms. */
const EXIT_RESERVE_MS = 400;
const DRAIN_POLL_MS = 50;

/**
 * Stops gracefully: no request in flight is cut, and keys are renewed until
 * another router leads.
 *
 * @example
 * ```ts
 * await stopRouter({clock, emit, graceMs: 6_000, ...parts});
 * ```
 */
export async function stopRouter(cfg: StopConfig): Promise<void> {
  const {clock, emit, graceMs, frontend: entry, routers, leadership} = cfg;
  const startedAt = clock.now();
  emit('stopping', {inFlight: entry.inFlight()});
  entry.startClosing();
  // Nobody can be chosen in its place before it is taken out. While the
  // store is down it goes on renewing: keys would lapse with no leader.
  void routers.leave(cfg.goesOn).then(() => handOver(leadership, clock));
  const end = startedAt + graceMs - EXIT_RESERVE_MS;
  await sleep(clock, Math.min(BALANCER_NOTICE_MS, graceMs / 2));
  // By now the balancer sends no new connection. A request on a kept one
  // that crosses its close was not read, so its caller asks again; one
  // that came just before the process ends would be lost.
  entry.server.close();
  const isNeeded = (): boolean =>
    entry.inFlight() > 0 || leadership.isLeading();
  while (isNeeded() && clock.now() < end) {
    await sleep(clock, DRAIN_POLL_MS);
  }
  cfg.closeAll();
  emit('stopped', {tookMs: Math.round(clock.now() - startedAt)});
}
