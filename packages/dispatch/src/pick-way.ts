import type {Backend} from './backend.js';
import type {Connection} from './connections.js';
import type {ForwardConfig} from './forward-state.js';

/**
 * How a request can get to the server: by an own connection, by a carrier
 * (`connection` is null), not at present since all connections are busy, or not
 * at all.
 */
export type Way = {readonly connection: Connection | null} | 'busy' | 'none';

/**
 * Picks the way for a request to the server.
 *
 * @example
 * ```ts
 * const way = pickWay(cfg, backend, req.id);
 * if (way === 'none') return refuseAsUnreachable(state);
 * ```
 */
export function pickWay(
  {paths, carriers}: ForwardConfig,
  backend: Backend,
  requestId: string,
): Way {
  const {info, connections} = backend;
  const trustedSince = paths.trustedSince(info.id);
  if (paths.isOpen(info.id)) {
    const connection = connections.acquire(requestId, trustedSince);
    return connection === null ? 'busy' : {connection};
  }
  const connection = connections.acquireIdle(requestId, trustedSince);
  if (connection !== null || carriers.isAvailable()) return {connection};
  return 'none';
}

/** Whether a request may get to the server, by this router or another. */
export function hasWay(
  {paths, carriers}: ForwardConfig,
  {info: {id}, connections}: Backend,
): boolean {
  if (paths.isOpen(id)) return true;
  if (connections.hasAnsweredSince(paths.trustedSince(id))) return true;
  return carriers.isAvailable() && !paths.isLost(id);
}
