import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Backend} from './backend.js';
import type {ProbeResult} from './crash-detector.js';
import type {Emit} from './events.js';

/**
 * Which backend servers this router can reach. The state of a server itself is
 * what other routers find as well: a router that is partitioned from servers
 * must not conclude that they are lost.
 */
export interface ServerPaths {
  /** Whether a request may open a connection to the server. */
  isOpen(server: string): boolean;
  /**
   * Whether the server can't be reached from here, but probably from other
   * routers, so that its failures say nothing about it.
   */
  isCutOff(server: string): boolean;
  /** Whether another router has just failed to reach the server as well. */
  isLost(server: string): boolean;
  /**
   * Monotonic time since which an established connection must have had an
   * answer to be used, in ms; `-Infinity` if any may be used.
   */
  trustedSince(server: string): number;
  /** A connection was opened, or a request sent directly was answered. */
  noteReached(server: string): void;
  /** No connection could be opened for a request that was sent at `sentAt`. */
  noteFailed(backend: Backend, sentAt: number, detail: string): void;
  /** Whether the path failed, and no other router has tried to reach it yet. */
  isUnconfirmed(server: string): boolean;
  /** What another router found as it tried to reach the server. */
  noteOtherView(server: string, isReached: boolean): void;
  /**
   * Opens a connection to see whether the server can be reached, at most once a
   * second for each server and a few times a second for all. Resolves to false
   * if it can't.
   */
  verify(backend: Backend, sentAt: number): Promise<boolean>;
  /** Whether any server was reached since a monotonic time, in ms. */
  hasReachedSince(at: number): boolean;
  /**
   * Whether this router may itself be cut off, so that what it fails to reach
   * may well be reached by others.
   */
  isSuspect(): boolean;
  /** Whether there are several servers that only other routers reach. */
  isRouterCutOff(): boolean;
  /** Servers that can't be reached from here, but from other routers. */
  unreachableCount(): number;
  /** Monotonic time since which there are such servers, in ms; or null. */
  unreachableSince(): number | null;
  /** Calls `listener` whenever `unreachableCount` changed. */
  subscribe(listener: () => void): void;
  /** Ends the probes. */
  stop(): void;
}

/** Dependencies of `createServerPaths`. */
export interface ServerPathsConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  /** The server, if it is still listed. */
  backendOf(server: string): Backend | undefined;
  probe(backend: Backend, timeoutMs: number): Promise<ProbeResult>;
}

/** A path on which no connection could be opened. */
interface FailedPath {
  readonly failedAt: number;
  /** Whether other routers reach the server. */
  others: 'unknown' | 'reach it' | 'fail too';
  /** Monotonic time at which that was found, in ms. */
  othersAt: number;
  probeAt: number;
  probeGapMs: number;
}

/** Timeout of a probe, in ms. */
const PROBE_TIMEOUT_MS = 200;
/** First interval between probes of one server, in ms; doubles up to the next. */
const MIN_PROBE_GAP_MS = 250;
const MAX_PROBE_GAP_MS = 1_000;
/** Minimum interval between any two probes, in ms. */
const PROBE_SPACING_MS = 125;
/** The same for a while after a path was restored: others may be as well. */
const RESTORING_SPACING_MS = 20;
const RESTORING_MS = 1_500;
/** What another router found out is believed for this long, in ms. */
const LOST_TTL_MS = 500;
/** Minimum interval between verifications of one server, in ms. */
const VERIFY_GAP_MS = 1_000;
/** Minimum interval between verifications of any servers, in ms. */
const VERIFY_SPACING_MS = 100;
/**
 * With this many servers that only others reach, this router counts as cut off:
 * it doesn't lead, and servers that fail from here are presumed to be reached by
 * others until one has tried.
 */
const MIN_CUT_OFF = 2;

/**
 * Creates the state of the paths, all of them open. Failed ones are probed
 * until they work again.
 *
 * @example
 * ```ts
 * const paths = createServerPaths({clock, emit, backendOf, probe});
 * if (!paths.isOpen(server)) return sendByCarrier(request);
 * ```
 */
