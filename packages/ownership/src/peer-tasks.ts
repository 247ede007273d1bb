import type {Incarnation} from '@banyandrum/base/ids.js';
import {incarnationKey} from './views.js';

/** A set of tasks, one for each wanted peer. */
export interface PeerTasks {
  /** Starts tasks of new peers and aborts those of peers no longer wanted. */
  sync(wanted: readonly Incarnation[]): void;
  stop(): void;
}

/**
 * Runs one task for each peer, each with its own abort signal.
 *
 * @example
 * ```ts
 * const tasks = createPeerTasks((peer, signal) => heartbeat(peer, signal));
 * tasks.sync(peers);
 * ```
 */
export function createPeerTasks(
  run: (peer: Incarnation, signal: AbortSignal) => Promise<void>,
): PeerTasks {
  const aborts = new Map<string, AbortController>();

  const sync = (wanted: readonly Incarnation[]): void => {
    const peers = new Map(wanted.map(peer => [incarnationKey(peer), peer]));
    for (const [key, abort] of [...aborts]) {
      if (peers.has(key)) continue;
      abort.abort();
      aborts.delete(key);
    }
    for (const [key, peer] of peers) {
      if (aborts.has(key)) continue;
      const abort = new AbortController();
      aborts.set(key, abort);
      void run(peer, abort.signal);
    }
  };

  return {sync, stop: () => sync([])};
}
