import type {Clock} from '@banyandrum/base/clock.js';
import {Client} from 'undici';

/** Purpose of a connection. */
export type ConnectionUse = 'request' | 'control';

/** A connection for one exchange at a time. */
export interface Connection {
  readonly client: Client;
  readonly use: ConnectionUse;
}

/** Receives a connection, or null if the server was retired. */
export type Grant = (connection: Connection | null) => void;

/** Limits on the connections to one server. */
export interface ConnectionLimits {
  /** Timeout for opening a connection, in ms. */
  readonly connectMs: number;
  /** Idle connections are closed after this time, in ms. */
  readonly idleMs: number;
}

/** The connections to one server, within its limit. */
export interface Connections {
  /**
   * Calls `grant` once, synchronously if a connection is free. The returned
   * function cancels the wait; it has no effect after the grant.
   */
  acquire(use: ConnectionUse, grant: Grant): () => void;
  /** Returns a connection; `answered` is whether it delivered an answer. */
  release(connection: Connection, answered: boolean): void;
  /**
   * Closes the idle connections without an answer since `since`. Called after a
   * timeout: if a network device dropped the state of that connection, it
   * probably dropped the others too, and each would cost a request its whole
   * deadline.
   */
  dropUnproved(since: number): void;
  /** Changes the server's limit. */
  setLimit(limit: number): void;
  /** Closes idle connections now and the others after use. */
  retire(): void;
  /** Closes all connections, including those in use. */
  destroy(): void;
}

interface Slot extends Connection {
  use: ConnectionUse;
  lastAnswerAt: number;
}

/**
 * Creates the connections to `origin`. Each is a separate undici client, because
 * a pool can't close only its idle connections. One connection is reserved for
 * control, so that requests can't delay renewals.
 *
 * @example
 * ```ts
 * const connections = createConnections(origin, 55, clock, limits);
 * const cancel = connections.acquire('request', connection => {...});
 * ```
 */
export function createConnections(
  origin: string,
  limit: number,
  clock: Clock,
  limits: ConnectionLimits,
): Connections {
  let maxOpen = limit;
  let busyRequests = 0;
  let retired = false;
  const busy = new Set<Slot>();
  let idle: Slot[] = [];
  const waiting = {control: new Set<Grant>(), request: new Set<Grant>()};

  const isFree = (use: ConnectionUse): boolean => {
    if (busy.size >= maxOpen) return false;
    if (use === 'control' || maxOpen === 1) return true;
    return busyRequests < maxOpen - 1;
  };

  const take = (use: ConnectionUse): Slot => {
    // The last used one is reused first, so that the others can time out.
    const slot = idle.pop() ?? createSlot(origin, use, limits);
    slot.use = use;
    busy.add(slot);
    if (use === 'request') busyRequests++;
    return slot;
  };

  const serveWaiting = (use: ConnectionUse): void => {
    for (const grant of waiting[use]) {
      if (!isFree(use)) return;
      waiting[use].delete(grant);
      grant(take(use));
    }
  };

  const refuseWaiting = (): void => {
    const grants = [...waiting.control, ...waiting.request];
    waiting.control.clear();
    waiting.request.clear();
    for (const grant of grants) grant(null);
  };

  const drop = (isDropped: (slot: Slot) => boolean): void => {
    const kept: Slot[] = [];
    for (const slot of idle) {
      if (isDropped(slot)) void slot.client.destroy();
      else kept.push(slot);
    }
    idle = kept;
  };

  return {
    acquire(use, grant) {
      if (retired) {
        grant(null);
      } else if (waiting[use].size === 0 && isFree(use)) {
        grant(take(use));
      } else {
        waiting[use].add(grant);
      }
      return () => void waiting[use].delete(grant);
    },
    release(connection, answered) {
      const slot = connection as Slot;
      if (!busy.delete(slot)) return;
      if (slot.use === 'request') busyRequests--;
      if (answered) slot.lastAnswerAt = clock.now();
      if (retired || busy.size + idle.length >= maxOpen) {
        void slot.client.destroy();
      } else {
        idle.push(slot);
      }
      serveWaiting('control');
      serveWaiting('request');
    },
    dropUnproved: since => drop(slot => slot.lastAnswerAt < since),
    setLimit(next) {
      maxOpen = next;
    },
    retire() {
      retired = true;
      drop(() => true);
      refuseWaiting();
    },
    destroy() {
      retired = true;
      drop(() => true);
      for (const slot of busy) void slot.client.destroy();
      refuseWaiting();
    },
  };
}

function createSlot(
  origin: string,
  use: ConnectionUse,
  limits: ConnectionLimits,
): Slot {
  const client = new Client(origin, {
    pipelining: 1,
    connect: {timeout: limits.connectMs, noDelay: true},
    keepAliveTimeout: limits.idleMs,
    keepAliveMaxTimeout: limits.idleMs,
    // The caller's deadline ends an exchange, on the injected clock.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {client, use, lastAnswerAt: -Infinity};
}
