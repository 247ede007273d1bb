import {ownerServerOf, type SlotAllocatorConfig} from './free-server.js';
import {
  enqueue,
  NO_OWNER,
  waitersIn,
  type Waiter,
  type WaitQueue,
} from './wait-queue.js';
import type {SlotRequest} from '@banyandrum/dispatch/slots.js';

/** Wait queues of all services, by the servers that can serve them. */
export interface WaitQueues {
  /** Returns the queue for the request, according to current key ownership. */
  queueFor(req: SlotRequest): WaitQueue;
  /** Returns the queues that can use a free slot of the server. */
  queuesServedBy(service: string, server: string): readonly WaitQueue[];
  all(): Iterable<WaitQueue>;
  /**
   * Moves all waiters to the right queue after ownership changes. `prepare` is
   * called before a waiter enters its queue.
   */
  regroup(prepare?: (queue: WaitQueue, waiter: Waiter) => void): void;
  clear(): void;
}

/**
 * Creates the wait queues. They are split by server so that a free slot
 * concerns few waiters. Scanning all waiters of a service for each free slot
 * saturated the leader's processor at 2,000 slots a second with a few hundred
 * waiters.
 *
 * @example
 * ```ts
 * const queues = createWaitQueues(cfg);
 * enqueue(queues.queueFor(req), waiter);
 * ```
 */
export function createWaitQueues(cfg: SlotAllocatorConfig): WaitQueues {
  const services = new Map<string, Map<string | null, WaitQueue>>();

  const getOrCreate = (service: string, owner: string | null): WaitQueue => {
    const queues = services.get(service) ?? new Map<string | null, WaitQueue>();
    services.set(service, queues);
    const queue = queues.get(owner) ?? {service, owner, levels: []};
    queues.set(owner, queue);
    return queue;
  };

  const queueFor = (req: SlotRequest): WaitQueue =>
    getOrCreate(
      req.service,
      req.key === null ? null : (ownerServerOf(cfg, req) ?? NO_OWNER),
    );

  function* all(): Iterable<WaitQueue> {
    for (const queues of services.values()) yield* queues.values();
  }

  return {
    queueFor,
    queuesServedBy(service, server) {
      const queues = services.get(service);
      return [queues?.get(null), queues?.get(server)].filter(
        queue => queue !== undefined,
      );
    },
    all,
    regroup(prepare) {
      const waiting = [...all()].flatMap(waitersIn);
      // Also drops the queues of servers that no longer exist.
      services.clear();
      waiting.sort((a, b) => a.requestedAt - b.requestedAt);
      for (const waiter of waiting) {
        const queue = queueFor(waiter.req);
        prepare?.(queue, waiter);
        enqueue(queue, waiter);
      }
    },
    clear: () => services.clear(),
  };
}