export function createServerPaths(cfg: ServerPathsConfig): ServerPaths {
  const {clock, emit} = cfg;
  const failed = new Map<string, FailedPath>();
  const verifications = new Map<string, Promise<boolean>>();
  const verifiedAt = new Map<string, number>();
  const listeners = new Set<() => void>();
  let reachedAt = -Infinity;
  let restoredAt = -Infinity;
  /** Since when no server has answered, if connections fail; or -Infinity. */
  let suspectSince = -Infinity;
  let unreachable = 0;
  let unreachableSince: number | null = null;
  let isProbing = false;
  let cancelProbe = (): void => undefined;
  let isStopped = false;
  let nextVerifyAt = -Infinity;

  const recount = (): void => {
    let count = 0;
    for (const {others} of failed.values()) count += +(others === 'reach it');
    if (count === unreachable) return;
    unreachable = count;
    if (count === 0) unreachableSince = null;
    else unreachableSince ??= clock.now();
    listeners.forEach(listener => listener());
  };

  const dropUnlisted = (): void => {
    for (const server of failed.keys()) {
      if (cfg.backendOf(server) === undefined) failed.delete(server);
    }
    for (const [server, at] of verifiedAt) {
      if (clock.now() - at >= VERIFY_GAP_MS) verifiedAt.delete(server);
    }
    recount();
  };

  const nextToProbe = (): [string, FailedPath] | null => {
    const now = clock.now();
    let next: [string, FailedPath] | null = null;
    for (const [server, path] of failed) {
      if (path.probeAt > now) continue;
      if (next === null || path.probeAt < next[1].probeAt)
        next = [server, path];
    }
    return next;
  };

  const probeNext = (): void => {
    dropUnlisted();
    isProbing = failed.size > 0;
    if (!isProbing) return;
    const isRestoring = clock.now() - restoredAt < RESTORING_MS;
    const spacingMs = isRestoring ? RESTORING_SPACING_MS : PROBE_SPACING_MS;
    cancelProbe = clock.after(spacingMs, probeNext);
    const next = nextToProbe();
    if (next === null) return;
    const [server, path] = next;
    path.probeAt = clock.now() + path.probeGapMs;
    path.probeGapMs = Math.min(MAX_PROBE_GAP_MS, path.probeGapMs * 2);
    void cfg
      .probe(cfg.backendOf(server)!, PROBE_TIMEOUT_MS)
      .then(result => result === 'open' && noteReached(server));
  };

  const noteReached = (server: string): void => {
    reachedAt = clock.now();
    suspectSince = -Infinity;
    const path = failed.get(server);
    if (path === undefined) return;
    failed.delete(server);
    // What failed with this one may work again: each is probed once, soon.
    if (reachedAt - restoredAt >= RESTORING_MS) {
      restoredAt = reachedAt;
      for (const other of failed.values()) other.probeAt = reachedAt;
    }
    const afterMs = Math.round(reachedAt - path.failedAt);
    emit('server-reachable', {server, afterMs, others: path.others});
    recount();
  };

  const noteFailed: ServerPaths['noteFailed'] = (backend, sentAt, detail) => {
    const {id} = backend.info;
    const now = clock.now();
    if (reachedAt < sentAt) suspectSince = now;
    if (failed.has(id)) return;
    failed.set(id, {
      ...{failedAt: now, others: 'unknown', othersAt: now},
      ...{probeAt: now + MIN_PROBE_GAP_MS, probeGapMs: MIN_PROBE_GAP_MS},
    });
    emit('server-unreachable', {server: id, detail, failing: failed.size});
    if (isProbing || isStopped) return;
    isProbing = true;
    cancelProbe = clock.after(PROBE_SPACING_MS, probeNext);
  };

  const verifyNow = async (
    backend: Backend,
    sentAt: number,
  ): Promise<boolean> => {
    const {id} = backend.info;
    verifiedAt.set(id, clock.now());
    const waitMs = Math.max(0, nextVerifyAt - clock.now());
    nextVerifyAt = clock.now() + waitMs + VERIFY_SPACING_MS;
    if (waitMs > 0) await sleep(clock, waitMs);
    if (failed.has(id)) return false;
    const result = await cfg.probe(backend, PROBE_TIMEOUT_MS);
    if (result === 'open') noteReached(id);
    else noteFailed(backend, sentAt, `probe: ${result}`);
    return result === 'open';
  };

  return {
    isOpen: server => !failed.has(server),
    isCutOff(server) {
      const path = failed.get(server);
      if (path === undefined || path.others === 'fail too') return false;
      return path.others === 'reach it' || unreachable >= MIN_CUT_OFF;
    },
    isLost(server) {
      const path = failed.get(server);
      if (path?.others !== 'fail too') return false;
      return clock.now() - path.othersAt < LOST_TTL_MS;
    },
    trustedSince: server =>
      Math.max(suspectSince, failed.get(server)?.failedAt ?? -Infinity),
    isUnconfirmed: server => failed.get(server)?.others === 'unknown',
    noteReached,
    noteFailed,
    noteOtherView(server, isReached) {
      const path = failed.get(server);
      if (path === undefined) return;
      path.others = isReached ? 'reach it' : 'fail too';
      path.othersAt = clock.now();
      recount();
    },
    async verify(backend, sentAt) {
      const {id} = backend.info;
      if (failed.has(id)) return false;
      const pending = verifications.get(id);
      if (pending !== undefined) return pending;
      if (clock.now() - (verifiedAt.get(id) ?? -Infinity) < VERIFY_GAP_MS)
        return true;
      const verification = verifyNow(backend, sentAt).finally(() =>
        verifications.delete(id),
      );
      verifications.set(id, verification);
      return verification;
    },
    hasReachedSince: at => reachedAt >= at,
    isSuspect: () => unreachable > 0 || suspectSince > -Infinity,
    isRouterCutOff: () => unreachable >= MIN_CUT_OFF,
    unreachableCount: () => unreachable,
    unreachableSince: () => unreachableSince,
    subscribe: listener => void listeners.add(listener),
    stop() {
      isStopped = true;
      cancelProbe();
    },
  };
}
