import type {Clock} from '@banyandrum/base/clock.js';
import type {Backend} from './backend.js';
import type {Backends} from './backends.js';
import type {Emit} from './events.js';
import type {Owner} from './owners.js';
import type {PlaceAsk} from './places.js';
import type {ServerLimits} from './server-limits.js';
import type {Suspects} from './suspects.js';
import {costOf, DEFAULT_SERVICE_MS, isSound} from './server-cost.js';

/** What issuing places needs. */
export interface PlaceIssuerConfig {
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
const REMOTE_FACTOR = 2.2;
/** A server that was never asked is tried before others: nobody knows it. */
const UNKNOWN_FACTOR = 0.15;
/** A server with all slots in use but one costs about this share more. */
const CROWD_COST = 0.1;

/** A server with a free slot for the ask; null where there is none now. */
export function findFree(
  cfg: PlaceIssuerConfig,
  ask: PlaceAsk,
): Backend | null {
  return ask.key === null ? findAny(cfg, ask) : findOwner(cfg, ask, ask.key);
}

/** The server that holds the ask's key; null while nobody does. */
export function holderOf(
  {ownerOf}: PlaceIssuerConfig,
  {service, key}: PlaceAsk,
): string | null {
  const owner = ownerOf(service, key ?? 0);
  return owner.kind === 'held' ? owner.server : null;
}

function findOwner(
  {backends, clock, ownerOf, limits}: PlaceIssuerConfig,
  {service, trial}: PlaceAsk,
  key: number,
): Backend | null {
  const owner = ownerOf(service, key);
  if (owner.kind !== 'held') return null;
  const backend = backends.get(owner.server);
  if (backend === undefined || backend.isGone) return null;
  if (backend.suspectUntil > clock.now()) return null;
  if (trial !== undefined && backend.hasTrial) return null;
  return hasSlot(backend) && limits.hasToken(backend.info.id) ? backend : null;
}

/** One that was passed over shows first with one request that it's back. */
function hasSlot({placed, suspectMs, info}: Backend): boolean {
  return placed < (suspectMs > 0 ? 1 : info.slots);
}

function findAny(
  {backends, clock, limits}: PlaceIssuerConfig,
  {service, excluded, dataCentre, trial}: PlaceAsk,
): Backend | null {
  const now = clock.now();
  const group = backends.ofService(service);
  const mayServe = ({info, isGone}: Backend): boolean =>
    !info.isLeaving && !isGone && !excluded.includes(info.id);
  let sound: Backend | null = null;
  let soundMs = Infinity;
  let other: Backend | null = null;
  let otherMs = Infinity;
  for (const backend of group) {
    // First what costs least: under load hardly any server has a free slot.
    if (!hasSlot(backend) || !mayServe(backend)) continue;
    if (trial !== undefined && backend.hasTrial) continue;
    if (!limits.hasToken(backend.info.id)) continue;
    const ms = placeCost(backend, dataCentre, now);
    if (isSound(backend, now)) {
      if (ms >= soundMs) continue;
      sound = backend;
      soundMs = ms;
    } else if (ms < otherMs) {
      other = backend;
      otherMs = ms;
    }
  }
  if (sound !== null || other === null) return sound;
  // Others are a last resort, also while the sound ones are full.
  const isAnySound = group.some(each => mayServe(each) && isSound(each, now));
  return isAnySound ? null : other;
}

/** The lower, the better the server for one more request. */
function placeCost(backend: Backend, dataCentre: string, now: number): number {
  const isUnknown = backend.lastAnswerAt === -Infinity && backend.placed === 0;
  // Wherever it is: one request is worth knowing it.
  if (isUnknown) return DEFAULT_SERVICE_MS * UNKNOWN_FACTOR;
  const remote = backend.info.dataCentre === dataCentre ? 1 : REMOTE_FACTOR;
  // A slot beside a running request is a little worse than an idle server.
  const crowd = 1 + (CROWD_COST * backend.placed) / backend.info.slots;
  return costOf(backend, DEFAULT_SERVICE_MS, now) * remote * crowd;
}
