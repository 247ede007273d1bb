import type {Backend} from './backend.js';
import {chooseServer, hasCapacity, estimateLoad} from './choose-server.js';
import type {Connection} from './connections.js';
import {
  MIN_SEND_MS,
  refuseAsQuarantined,
  type ForwardConfig,
  type ForwardState,
} from './forward-state.js';
import type {SlotOutcome} from './slots.js';

/** A server that a request may go to now. */
export interface Target {
  readonly backend: Backend;
  readonly connection: Connection;
  /** Requests there before it, where no place was handed out. */
  readonly inFlightAtSend: number;
  /** Whether no other suspected request is at the server meanwhile. */
  readonly isTrial: boolean;
  /** Tells whoever handed out the place how the request ended. */
  releaseSlot(how: SlotOutcome, tookMs: number): void;
}

/** Waits for room or an owner are looked at again after this time, in ms. */
const WAIT_POLL_MS = 50;
/** A leaving server still gets its own keys' requests for this time, in ms. */
const LEAVING_GRACE_MS = 500;

/**
 * Finds the server that a request goes to next; null where none can answer in
 * time.
 */
export async function findTarget(
  journey: ForwardState,
): Promise<Target | null> {
  const {cfg, req} = journey;
  const aimAt = req.firstAskedAt + req.route.targetLatencyMs;
  for (;;) {
    const leftMs = req.deadline - cfg.clock.now();
    if (req.signal.aborted || leftMs < MIN_SEND_MS) return null;
    const standing = cfg.quarantine.standingOf(req);
    if (standing === 'quarantined') {
      refuseAsQuarantined(journey, standing);
      return null;
    }
    if (refuseIfAllResting(journey)) return null;
    const place = await cfg.slotProvider.acquire(
      {
        id: req.id,
        service: req.service,
        key: req.key,
        priority: req.route.priority,
        leftMs,
        aimLeftMs: aimAt - cfg.clock.now(),
        askedMs: cfg.clock.now() - req.firstAskedAt,
        excluded: [...journey.excluded, ...restingServers(journey)],
        dataCentre: cfg.dataCentre,
        ...(standing === 'suspected' && {trial: req.contents().anyQuery}),
      },
      req.signal,
    );
    if (place.kind === 'refused') {
      journey.retryAfterMs = place.retryAfterMs;
      journey.cause = place.isUnheld ? 'no-owner' : 'overloaded';
      return null;
    }
    if (place.kind === 'unavailable') return findWithoutLeader(journey);
    // A server ended under it while it waited: it must not go on as it was let.
    if (cfg.quarantine.standingOf(req) !== standing) {
      place.release('cancelled', 0);
      continue;
    }
    const restMs = cfg.rests.remainingMs(place.server);
    if (restMs > 0) {
      place.release('cancelled', 0);
      // Only a request without a key can go to another server.
      if (req.key === null) continue;
      refuseUntilRestEnds(journey, restMs);
      return null;
    }
    const backend = cfg.backends.get(place.server);
    if (backend !== undefined && mayUse(cfg, backend)) {
      const connection = backend.connections.acquire();
      if (connection !== null) {
        const isTrial = standing === 'suspected';
        return {
          backend,
          connection,
          inFlightAtSend: 0,
          isTrial,
          releaseSlot: place.release,
        };
      }
    }
    // Whoever handed it out knows another list of servers, or connections
    // that linger; both are settled within moments.
    cfg.emit('place-unusable', {id: req.id, server: place.server});
    place.release('refused', 0);
    await cfg.backends.waitForCapacity(req.service, WAIT_POLL_MS);
  }
}

/** Chooses without the router that hands out places. */
async function findWithoutLeader(
  journey: ForwardState,
): Promise<Target | null> {
  const {cfg, req} = journey;
  const giveUpAt = waitDeadline(journey);
  if (req.key !== null) cfg.owners.noteRequest(req.service, req.key);
  for (;;) {
    if (req.signal.aborted) return null;
    // Only the leader can see to it that it is at one server at a time.
    const standing = cfg.quarantine.standingOf(req);
    if (standing !== 'unknown') {
      refuseAsQuarantined(journey, standing);
      return null;
    }
    if (refuseIfAllResting(journey)) return null;
    const target = pickTarget(journey);
    if (target !== null) return target;
    const left = giveUpAt - cfg.clock.now();
    if (left <= 0) return null;
    const step = Math.min(left, WAIT_POLL_MS);
    if (req.key === null) await cfg.backends.waitForCapacity(req.service, step);
    else await cfg.owners.waitForChange(req.service, step);
  }
}

