import type {PlaceIssuer} from '@banyandrum/dispatch/place-issuer.js';
import type {Place, Places} from '@banyandrum/dispatch/places.js';
import type {KeyOwners} from './key-owners.js';
import type {Leadership} from './leadership.js';

/** Who hands out places to this router's own requests. */
export interface LocalSlotProviderConfig {
  readonly leadership: Leadership;
  readonly issuer: PlaceIssuer;
  readonly owners: KeyOwners;
  /** The leader, where that is another router. */
  readonly link: Places;
}

/**
 * Places from this router where it leads, else from the leader.
 *
 * @example
 * ```ts
 * const places = createLocalPlaces({leadership, issuer, owners, link});
 * ```
 */
export function createLocalSlotProvider(cfg: LocalSlotProviderConfig): Places {
  const {leadership, issuer, owners, link} = cfg;
  return {
    acquire(ask, signal) {
      if (!leadership.isLeading()) return link.acquire(ask, signal);
      if (ask.key !== null) owners.noteRequest(ask.service, ask.key);
      return new Promise<Place>(resolve => {
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
          resolve({kind: 'granted', server: reply.server, end});
        });
      });
    },
  };
}
