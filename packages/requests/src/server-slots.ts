/** Counts the requests in flight at one server. */
export interface ServerSlots {
  /** Whether one more may be sent now. */
  isFree(): boolean;
  take(): void;
  give(): void;
  inFlight(): number;
  /** Follows the inventory. */
  resize(slots: number): void;
}

/**
 * Makes the count of one server's slots.
 *
 * @example
 * ```ts
 * const slots = createServerSlots(2);
 * if (slots.isFree()) slots.take();
 * ```
 */
export function createServerSlots(slots: number): ServerSlots {
  let limit = slots;
  let used = 0;
  return {
    isFree: () => used < limit,
    take() {
      used++;
    },
    give() {
      used--;
    },
    inFlight: () => used,
    resize(count) {
      limit = count;
    },
  };
}
