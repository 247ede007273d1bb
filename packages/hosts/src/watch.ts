import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Logger} from '@banyandrum/base/logger.js';
import type {Host, HostListClient} from './client.js';

export interface HostWatchOptions {
  readonly client: HostListClient;
  /** Mean delay between two polls, in ms. */
  readonly pollMs: number;
  readonly clock: Clock;
  readonly log: Logger;
  /** Returns numbers from 0 to below 1, as `Math.random` does. */
  readonly random?: () => number;
}

export type HostListener = (hosts: readonly Host[]) => void;

/** Polls the host list and keeps the last one that could be read. */
export interface HostWatch {
  /** The last list read, even if later polls failed; null before the first. */
  current(): readonly Host[] | null;
  /** Time since the last successful poll was sent, in ms; else `Infinity`. */
  ageMs(): number;
  /** Calls `listener` after each change; returns a function that stops it. */
  subscribe(listener: HostListener): () => void;
  /** Polls until the signal aborts; must be called once. */
  run(signal: AbortSignal): Promise<void>;
}

/** Range of the random variation of the delay between polls, as a fraction. */
const JITTER = 0.2;

/**
 * Creates a watch of the host list. It polls only while `run` is active.
 *
 * @example
 * ```ts
 * const watch = createHostWatch({client, pollMs: 1000, clock, log});
 * const running = watch.run(signal);
 * watch.subscribe(hosts => elect(hosts));
 * ```
 */
export function createHostWatch(options: HostWatchOptions): HostWatch {
  const {client, pollMs, clock, log} = options;
  const random = options.random ?? Math.random;
  const listeners = new Set<HostListener>();
  let hosts: readonly Host[] | null = null;
  let polledAt = -Infinity;
  let isFailing = false;

  const accept = (list: readonly Host[], sentAt: number): void => {
    if (isFailing) log.info('host list readable again');
    isFailing = false;
    polledAt = sentAt;
    if (hosts !== null && sameHosts(hosts, list)) return;
    hosts = list;
    for (const listener of [...listeners]) listener(list);
  };

  const poll = async (signal: AbortSignal): Promise<void> => {
    const sentAt = clock.now();
    const listed = await client.list(signal);
    if (signal.aborted) return;
    if (listed.ok) return accept(listed.val, sentAt);
    if (!isFailing)
      log.warn('host list unreadable', {detail: listed.val.detail});
    isFailing = true;
  };

  return {
    current: () => hosts,
    ageMs: () => clock.now() - polledAt,
    subscribe(listener) {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    async run(signal) {
      while (!signal.aborted) {
        await poll(signal);
        await sleep(clock, pollMs * (1 + JITTER * (random() - 0.5)), signal);
      }
    },
  };
}

/** Whether both lists have the same hosts, in any order. */
function sameHosts(a: readonly Host[], b: readonly Host[]): boolean {
  if (a.length !== b.length) return false;
  const byName = new Map(a.map(host => [host.name, host]));
  return b.every(host => {
    const other = byName.get(host.name);
    return other !== undefined && sameHost(other, host);
  });
}

function sameHost(a: Host, b: Host): boolean {
  return (
    a.role === b.role &&
    a.address === b.address &&
    a.dataCentre === b.dataCentre &&
    a.state === b.state
  );
}