/** Servers to exclude because of a rest period; empty for keyed requests. */
function restingServers({cfg, req}: ForwardState): readonly string[] {
  if (req.key !== null || cfg.rests.count() === 0) return [];
  return cfg.backends
    .ofService(req.service)
    .map(({info}) => info.id)
    .filter(id => cfg.rests.remainingMs(id) > 0);
}

/** Refuses the request if all servers that could serve it are resting. */
function refuseIfAllResting(journey: ForwardState): boolean {
  const restMs = remainingRestMs(journey);
  if (restMs > 0) refuseUntilRestEnds(journey, restMs);
  return restMs > 0;
}

/**
 * Time until the first rest period of the eligible servers ends, in ms; 0 if the
 * request need not be refused for it.
 */
function remainingRestMs(journey: ForwardState): number {
  const {cfg, req, excluded} = journey;
  if (cfg.rests.count() === 0) return 0;
  if (req.key !== null) {
    const owner = cfg.owners.ownerOf(req.service, req.key);
    return owner.kind === 'held' ? cfg.rests.remainingMs(owner.server) : 0;
  }
  let minMs = Infinity;
  for (const {info, isReplaced: isGone} of cfg.backends.ofService(
    req.service,
  )) {
    if (info.isLeaving || isGone) continue;
    const restMs = cfg.rests.remainingMs(info.id);
    if (restMs > 0) minMs = Math.min(minMs, restMs);
    else if (!excluded.has(info.id)) return 0;
  }
  return minMs === Infinity ? 0 : minMs;
}

function refuseUntilRestEnds(journey: ForwardState, restMs: number): void {
  const {cfg, req} = journey;
  cfg.emit('servers-rest', {id: req.id, service: req.service, restMs});
  journey.cause = 'refused';
  journey.retryAfterMs = restMs;
}

/**
 * How long a request waits for a server: as long as its answer can still be
 * worth most. Later refusals cost the caller time that another try could use.
 */
function waitDeadline({cfg, req}: ForwardState): number {
  const now = cfg.clock.now();
  const worthwhile = now + req.route.targetLatencyMs / 2;
  return Math.min(worthwhile, req.deadline - MIN_SEND_MS);
}

function pickTarget(journey: ForwardState): Target | null {
  const {cfg, req} = journey;
  const backend = req.key === null ? pickAny(journey) : pickOwner(journey);
  if (backend === null) return null;
  const connection = backend.connections.acquire();
  if (connection === null) {
    cfg.emit('no-connection', {id: req.id, server: backend.info.id});
    return null;
  }
  const ahead = estimateLoad(backend, 0, cfg.clock.now());
  const end = (): void => undefined;
  return {
    backend,
    connection,
    inFlightAtSend: ahead,
    isTrial: false,
    releaseSlot: end,
  };
}

function pickAny({cfg, req, excluded}: ForwardState): Backend | null {
  // The others would stand idle while all wait for the one that seems quickest.
  const group = cfg.backends
    .ofService(req.service)
    .filter(({connections}) => connections.hasFree())
    .filter(({info}) => cfg.rests.remainingMs(info.id) === 0);
  const now = cfg.clock.now();
  const routers = cfg.routerCount();
  const passedOver = new Set(excluded);
  for (;;) {
    const backend = chooseServer(group, passedOver, routers, now);
    if (backend === null) return null;
    const {id} = backend.info;
    if (cfg.limits.takeShareToken(id, routers)) return backend;
    passedOver.add(id);
  }
}

function pickOwner({cfg, req}: ForwardState): Backend | null {
  const owner = cfg.owners.ownerOf(req.service, req.key!);
  if (owner.kind !== 'held') return null;
  const backend = cfg.backends.get(owner.server);
  const now = cfg.clock.now();
  if (backend === undefined || !mayUse(cfg, backend)) return null;
  if (backend.ejectedUntil > now) return null;
  if (cfg.rests.remainingMs(owner.server) > 0) return null;
  if (!hasCapacity(backend, estimateLoad(backend, 0, now))) return null;
  return cfg.limits.takeShareToken(owner.server, cfg.routerCount())
    ? backend
    : null;
}

/** A server that leaves gets no new work, but for requests just placed. */
function mayUse({clock}: ForwardConfig, backend: Backend): boolean {
  const {isReplaced: isGone, leavingSince} = backend;
  if (isGone) return false;
  if (leavingSince === null) return true;
  return clock.now() - leavingSince < LEAVING_GRACE_MS;
}
