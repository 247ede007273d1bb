import {failure} from '@banyandrum/base/failure.js';
import {cellOfKey} from '@banyandrum/base/hash.js';
import type {CellId} from '@banyandrum/base/ids.js';
import type {RequestHandler} from '@banyandrum/base/request.js';
import {Err} from '@banyandrum/base/result.js';
import type {ServiceTopology} from './entry.js';
import type {LeaderQueue} from './queue.js';

export interface PeerHandlerOptions {
  readonly topology: (service: string) => ServiceTopology | null;
  /** The queue of a cell that this process leads, else null. */
  readonly localLeader: (cell: CellId) => LeaderQueue | null;
}

/** The other router's view is older or newer; it looks again. */
const MOVED_RETRY_MS = 50;

/**
 * Handles the requests that other routers pass on. They end here: passing
 * them on once more could send them round in circles while views differ.
 *
 * @example
 * ```ts
 * const handleRequest = createPeerHandler({topology, localLeader});
 * ```
 */
export function createPeerHandler(options: PeerHandlerOptions): RequestHandler {
  return async req => {
    const topology = options.topology(req.service);
    if (topology === null) {
      const detail = `no service ${req.service}`;
      return Err(failure('not-run', 'unknown-service', detail));
    }
    const {shards, cells} = topology;
    const cell = cellOfKey(req.service, req.key, shards, cells);
    const queue = options.localLeader(cell);
    if (queue !== null) return queue.handle(req);
    const detail = `${cell} is not led here`;
    return Err(failure('not-run', 'moved', detail, MOVED_RETRY_MS));
  };
}
