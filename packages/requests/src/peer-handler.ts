import {cellOfKey} from '@banyandrum/base/hash.js';
import type {CellId} from '@banyandrum/base/ids.js';
import type {RequestHandler} from '@banyandrum/base/request.js';
import {Err} from '@banyandrum/base/result.js';
import type {ServiceTopology} from './entry.js';
import type {LeaderQueue} from './queue.js';
import {moved, unknownService} from './refusals.js';

export interface PeerHandlerOptions {
  readonly topology: (service: string) => ServiceTopology | null;
  /** The queue of a cell if this process leads it, else null. */
  readonly localLeader: (cell: CellId) => LeaderQueue | null;
}

/**
 * Creates the handler of requests that other routers forward. They aren't
 * forwarded again, which could loop while the routers' views differ.
 *
 * @example
 * ```ts
 * const handleRequest = createPeerHandler({topology, localLeader});
 * ```
 */
export function createPeerHandler(options: PeerHandlerOptions): RequestHandler {
  return async req => {
    const topology = options.topology(req.service);
    if (topology === null) return Err(unknownService(req.service));
    const {shards, cells} = topology;
    const cell = cellOfKey(req.service, req.key, shards, cells);
    const queue = options.localLeader(cell);
    if (queue !== null) return queue.handle(req);
    return Err(moved(`${cell} is not led here`));
  };
}
