import type {Incarnation} from '@banyandrum/base/ids.js';
import {incarnationKey} from './views.js';

/** Runs one task for each peer that is wanted. */
export interface PeerTasks {
  /** Starts tasks of new peers and ends those of peers not wanted now. */
  sync(wanted: readonly Incarnation[]): void;
  stop(): void;
}

/**
 * Keeps one task for each peer, ended by its own signal.
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
  const running = new Map<string, AbortController>();

  const sync = (wanted: readonly Incarnation[]): void => {
    const peers = new Map(wanted.map(peer => [incarnationKey(peer), peer]));
    for (const [key, abort] of [...running]) {
      if (peers.has(key)) continue;
      abort.abort();
      running.delete(key);
    }
    for (const [key, peer] of peers) {
      if (running.has(key)) continue;
      const abort = new AbortController();
      running.set(key, abort);
      void run(peer, abort.signal);
    }
  };

  return {sync, stop: () => sync([])};
}
