import type {SlotAllocator} from '@banyandrum/slots/slot-allocator.js';
import type {
  SlotOutcome,
  SlotResult,
  SlotProvider,
} from '@banyandrum/dispatch/slots.js';
import type {KeyOwners} from './key-owners.js';
import type {Leadership} from './leadership.js';

/** Sources of slots for this router's own requests. */
export interface LocalSlotProviderConfig {
  readonly leadership: Leadership;
  readonly allocator: SlotAllocator;
  readonly owners: KeyOwners;
  /** Requests slots from the leader if that is another router. */
  readonly link: SlotProvider;
}

/**
 * Allocates slots here if this router leads, else requests them from the
 * leader.
 *
 * @example
 * ```ts
 * const slots = createLocalSlotProvider({leadership, allocator, owners, link});
 * ```
 */
export function createLocalSlotProvider(
  cfg: LocalSlotProviderConfig,
): SlotProvider {
  const {leadership, allocator, owners, link} = cfg;
  return {
    acquire(request, signal) {
      if (!leadership.isLeading()) return link.acquire(request, signal);
      if (request.key !== null)
        owners.noteRequest(request.service, request.key);
      return new Promise<SlotResult>(resolve => {
        const cancel = (): void => {
          endSlot('cancelled', 0);
          resolve({kind: 'unavailable'});
        };
        signal.addEventListener('abort', cancel);
        const endSlot = allocator.ask(request, reply => {
          signal.removeEventListener('abort', cancel);
          if (reply.kind !== 'granted') return resolve(reply);
          // The request's own code records the other outcomes.
          const end = (outcome: SlotOutcome): void =>
            endSlot(outcome === 'not-held' ? outcome : 'cancelled', 0);
          resolve({kind: 'granted', server: reply.server, release: end});
        });
      });
    },
  };
}
