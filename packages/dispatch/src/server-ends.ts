import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Backend} from './backend.js';

/** What a new connection to a server's address came to. */
export type ProbeEnd =
  /** Its host answers, and nothing listens there. */
  'refused' | 'open' | 'silent';

/** Finds out whether servers' runs have ended. */
export interface ServerEnds {
  /**
   * A request's connection to the server ended without an answer. Calls
   * `onEnded` where the run is proved to have ended within some seconds;
   * resolves once that is known, or after a moment.
   */
  lost(backend: Backend, onEnded: () => void): Promise<void>;
  /** A request was given up at the server: the same, without a probe. */
  left(backend: Backend, onEnded: () => void): void;
  /** Another run answers at the server's address, or is listed there. */
  noteReplaced(server: string): void;
  /** Servers whose end would matter. */
  watched(): readonly string[];
}

/** What finding out needs. */
export interface ServerEndsConfig {
  readonly clock: Clock;
  probe(backend: Backend): Promise<ProbeEnd>;
}

interface Watch {
  readonly until: number;
  readonly onEnded: () => void;
}

/** A run that is replaced within this time ended with the connection, in ms. */
const WATCH_MS = 5_000;
/** A request given up so long before the end had no part in it, in ms. */
const LEFT_MS = 1_000;
/**
 * A request waits so long for the proof before it goes on, in ms: hosts answer
 * within some ms, and one behind a cut says nothing for much longer.
 */
const MOMENT_MS = 50;
/** Requests lost at one server at once share one proof for this time, in ms. */
const SHARED_MS = 500;

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
export function createServerEnds(cfg: ServerEndsConfig): ServerEnds {
  const {clock} = cfg;
  const watches = new Map<string, Watch[]>();
  const endedAt = new Map<string, number>();
  const probes = new Map<string, Promise<ProbeEnd>>();

  const noteEnded = (server: string): void => {
    const now = clock.now();
    endedAt.set(server, now);
    clock.after(SHARED_MS, () => endedAt.delete(server));
    const waiting = watches.get(server) ?? [];
    watches.delete(server);
    for (const {until, onEnded} of waiting) if (until >= now) onEnded();
  };

  const watch = (server: string, ms: number, onEnded: () => void): void => {
    const waiting = watches.get(server) ?? [];
    waiting.push({until: clock.now() + ms, onEnded});
    watches.set(server, waiting);
    clock.after(ms + 1, () => forget(server));
  };

  const forget = (server: string): void => {
    const now = clock.now();
    const left = (watches.get(server) ?? []).filter(({until}) => until >= now);
    if (left.length === 0) watches.delete(server);
    else watches.set(server, left);
  };

  const probe = (backend: Backend): Promise<ProbeEnd> => {
    const {id} = backend.info;
    const known = probes.get(id);
    if (known !== undefined) return known;
    const started = cfg.probe(backend).finally(() => probes.delete(id));
    probes.set(id, started);
    return started;
  };

  return {
    async lost(backend, onEnded) {
      const {id, isLeaving} = backend.info;
      // One that leaves ends as planned, whatever it still ran.
      if (isLeaving) return;
      if (endedAt.has(id)) return onEnded();
      watch(id, WATCH_MS, onEnded);
      const probed = probe(backend).then(end => {
        if (end === 'refused') noteEnded(id);
      });
      await Promise.race([probed, sleep(clock, MOMENT_MS)]);
    },
    left(backend, onEnded) {
      if (!backend.info.isLeaving) watch(backend.info.id, LEFT_MS, onEnded);
    },
    noteReplaced: noteEnded,
    watched: () => [...watches.keys()],
  };
}
