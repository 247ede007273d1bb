import {isEligible, mayServeOwnedKeys, type Backend} from './backend.js';
import type {ForwardState} from './forward-state.js';
import {isInHomeRegion} from './home-regions.js';
import {hasWay} from './pick-way.js';

/**
 * Retry delay while this router can't reach the servers, in ms: another router
 * may serve the caller at once.
 */
const UNREACHABLE_RETRY_MS = 50;

/**
 * Retry delay while all of a service's data centres are evacuated, in ms. Only
 * an operator can change that.
 */
const EVACUATED_RETRY_MS = 1_000;

/** Refuses the request if the servers that could serve it are all evacuated. */
export function refuseIfAllEvacuated(state: ForwardState): boolean {
  const {cfg, req} = state;
  const now = cfg.clock.now();
  const mayServe = (backend: Backend): boolean =>
    req.key === null
      ? backend.evacuation === null
      : mayServeOwnedKeys(backend, now);
  const group = cfg.backends.ofService(req.service);
  if (group.length === 0 || group.some(mayServe)) return false;
  cfg.emit('servers-evacuated', {id: req.id, service: req.service});
  state.cause = 'evacuated';
  state.retryAfterMs = EVACUATED_RETRY_MS;
  return true;
}

/** Refuses the request if all servers that could serve it are resting. */
export function refuseIfAllResting(state: ForwardState): boolean {
  const restMs = remainingRestMs(state);
  if (restMs > 0) refuseUntilRestEnds(state, restMs);
  return restMs > 0;
}

/**
 * Time until the first rest period of the eligible servers ends, in ms; 0 if
 * the request need not be refused for it.
 */
function remainingRestMs(state: ForwardState): number {
  const {cfg, req, excluded} = state;
  if (cfg.rests.count() === 0) return 0;
  if (req.key !== null) {
    const owner = cfg.owners.ownerOf(req.service, req.key);
    return owner.kind === 'held' ? cfg.rests.remainingMs(owner.server) : 0;
  }
  let minMs = Infinity;
  for (const backend of cfg.backends.ofService(req.service)) {
    if (!isEligible(backend)) continue;
    const {id} = backend.info;
    const restMs = cfg.rests.remainingMs(id);
    if (restMs > 0) minMs = Math.min(minMs, restMs);
    else if (!excluded.has(id)) return 0;
  }
  return minMs === Infinity ? 0 : minMs;
}

/**
 * Refuses the request if the key's owner has just answered that it doesn't hold
 * the key: without a leader nothing can have changed since.
 */
export function refuseIfNotHeld(state: ForwardState): boolean {
  const {cfg, req} = state;
  if (req.key === null) return false;
  const notHeldMs = cfg.owners.notHeldMs(req.service, req.key);
  if (notHeldMs <= 0) return false;
  const {id, service, key} = req;
  cfg.emit('key-unserved', {id, service, key, retryAfterMs: notHeldMs});
  state.cause = 'no-owner';
  state.retryAfterMs = notHeldMs;
  return true;
}

/**
 * Refuses the request if only servers outside of its route's home regions could
 * serve it.
 */
export function refuseIfNoneInHomeRegion(state: ForwardState): boolean {
  const {cfg, req} = state;
  if (req.route.homeRegions === null) return false;
  const group = cfg.backends.ofService(req.service);
  const owner =
    req.key === null ? null : cfg.owners.ownerOf(req.service, req.key);
  const eligible =
    owner?.kind === 'held'
      ? group.filter(({info}) => info.id === owner.server)
      : group;
  if (eligible.length === 0) return false;
  if (eligible.some(backend => isInHomeRegion(state, backend))) return false;
  refuseAsUnreachable(state);
  return true;
}

/**
 * Refuses the request if no server is left that could serve it: each was tried,
 * or can be reached neither from here nor by another router. A key whose owner
 * is lost moves to another server, for which its requests wait.
 */
export function refuseIfUnreachable(state: ForwardState): boolean {
  const {cfg, req, excluded} = state;
  const usable = cfg.backends.ofService(req.service).filter(isEligible);
  const reached = usable.filter(backend => hasWay(cfg, backend));
  if (reached.length === usable.length && !state.hasFoundNoWay) return false;
  const isLeft =
    req.key === null
      ? reached.some(({info}) => !excluded.has(info.id))
      : reached.length > 0;
  if (isLeft) return false;
  if (state.cause !== 'refused') refuseAsUnreachable(state);
  return true;
}

/** Refuses the request, which no reachable server can serve. */
export function refuseAsUnreachable(state: ForwardState): null {
  state.cause = 'unreachable';
  state.retryAfterMs = UNREACHABLE_RETRY_MS;
  return null;
}

/** Refuses the request for the rest of the servers’ rest period. */
export function refuseUntilRestEnds(state: ForwardState, restMs: number): void {
  const {cfg, req} = state;
  cfg.emit('servers-rest', {id: req.id, service: req.service, restMs});
  state.cause = 'refused';
  state.retryAfterMs = restMs;
}
