import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Backend} from './backend.js';

/** Result of a connection attempt to a server's address. */
export type ProbeResult =
  /** The host answered that nothing listens on the port. */
  'refused' | 'open' | 'silent';

/** Detects server instances that terminated without a planned shutdown. */
export interface CrashDetector {
  /**
   * Reports that a request's connection to the server ended without an answer.
   * Calls `onCrash` if evidence of a crash is found within
   * `REPLACEMENT_WATCH_MS`. Resolves when the server was probed, at the latest
   * after `MAX_PROBE_WAIT_MS`.
   */
  connectionLost(backend: Backend, onCrash: () => void): Promise<void>;
  /**
   * Reports that a request was cancelled while the server ran it. Calls
   * `onCrash` if a crash is found within `CANCELLED_WATCH_MS`; doesn't probe.
   */
  requestCancelled(backend: Backend, onCrash: () => void): void;
  /** Reports that another instance answers or is listed at the address. */
  noteReplaced(server: string): void;
  /** Instances for which a crash would call `onCrash`. */
  watchedServers(): readonly string[];
}

/** Dependencies of `createCrashDetector`. */
export interface CrashDetectorConfig {
  readonly clock: Clock;
  probe(backend: Backend): Promise<ProbeResult>;
}

interface Watch {
  /** Monotonic time at which the watch expires, in ms. */
  readonly until: number;
  readonly onCrash: () => void;
}

/**
 * If the instance is replaced within this time after a lost connection, the
 * loss is attributed to a crash, in ms.
 */
const REPLACEMENT_WATCH_MS = 5_000;
/**
 * A crash later than this after a cancellation isn't attributed to it, in ms.
 */
const CANCELLED_WATCH_MS = 1_000;
/**
 * Maximum time for which a request waits for the probe, in ms. Reachable hosts
 * answer within a few ms, a partitioned one stays silent for much longer.
 */
const MAX_PROBE_WAIT_MS = 50;
/** A detected crash applies to further lost requests for this time, in ms. */
const CRASH_TTL_MS = 500;

/**
 * Creates the detector. A lost connection alone doesn't prove a crash, as
 * connections also end by resets and network failures. An instance has crashed
 * if its address refuses connections or another instance answers there.
 *
 * @example
 * ```ts
 * const crashDetector = createCrashDetector({clock, probe});
 * const onCrash = () => addStrike(backend.info.id);
 * await crashDetector.connectionLost(backend, onCrash);
 * ```
 */
export function createCrashDetector(cfg: CrashDetectorConfig): CrashDetector {
  const {clock} = cfg;
  const watches = new Map<string, Watch[]>();
  const crashedAt = new Map<string, number>();
  const probes = new Map<string, Promise<ProbeResult>>();

  const noteCrash = (server: string): void => {
    const now = clock.now();
    crashedAt.set(server, now);
    clock.after(CRASH_TTL_MS, () => crashedAt.delete(server));
    const pending = watches.get(server) ?? [];
    watches.delete(server);
    for (const {until, onCrash} of pending) if (until >= now) onCrash();
  };

  const watch = (server: string, ms: number, onCrash: () => void): void => {
    const pending = watches.get(server) ?? [];
    pending.push({until: clock.now() + ms, onCrash});
    watches.set(server, pending);
    clock.after(ms + 1, () => expireWatches(server));
  };

  const expireWatches = (server: string): void => {
    const now = clock.now();
    const remaining = (watches.get(server) ?? []).filter(
      ({until}) => until >= now,
    );
    if (remaining.length === 0) watches.delete(server);
    else watches.set(server, remaining);
  };

  const probeOnce = (backend: Backend): Promise<ProbeResult> => {
    const {id} = backend.info;
    const known = probes.get(id);
    if (known !== undefined) return known;
    const started = cfg.probe(backend).finally(() => probes.delete(id));
    probes.set(id, started);
    return started;
  };

  return {
    async connectionLost(backend, onCrash) {
      const {id, isLeaving} = backend.info;
      // The server is shutting down, so its termination is planned.
      if (isLeaving) return;
      if (crashedAt.has(id)) return onCrash();
      watch(id, REPLACEMENT_WATCH_MS, onCrash);
      const probe = probeOnce(backend).then(result => {
        if (result === 'refused') noteCrash(id);
      });
      await Promise.race([probe, sleep(clock, MAX_PROBE_WAIT_MS)]);
    },
    requestCancelled(backend, onCrash) {
      if (!backend.info.isLeaving)
        watch(backend.info.id, CANCELLED_WATCH_MS, onCrash);
    },
    noteReplaced: noteCrash,
    watchedServers: () => [...watches.keys()],
  };
}
