import type {Clock} from '@banyandrum/base/clock.js';
import type {ServerLoad} from '@banyandrum/servers/client.js';
import type {FaultSwitch} from './server-faults.js';
import type {ServerSlots} from './server-slots.js';

export interface LoadParts {
  readonly clock: Clock;
  readonly faults: FaultSwitch;
  readonly slots: ServerSlots;
  readonly slotCount: number;
  isCold(): boolean;
}

/**
 * Makes the source of a server's load reports, with lag and lies.
 *
 * @example
 * ```ts
 * const load = createLoadReports(parts);
 * load(); // {health: 'ok', busy: 1, slots: 2, queued: 0}
 * ```
 */
export function createLoadReports(parts: LoadParts): () => ServerLoad {
  let last: ServerLoad | null = null;
  let lastAt = 0;
  return () => {
    const {loadLagMs, load: lies} = parts.faults.current();
    const now = parts.clock.now();
    if (last === null || now - lastAt >= loadLagMs) {
      last = readLoad(parts);
      lastAt = now;
    }
    return {...last, ...lies} as ServerLoad;
  };
}

function readLoad(parts: LoadParts): ServerLoad {
  const {busy, queued} = parts.slots;
  return {health: healthOf(parts), busy, slots: parts.slotCount, queued};
}

function healthOf(parts: LoadParts): ServerLoad['health'] {
  if (parts.faults.current().leaving) return 'leaving';
  if (parts.isCold()) return 'cold';
  const isFull = parts.slots.busy >= parts.slotCount;
  return isFull && parts.slots.queued > 0 ? 'shedding' : 'ok';
}
