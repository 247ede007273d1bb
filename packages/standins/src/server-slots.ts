/** How a wait for a slot ended. */
export type Entry = 'entered' | 'shed' | 'closed';

/** The slots of a server, with the queue before them. */
export interface ServerSlots {
  /**
   * Takes a slot, now or in turn; `leave` gives it back. `closed` is asked
   * only where it has to wait, and ends the wait.
   */
  enter(closed: () => AbortSignal): Entry | Promise<Entry>;
  leave(): void;
  readonly busy: number;
  readonly queued: number;
  /** The most slots that were ever taken at once. */
  readonly peak: number;
}

/**
 * Makes `slots` slots with a queue of at most `queueLimit`; what comes beyond
 * both is shed.
 *
 * @example
 * ```ts
 * if ((await slots.enter(() => signal)) === 'entered') {
 *   await run();
 *   slots.leave();
 * }
 * ```
 */
export function createServerSlots(
  slots: number,
  queueLimit: number,
): ServerSlots {
  let busy = 0;
  let peak = 0;
  const queue = new Set<() => void>();

  const take = (): void => {
    busy++;
    peak = Math.max(peak, busy);
  };

  const wait = (closed: AbortSignal): Promise<Entry> =>
    new Promise(resolve => {
      const start = (): void => {
        closed.removeEventListener('abort', drop);
        take();
        resolve('entered');
      };
      const drop = (): void => {
        queue.delete(start);
        resolve('closed');
      };
      closed.addEventListener('abort', drop, {once: true});
      queue.add(start);
    });

  return {
    enter(closed) {
      if (busy < slots) {
        take();
        return 'entered';
      }
      if (queue.size >= queueLimit) return 'shed';
      return wait(closed());
    },
    leave() {
      busy--;
      const [next] = queue;
      if (next === undefined) return;
      queue.delete(next);
      next();
    },
    get busy() {
      return busy;
    },
    get queued() {
      return queue.size;
    },
    get peak() {
      return peak;
    },
  };
}
