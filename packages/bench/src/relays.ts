import {createRelay, type Relay} from './relay.js';

/** The relays of a deployment, by host or server; empty without relays. */
export interface Relays {
  /** In front of each router's interface for peers. */
  readonly peers: ReadonlyMap<string, Relay>;
  /** Between each router and the log. */
  readonly logs: ReadonlyMap<string, Relay>;
  /** In front of each server. */
  readonly servers: ReadonlyMap<string, Relay>;
}

/** Relays that are added as the deployment grows. */
export interface RelaySet extends Relays {
  /** The address to use: the relay's, or the target itself without relays. */
  add(
    group: ReadonlyMap<string, Relay>,
    name: string,
    target: string,
  ): Promise<string>;
  /** A relay to a target that is known later; null without relays. */
  addLate(
    group: ReadonlyMap<string, Relay>,
    name: string,
    target: () => string,
  ): Promise<string | null>;
  close(): Promise<void>;
}

/**
 * Makes an empty set; where relays are not wanted, targets stay as they are.
 */
export function createRelays(wanted: boolean): RelaySet {
  const peers = new Map<string, Relay>();
  const logs = new Map<string, Relay>();
  const servers = new Map<string, Relay>();
  const addLate: RelaySet['addLate'] = async (group, name, target) => {
    if (!wanted) return null;
    const known = group.get(name);
    if (known !== undefined) return known.address;
    const relay = await createRelay(target);
    (group as Map<string, Relay>).set(name, relay);
    return relay.address;
  };
  return {
    peers,
    logs,
    servers,
    addLate,
    add: async (group, name, target) =>
      (await addLate(group, name, () => target)) ?? target,
    async close() {
      const all = [...peers.values(), ...logs.values(), ...servers.values()];
      await Promise.all(all.map(relay => relay.close()));
    },
  };
}
