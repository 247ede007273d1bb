import type {Clock} from '@banyandrum/base/clock.js';
import {Client} from 'undici';

/** What a connection is wanted for. */
export type ConnectionUse = 'request' | 'control';

/** A connection that serves one exchange at a time. */
export interface Connection {
  readonly client: Client;
  readonly use: ConnectionUse;
}

/** Gets a connection, or null once the server is given up. */
export type Grant = (connection: Connection | null) => void;

/** Limits on the connections to one server. */
export interface ConnectionLimits {
  /** A new connection must stand within this time, in ms. */
  readonly connectMs: number;
  /** An unused connection is closed after this time, in ms. */
  readonly idleMs: number;
}

/** All connections to one server, within its limit. */
export interface Connections {
  /**
   * Calls `grant` once, at once where a connection is free. The result
   * cancels the wait, and does nothing after the grant.
   */
  acquire(use: ConnectionUse, grant: Grant): () => void;
  /** Gives a connection back; `answered` says whether it proved alive. */
  release(connection: Connection, answered: boolean): void;
  /**
   * Closes the unused connections without an answer since `since`. Called
   * when one stayed silent: whatever lost track of that connection has
   * probably lost the others too, and each would cost a request its whole
   * deadline. New connections work, so the next exchange opens one.
   */
  dropUnproved(since: number): void;
  /** Sets the server's limit anew. */
  setLimit(limit: number): void;
  /** Gives the server up: unused connections close now, others after use. */
  retire(): void;
  /** Closes all connections, whatever is under way. */
  destroy(): void;
}

interface Slot extends Connection {
  use: ConnectionUse;
  lastAnswerAt: number;
}

/**
 * Makes the connections to `origin`. Each is an undici client of its own: a
 * pool would not let us close the unused ones of a server that went silent.
 * One connection is kept for control, so that requests can't delay renewals.
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
    // The one used last goes first: the rest can run into their idle time.
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
