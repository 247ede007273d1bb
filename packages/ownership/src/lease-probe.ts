import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import type {
  ServerClient,
  ServerLoad,
  ServerRef,
} from '@banyandrum/servers/client.js';
import {withTimeout} from './condition.js';

export interface LoadProbeOptions {
  readonly server: ServerRef;
  readonly client: ServerClient;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

/** Asks one server how it says it is. */
export interface LoadProbe {
  /** Its newest report, or null while it can't be had. */
  last(): ServerLoad | null;
  run(): Promise<void>;
}

const PROBE_INTERVAL_MS = 1000;
const PROBE_TIMEOUT_MS = 500;

/**
 * Makes the probe of one server. What it reports lags and may mislead: only
 * its word that it leaves, or is cold, counts for anything.
 *
 * @example
 * ```ts
 * void probe.run();
 * if (probe.last()?.health === 'leaving') empty(server);
 * ```
 */
export function createLoadProbe(options: LoadProbeOptions): LoadProbe {
  const {server, client, clock, signal} = options;
  let last: ServerLoad | null = null;

  const ask = async (): Promise<ServerLoad | null> => {
    const result = await withTimeout(clock, PROBE_TIMEOUT_MS, signal, ended =>
      client.load(server, ended),
    );
    return result.ok ? result.val : null;
  };

  return {
    last: () => last,
    async run() {
      while (!signal.aborted) {
        last = await ask();
        await sleep(clock, PROBE_INTERVAL_MS, signal);
      }
    },
  };
}
