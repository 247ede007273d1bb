import type {Clock} from '@banyandrum/base/clock.js';
import {
  isEligible,
  mayServeOwnedKeys,
  type Backend,
} from '@banyandrum/dispatch/backend.js';
import type {Backends} from '@banyandrum/dispatch/backends.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {Owner} from '@banyandrum/dispatch/owners.js';
import type {SlotRequest} from '@banyandrum/dispatch/slots.js';
import type {ServerLimits} from '@banyandrum/dispatch/server-limits.js';
import type {Suspects} from '@banyandrum/dispatch/suspects.js';
import {
  costOf,
  DEFAULT_SERVICE_MS,
  isHealthy,
} from '@banyandrum/dispatch/server-cost.js';
import {expectedMsAt, type TimeSource} from './request-time.js';

/** Dependencies of `createSlotAllocator`. */
export interface SlotAllocatorConfig extends TimeSource {
  readonly backends: Backends;
  readonly clock: Clock;
  readonly emit: Emit;
  ownerOf(service: string, key: number): Owner;
  /**
   * Called when the key's owner answered that it doesn't hold the key, to a
   * request that was sent at `sentAt` or later.
   */
  onNotHeld(service: string, key: number, server: string, sentAt: number): void;
  /** Called with each answer before it counts in the server's service time. */
  readonly onAnswer?: (backend: Backend, tookMs: number) => void;
  readonly suspects: Pick<Suspects, 'standingOf' | 'noteAlive'>;
  readonly limits: Pick<ServerLimits, 'limitOf' | 'hasToken' | 'takeToken'>;
  /** Order of the waiting requests of one priority; by slack by default. */
  readonly queue?: 'by_slack' | 'fair';
}

/**
 * Cost factor of servers in another data centre. Traffic between data centres
 * costs more than a slightly faster server saves.
 */
const REMOTE_COST_FACTOR = 2.2;
/**
 * Cost factor of servers without any answer yet, so that they are tried first.
 */
const UNMEASURED_COST_FACTOR = 0.15;
/** Relative cost increase at full occupancy; proportional below that. */
const OCCUPANCY_COST = 0.1;

/** Finds a server with a free slot for the request; null if there is none. */
export function findFreeServer(
  cfg: SlotAllocatorConfig,
  req: SlotRequest,
): Backend | null {
  return req.key === null ? findAny(cfg, req) : findOwner(cfg, req, req.key);
}

/** The same, of servers without a request and without an outcome since. */
export function findIdleServer(
  cfg: SlotAllocatorConfig,
  req: SlotRequest,
  since: number,
): Backend | null {
  const isIdle = ({allocatedSlots, failureRateAt}: Backend): boolean =>
    allocatedSlots === 0 && failureRateAt < since;
  if (req.key === null) return findAny(cfg, req, isIdle);
  const owner = findOwner(cfg, req, req.key);
  return owner !== null && isIdle(owner) ? owner : null;
}

/** Returns the server that owns the request's key; null if there is none. */
export function ownerServerOf(
  {ownerOf}: SlotAllocatorConfig,
  {service, key}: SlotRequest,
): string | null {
  const owner = ownerOf(service, key ?? 0);
  return owner.kind === 'held' ? owner.server : null;
}

function findOwner(
  {backends, clock, ownerOf, limits}: SlotAllocatorConfig,
  {service, trial}: SlotRequest,
  key: number,
): Backend | null {
  const owner = ownerOf(service, key);
  if (owner.kind !== 'held') return null;
  const backend = backends.get(owner.server);
  if (backend === undefined || backend.isReplaced) return null;
  const now = clock.now();
  if (backend.ejectedUntil > now || !mayServeOwnedKeys(backend, now))
    return null;
  if (trial !== undefined && backend.hasTrial) return null;
  return hasFreeSlot(backend) && limits.hasToken(backend.info.id)
    ? backend
    : null;
}

/**
 * Whether a slot is free. After an ejection, one request at a time is allowed.
 */
function hasFreeSlot({allocatedSlots, ejectionMs, info}: Backend): boolean {
  return allocatedSlots < (ejectionMs > 0 ? 1 : info.slots);
}

function findAny(
  cfg: SlotAllocatorConfig,
  req: SlotRequest,
  isWanted: (backend: Backend) => boolean = () => true,
): Backend | null {
  const {backends, clock, limits} = cfg;
  const {service, excluded, trial} = req;
  const now = clock.now();
  const group = backends.ofService(service);
  const mayServe = (backend: Backend): boolean =>
    isEligible(backend) && !excluded.includes(backend.info.id);
  let healthy: Backend | null = null;
  let healthyMs = Infinity;
  let other: Backend | null = null;
  let otherMs = Infinity;
  for (const backend of group) {
    // The cheapest check comes first, as few servers have a free slot under
    // load.
    if (!hasFreeSlot(backend) || !mayServe(backend)) continue;
    if (!isWanted(backend)) continue;
    if (trial !== undefined && backend.hasTrial) continue;
    if (!limits.hasToken(backend.info.id)) continue;
    const ms = slotCost(cfg, req, backend, now);
    if (isHealthy(backend, now)) {
      if (ms >= healthyMs) continue;
      healthy = backend;
      healthyMs = ms;
    } else if (ms < otherMs) {
      other = backend;
      otherMs = ms;
    }
  }
  if (healthy !== null || other === null) return healthy;
  // Unhealthy servers are used only if there is no healthy one, busy or not.
  const isAnyHealthy = group.some(
    each => mayServe(each) && isHealthy(each, now),
  );
  return isAnyHealthy ? null : other;
}

/** Cost of one more request at the server, in ms. */
function slotCost(
  cfg: SlotAllocatorConfig,
  req: SlotRequest,
  backend: Backend,
  now: number,
): number {
  const isUnknown =
    backend.lastAnswerAt === -Infinity && backend.allocatedSlots === 0;
  // Applies to remote servers too, as one request suffices to measure it.
  if (isUnknown) return DEFAULT_SERVICE_MS * UNMEASURED_COST_FACTOR;
  const remote =
    backend.info.dataCentre === req.dataCentre ? 1 : REMOTE_COST_FACTOR;
  // Prefers an idle server to one with running requests.
  const occupancy =
    1 + (OCCUPANCY_COST * backend.allocatedSlots) / backend.info.slots;
  const expectedMs = expectedMsAt(cfg, req, backend.info.id);
  const cost = costOf(backend, DEFAULT_SERVICE_MS, now, expectedMs);
  return cost * remote * occupancy;
}
