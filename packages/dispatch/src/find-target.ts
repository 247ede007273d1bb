import {kindOf} from '@banyandrum/service-times/kind.js';
import {isEligible, mayServeOwnedKeys, type Backend} from './backend.js';
import {chooseServer, hasCapacity, estimateLoad} from './choose-server.js';
import type {Connection} from './connections.js';
import {
  refuseAsUnreachable,
  refuseIfAllEvacuated,
  refuseIfAllResting,
  refuseIfNoneInHomeRegion,
  refuseIfNotHeld,
  refuseIfUnreachable,
  refuseUntilRestEnds,
} from './early-refusal.js';
import {
  MIN_SEND_MS,
  refuseAsQuarantined,
  type ForwardState,
} from './forward-state.js';
import {isInHomeRegion, serversOutsideHome} from './home-regions.js';
import {pickWay} from './pick-way.js';
import {ASSUMED_ROUTERS} from './router-total.js';
import type {SlotOutcome} from './slots.js';

/** A server and connection that a request can be sent on now. */
export interface Target {
  readonly backend: Backend;
  /** Null if another router sends the request. */
  readonly connection: Connection | null;
  /** Estimated requests at the server; 0 if the leader allocated a slot. */
  readonly inFlightAtSend: number;
  /**
   * Whether the request is suspected, so that no other suspected request is
   * sent to the server at the same time.
   */
  readonly isTrial: boolean;
  /** Releases the slot; tells its allocator the outcome of the request. */
  releaseSlot(outcome: SlotOutcome, tookMs: number, slowdown?: number): void;
}

/** Maximum time between checks for capacity or an owner, in ms. */
const WAIT_POLL_MS = 50;
/**
 * A server may still be used for this time after its shutdown is known, in ms.
 */
const LEAVING_GRACE_MS = 500;

/**
 * Finds the server to send a request to next; returns null if none can answer
 * in time.
 */
export async function findTarget(state: ForwardState): Promise<Target | null> {
  const {cfg, req} = state;
  const targetAt = req.firstAskedAt + req.route.targetLatencyMs;
  for (;;) {
    const leftMs = req.deadline - cfg.clock.now();
    if (req.sendSignal.aborted || leftMs < MIN_SEND_MS) return null;
    const standing = cfg.quarantine.standingOf(req);
    if (standing === 'quarantined') {
      refuseAsQuarantined(state, standing);
      return null;
    }
    if (refuseIfAllEvacuated(state) || refuseIfAllResting(state)) return null;
    if (refuseIfNoneInHomeRegion(state) || refuseIfUnreachable(state))
      return null;
    const slot = await cfg.slotProvider.acquire(
      {
        id: req.id,
        service: req.service,
        key: req.key,
        priority: req.route.priority,
        leftMs,
        aimLeftMs: targetAt - cfg.clock.now(),
        askedMs: cfg.clock.now() - req.firstAskedAt,
        excluded: [
          ...state.excluded,
          ...restingServers(state),
          ...unreachedServers(state),
          ...(req.key === null ? serversOutsideHome(state) : []),
        ],
        dataCentre: cfg.dataCentre,
        ...(standing === 'suspected' && {trial: req.contents().anyQuery}),
        ...(cfg.times !== undefined && {kind: kindOf(req.route.name)}),
        ...(cfg.hashCaller && {caller: cfg.hashCaller(req.caller)}),
      },
      req.sendSignal,
    );
    if (slot.kind === 'refused') {
      logRefusedCaller(state);
      state.retryAfterMs = slot.retryAfterMs;
      state.cause = slot.isUnheld ? 'no-owner' : 'overloaded';
      return null;
    }
    if (slot.kind === 'unavailable') return findWithoutLeader(state);
    // The standing changed during the wait, usually as a server crashed under
    // the request. It must be sent as a trial or refused instead.
    if (cfg.quarantine.standingOf(req) !== standing) {
      slot.release('cancelled', 0);
      continue;
    }
    const restMs = cfg.rests.remainingMs(slot.server);
    if (restMs > 0) {
      slot.release('cancelled', 0);
      // Only a request without a key can go to another server.
      if (req.key === null) continue;
      refuseUntilRestEnds(state, restMs);
      return null;
    }
    const backend = cfg.backends.get(slot.server);
    if (backend !== undefined && mayUse(state, backend)) {
      const way = pickWay(cfg, backend, req.id);
      if (way === 'none') {
        slot.release('cut-off', 0);
        if (req.key !== null) return refuseAsUnreachable(state);
        state.hasFoundNoWay = true;
        state.excluded.add(slot.server);
        continue;
      }
      if (way !== 'busy') {
        const isTrial = standing === 'suspected';
        return {
          backend,
          connection: way.connection,
          inFlightAtSend: 0,
          isTrial,
          releaseSlot: slot.release,
        };
      }
    }
    // The leader has a different server list, or connections of this router are
    // still closing. Both resolve within a short time.
    cfg.emit('place-unusable', {id: req.id, server: slot.server});
    slot.release('refused', 0);
    await cfg.backends.waitForCapacity(req.service, WAIT_POLL_MS);
  }
}

/** Logs the address behind the hash in the leader's `place-refused` line. */
function logRefusedCaller({cfg, req: {id, caller}}: ForwardState): void {
  const hash = cfg.hashCaller?.(caller);
  if (hash !== undefined) cfg.emit('caller-refused', {id, caller, hash});
}

