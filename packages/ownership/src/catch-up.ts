import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {OwnershipPeers} from './control.js';
import type {LiveHosts} from './membership.js';
import {incarnationKey} from './views.js';

export interface CatchUpOptions {
  readonly self: {readonly host: string};
  readonly store: StateStore;
  readonly peers: OwnershipPeers;
  readonly hosts: LiveHosts;
  readonly clock: Clock;
  readonly log: Logger;
  readonly signal: AbortSignal;
  /** 0 to below 1. */
  readonly random: () => number;
}

/** Fetches newer state from peers while the log cannot be read. */
export interface CatchUp {
  /** Fetches the state of a peer that knows more than this process. */
  pull(from: Incarnation): void;
  /**
   * Until the log was read for the first time, fetches the state from some of
   * the other routers again and again: a router that starts during an outage
   * of the log learns the publication and the views from them.
   */
  runUntilRead(): Promise<void>;
}

/** Before peers are asked, the log gets this long, in ms. */
const FIRST_READ_WAIT_MS = 1000;
const RETRY_DELAY_MS = 2000;
const PEER_TIMEOUT_MS = 1000;
const PEERS_PER_ROUND = 5;

/**
 * Takes over the newer state of other routers. What they know comes from the
 * log as well, so it is as good as our own reading; it does not count as a
 * confirmed reading of the log's end, though.
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
    if (store.adopt(res.val.encoded)) log.info('state of a peer', {from: key});
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
