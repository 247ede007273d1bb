import {createId, type Incarnation} from '@banyandrum/base/ids.js';
import type {Settings} from '@banyandrum/config/settings.js';

/** This run of the process; its address is known once it listens. */
export interface Identity {
  self(): Incarnation;
  /** Notes the address at which the interface for peers listens. */
  listensAt(address: string): void;
}

const ANY_PORT = ':0';

/**
 * Draws this run's boot id. Other routers reach it at the advertised address,
 * or where that names no port, at the one that it listens on.
 */
export function createIdentity(settings: Settings): Identity {
  const {host, dataCentre} = settings.router;
  const {advertise} = settings.peers;
  const boot = createId();
  let address = advertise;
  return {
    self: () => ({host, address, boot, dataCentre}),
    listensAt(actual) {
      address = advertise.endsWith(ANY_PORT) ? actual : advertise;
    },
  };
}