/** Chooses a server without the leader. */
async function findWithoutLeader(state: ForwardState): Promise<Target | null> {
  const {cfg, req} = state;
  const waitUntil = waitDeadline(state);
  if (req.key !== null) cfg.owners.noteRequest(req.service, req.key);
  for (;;) {
    if (req.sendSignal.aborted) return null;
    if (isWithoutOwner(state)) state.retryAfterMs = cfg.leaderlessRetryMs();
    // Only the leader can limit a suspected request to one server at a time.
    const standing = cfg.quarantine.standingOf(req);
    if (standing !== 'unknown') {
      refuseAsQuarantined(state, standing);
      return null;
    }
    if (refuseIfAllEvacuated(state) || refuseIfAllResting(state)) return null;
    if (refuseIfNotHeld(state) || refuseIfNoneInHomeRegion(state)) return null;
    if (refuseIfUnreachable(state)) return null;
    const target = pickTarget(state);
    if (target !== null) return target;
    const leftMs = waitUntil - cfg.clock.now();
    if (leftMs <= 0) return null;
    const step = Math.min(leftMs, WAIT_POLL_MS);
    if (req.key === null) await cfg.backends.waitForCapacity(req.service, step);
    else await cfg.owners.waitForChange(req.service, step);
  }
}

function isWithoutOwner({cfg, req}: ForwardState): boolean {
  if (req.key === null) return false;
  return cfg.owners.ownerOf(req.service, req.key).kind !== 'held';
}

/** Servers to exclude because of a rest period; empty for keyed requests. */
function restingServers({cfg, req}: ForwardState): readonly string[] {
  if (req.key !== null || cfg.rests.count() === 0) return [];
  return cfg.backends
    .ofService(req.service)
    .map(({info}) => info.id)
    .filter(id => cfg.rests.remainingMs(id) > 0);
}

/**
 * Servers to exclude after an attempt that found no way to one: those to which
 * this router can't connect, as long as it can to others. Otherwise each attempt
 * might find another server that is gone.
 */
function unreachedServers({
  cfg,
  req,
  excluded,
  hasFoundNoWay,
}: ForwardState): readonly string[] {
  if (req.key !== null || !hasFoundNoWay) return [];
  const ids = cfg.backends
    .ofService(req.service)
    .filter(isEligible)
    .map(({info}) => info.id)
    .filter(id => !excluded.has(id));
  const unreached = ids.filter(id => !cfg.paths.isOpen(id));
  return unreached.length < ids.length ? unreached : [];
}

/**
 * Returns the monotonic time until which a request waits for a server, in ms:
 * at most half the target latency from now, so that the answer can still be on
 * time. A later refusal would leave the caller less time for a retry.
 */
function waitDeadline({cfg, req}: ForwardState): number {
  const now = cfg.clock.now();
  const maxWaitUntil = now + req.route.targetLatencyMs / 2;
  return Math.min(maxWaitUntil, req.deadline - MIN_SEND_MS);
}

function pickTarget(state: ForwardState): Target | null {
  const {cfg, req} = state;
  const backend = req.key === null ? pickAny(state) : pickOwner(state);
  if (backend === null) return null;
  const way = pickWay(cfg, backend, req.id);
  if (way === 'none') {
    state.hasFoundNoWay = true;
    state.excluded.add(backend.info.id);
    return null;
  }
  if (way === 'busy') {
    cfg.emit('no-connection', {id: req.id, server: backend.info.id});
    return null;
  }
  const inFlightAtSend = estimateLoad(backend, 0, cfg.clock.now());
  const releaseSlot = (): void => undefined;
  return {
    backend,
    connection: way.connection,
    inFlightAtSend,
    isTrial: false,
    releaseSlot,
  };
}

function pickAny(state: ForwardState): Backend | null {
  const {cfg, req, excluded} = state;
  // Servers without a free connection are left out. Otherwise, all requests
  // would wait for the server that seems fastest while other servers are idle.
  const group = cfg.backends
    .ofService(req.service)
    .filter(
      ({connections, info}) =>
        connections.hasFree() || !cfg.paths.isOpen(info.id),
    )
    .filter(({info}) => cfg.rests.remainingMs(info.id) === 0);
  const now = cfg.clock.now();
  const routerCount = cfg.routers.current();
  const skipped = new Set([...excluded, ...serversOutsideHome(state)]);
  for (;;) {
    const backend = chooseServer(group, skipped, routerCount ?? 1, now);
    if (backend === null) return null;
    const {id} = backend.info;
    if (cfg.requestLimits.takeShareToken(id, routerCount ?? ASSUMED_ROUTERS))
      return backend;
    skipped.add(id);
  }
}

function pickOwner(state: ForwardState): Backend | null {
  const {cfg, req} = state;
  const owner = cfg.owners.ownerOf(req.service, req.key!);
  if (owner.kind !== 'held') return null;
  const backend = cfg.backends.get(owner.server);
  const now = cfg.clock.now();
  if (backend === undefined || !mayUse(state, backend)) return null;
  if (backend.ejectedUntil > now) return null;
  if (cfg.rests.remainingMs(owner.server) > 0) return null;
  if (!hasCapacity(backend, estimateLoad(backend, 0, now))) return null;
  const routerCount = cfg.routers.current() ?? ASSUMED_ROUTERS;
  return cfg.requestLimits.takeShareToken(owner.server, routerCount)
    ? backend
    : null;
}

/**
 * Whether the request may be sent to the server. One that is shutting down, or
 * in an evacuated data centre, gets no new requests after a grace period for
 * those already allocated to it.
 */
function mayUse(state: ForwardState, backend: Backend): boolean {
  const {cfg, req} = state;
  const {isReplaced, leavingSince, evacuation} = backend;
  if (isReplaced || !isInHomeRegion(state, backend)) return false;
  const now = cfg.clock.now();
  const allocatedSince = now - LEAVING_GRACE_MS;
  if (leavingSince !== null && leavingSince <= allocatedSince) return false;
  if (req.key !== null) return mayServeOwnedKeys(backend, now);
  return evacuation === null || evacuation.since > allocatedSince;
}
