import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {OwnershipPeers} from './control.js';
import type {HostListReader} from './membership.js';
import {incarnationKey} from './views.js';

export interface CatchUpOptions {
  readonly self: {readonly host: string};
  readonly store: StateStore;
  readonly peers: OwnershipPeers;
  readonly hosts: HostListReader;
  readonly clock: Clock;
  readonly log: Logger;
  readonly signal: AbortSignal;
  /** Uniformly distributed in [0, 1). */
  readonly random: () => number;
}

/** Fetches newer state from other routers while the log is unreadable. */
export interface CatchUp {
  /** Fetches the state of a router that has read further in the log. */
  pull(from: Incarnation): void;
  /**
   * Fetches the state from a random sample of the other routers repeatedly,
   * until the log has been read for the first time. A router that starts during
   * an outage of the log learns the publication and the views this way.
   */
  runUntilRead(): Promise<void>;
}

/** Time for the first read of the log before other routers are asked, in ms. */
const FIRST_READ_WAIT_MS = 1000;
const RETRY_DELAY_MS = 2000;
const PEER_TIMEOUT_MS = 1000;
const PEERS_PER_ROUND = 5;

/**
 * Adopts newer state from other routers. Their state was read from the log as
 * well, so it is as reliable as a read of our own. It doesn't count as a
 * confirmed read of the log's end, however.
 *
 * @example
 * ```ts
 * const catchUp = createCatchUp({self, store, peers, hosts, ...});
 * await catchUp.runUntilRead();
 * ```
 */
export function createCatchUp(options: CatchUpOptions): CatchUp {
  const {store, peers, clock, log, signal, random} = options;
  const pulling = new Set<string>();

  const pull = async (from: Incarnation): Promise<void> => {
    const key = incarnationKey(from);
    if (pulling.has(key)) return;
    pulling.add(key);
    const ask = {next: store.current().next};
    const res = await peers.ask(from, 'state', ask, PEER_TIMEOUT_MS);
    pulling.delete(key);
    if (!res.ok || res.val.encoded === null || signal.aborted) return;
    if (store.adopt(res.val.encoded))
      log.info('adopted newer state from a peer', {from: key});
  };

  const pullFromAddress = async (address: string): Promise<void> => {
    const found = await peers.probe(address, PEER_TIMEOUT_MS);
    if (found.ok) await pull(found.val);
  };

  const sampleRouterAddresses = (): readonly string[] =>
    (options.hosts.current() ?? [])
      .filter(({role}) => role === 'router')
      .filter(({name}) => name !== options.self.host)
      .map(({address}) => ({address, order: random()}))
      .sort((a, b) => a.order - b.order)
      .slice(0, PEERS_PER_ROUND)
      .map(({address}) => address);

  return {
    pull: from => void pull(from),
    async runUntilRead() {
      await sleep(clock, FIRST_READ_WAIT_MS, signal);
      while (!signal.aborted && store.confirmedAt() === -Infinity) {
        await Promise.all(sampleRouterAddresses().map(pullFromAddress));
        await sleep(clock, RETRY_DELAY_MS * (0.5 + random()), signal);
      }
    },
  };
}
