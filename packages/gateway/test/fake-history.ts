import type {StoreHistory} from '@banyandrum/gateway/platform.js';

/** A store history with which a test simulates restores. */
export interface FakeHistory extends StoreHistory {
  restore(): void;
}

/** Creates a history in epoch 0, before any restore. */
export function createFakeHistory(now: () => number): FakeHistory {
  const listeners = new Set<(epoch: number, before: number | null) => void>();
  let epoch = 0;
  let seenAt = -Infinity;
  return {
    epoch: () => epoch,
    epochSeenAt: () => seenAt,
    subscribe: listener => void listeners.add(listener),
    restore() {
      epoch++;
      seenAt = now();
      listeners.forEach(listener => listener(epoch, epoch - 1));
    },
  };
}
