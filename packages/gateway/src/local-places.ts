import type {SlotAllocator} from '@banyandrum/dispatch/place-issuer.js';
import type {SlotResult, SlotProvider} from '@banyandrum/dispatch/slots.js';
import type {KeyOwners} from './key-owners.js';
import type {Leadership} from './leadership.js';

/** Who hands out places to this router's own requests. */
export interface LocalPlacesConfig {
  readonly leadership: Leadership;
  readonly issuer: SlotAllocator;
  readonly owners: KeyOwners;
  /** The leader, where that is another router. */
  readonly link: SlotProvider;
}

/**
 * Places from this router where it leads, else from the leader.
 *
 * @example
 * ```ts
 * const places = createLocalPlaces({leadership, issuer, owners, link});
 * ```
 */
export function createLocalPlaces(cfg: LocalPlacesConfig): SlotProvider {
  const {leadership, issuer, owners, link} = cfg;
  return {
    acquire(ask, signal) {
      if (!leadership.isLeading()) return link.acquire(ask, signal);
      if (ask.key !== null) owners.noteRequest(ask.service, ask.key);
      return new Promise<SlotResult>(resolve => {
        const cancel = (): void => {
          takeBack('cancelled', 0);
          resolve({kind: 'unavailable'});
        };
        signal.addEventListener('abort', cancel);
        const takeBack = issuer.ask(ask, reply => {
          signal.removeEventListener('abort', cancel);
          if (reply.kind !== 'granted') return resolve(reply);
          // What the request showed of the server is noted where it ends.
          const end = (): void => takeBack('cancelled', 0);
          resolve({kind: 'granted', server: reply.server, release: end});
        });
      });
    },
  };
}
