import type {Clock} from '@banyandrum/base/clock.js';
import type {Backend} from './backend.js';
import type {Backends} from './backends.js';
import type {Emit} from './events.js';
import type {Owner} from './owners.js';
import type {SlotRequest} from './slots.js';
import type {ServerLimits} from './server-limits.js';
import type {Suspects} from './suspects.js';
import {costOf, DEFAULT_SERVICE_MS, isHealthy} from './server-cost.js';

/** What issuing places needs. */
export interface SlotAllocatorConfig {
  readonly backends: Backends;
  readonly clock: Clock;
  readonly emit: Emit;
  ownerOf(service: string, key: number): Owner;
  readonly suspects: Pick<Suspects, 'standingOf' | 'noteAlive'>;
  readonly limits: Pick<ServerLimits, 'limitOf' | 'hasToken' | 'takeToken'>;
}

/**
 * How much quicker a server of another data centre must be: bytes between
 * data centres cost more than what a slightly quicker one gains.
 */
const REMOTE_COST_FACTOR = 2.2;
/** A server that was never asked is tried before others: nobody knows it. */
const UNMEASURED_COST_FACTOR = 0.15;
/** A server with all slots in use but one costs about this share more. */
const OCCUPANCY_COST = 0.1;

/** A server with a free slot for the ask; null where there is none now. */
export function findFreeServer(
  cfg: SlotAllocatorConfig,
  ask: SlotRequest,
): Backend | null {
  return ask.key === null ? findAny(cfg, ask) : findOwner(cfg, ask, ask.key);
}

/** The server that holds the ask's key; null while nobody does. */
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
  if (backend.ejectedUntil > clock.now()) return null;
  if (trial !== undefined && backend.hasTrial) return null;
  return hasFreeSlot(backend) && limits.hasToken(backend.info.id)
    ? backend
    : null;
}

/** One that was passed over shows first with one request that it's back. */
function hasFreeSlot({
  allocatedSlots: placed,
  ejectionMs: suspectMs,
  info,
}: Backend): boolean {
  return placed < (suspectMs > 0 ? 1 : info.slots);
}

function findAny(
  {backends, clock, limits}: SlotAllocatorConfig,
  {service, excluded, dataCentre, trial}: SlotRequest,
): Backend | null {
  const now = clock.now();
  const group = backends.ofService(service);
  const isEligible = ({info, isReplaced: isGone}: Backend): boolean =>
    !info.isLeaving && !isGone && !excluded.includes(info.id);
  let healthy: Backend | null = null;
  let healthyMs = Infinity;
  let other: Backend | null = null;
  let otherMs = Infinity;
  for (const backend of group) {
    // First what costs least: under load hardly any server has a free slot.
    if (!hasFreeSlot(backend) || !isEligible(backend)) continue;
    if (trial !== undefined && backend.hasTrial) continue;
    if (!limits.hasToken(backend.info.id)) continue;
    const ms = slotCost(backend, dataCentre, now);
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
  // Others are a last resort, also while the sound ones are full.
  const isAnyHealthy = group.some(
    each => isEligible(each) && isHealthy(each, now),
  );
  return isAnyHealthy ? null : other;
}

/** The lower, the better the server for one more request. */
function slotCost(backend: Backend, dataCentre: string, now: number): number {
  const isUnknown =
    backend.lastAnswerAt === -Infinity && backend.allocatedSlots === 0;
  // Wherever it is: one request is worth knowing it.
  if (isUnknown) return DEFAULT_SERVICE_MS * UNMEASURED_COST_FACTOR;
  const remote =
    backend.info.dataCentre === dataCentre ? 1 : REMOTE_COST_FACTOR;
  // A slot beside a running request is a little worse than an idle server.
  const occupancy =
    1 + (OCCUPANCY_COST * backend.allocatedSlots) / backend.info.slots;
  return costOf(backend, DEFAULT_SERVICE_MS, now) * remote * occupancy;
}
