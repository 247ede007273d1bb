import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Backend} from './backend.js';

/** What a new connection to a server's address came to. */
export type ProbeResult =
  /** Its host answers, and nothing listens there. */
  'refused' | 'open' | 'silent';

/** Finds out whether servers' runs have ended. */
export interface CrashDetector {
  /**
   * A request's connection to the server ended without an answer. Calls
   * `onEnded` where the run is proved to have ended within some seconds;
   * resolves once that is known, or after a moment.
   */
  connectionLost(backend: Backend, onEnded: () => void): Promise<void>;
  /** A request was given up at the server: the same, without a probe. */
  requestCancelled(backend: Backend, onEnded: () => void): void;
  /** Another run answers at the server's address, or is listed there. */
  noteReplaced(server: string): void;
  /** Servers whose end would matter. */
  watchedServers(): readonly string[];
}

/** What finding out needs. */
export interface CrashDetectorConfig {
  readonly clock: Clock;
  probe(backend: Backend): Promise<ProbeResult>;
}

interface Watch {
  readonly until: number;
  readonly onCrash: () => void;
}

/** A run that is replaced within this time ended with the connection, in ms. */
const REPLACEMENT_WATCH_MS = 5_000;
/** A request given up so long before the end had no part in it, in ms. */
const CANCELLED_WATCH_MS = 1_000;
/**
 * A request waits so long for the proof before it goes on, in ms: hosts answer
 * within some ms, and one behind a cut says nothing for much longer.
 */
const MAX_PROOF_WAIT_MS = 50;
/** Requests lost at one server at once share one proof for this time, in ms. */
const CRASH_TTL_MS = 500;

/**
 * A connection that ends is not yet a server that ended: connections are reset,
 * cut and lost. A run has ended where its address refuses connections, or where
 * another run answers there.
 *
 * @example
 * ```ts
 * const ends = createServerEnds({clock, probe});
 * await ends.lost(backend, () => strike(backend.info.id));
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
    const waiting = watches.get(server) ?? [];
    watches.delete(server);
    for (const {until, onCrash: onEnded} of waiting)
      if (until >= now) onEnded();
  };

  const watch = (server: string, ms: number, onEnded: () => void): void => {
    const waiting = watches.get(server) ?? [];
    waiting.push({until: clock.now() + ms, onCrash: onEnded});
    watches.set(server, waiting);
    clock.after(ms + 1, () => expireWatches(server));
  };

  const expireWatches = (server: string): void => {
    const now = clock.now();
    const left = (watches.get(server) ?? []).filter(({until}) => until >= now);
    if (left.length === 0) watches.delete(server);
    else watches.set(server, left);
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
    async connectionLost(backend, onEnded) {
      const {id, isLeaving} = backend.info;
      // One that leaves ends as planned, whatever it still ran.
      if (isLeaving) return;
      if (crashedAt.has(id)) return onEnded();
      watch(id, REPLACEMENT_WATCH_MS, onEnded);
      const probed = probeOnce(backend).then(end => {
        if (end === 'refused') noteCrash(id);
      });
      await Promise.race([probed, sleep(clock, MAX_PROOF_WAIT_MS)]);
    },
    requestCancelled(backend, onEnded) {
      if (!backend.info.isLeaving)
        watch(backend.info.id, CANCELLED_WATCH_MS, onEnded);
    },
    noteReplaced: noteCrash,
    watchedServers: () => [...watches.keys()],
  };
}
