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

/** Polls one server for its self-reported load and health. */
export interface LoadProbe {
  /** The latest report, or null if the last request for it failed. */
  last(): ServerLoad | null;
  /** Polls until the signal aborts. */
  run(): Promise<void>;
}

const PROBE_INTERVAL_MS = 1000;
const PROBE_TIMEOUT_MS = 500;

/**
 * Creates the probe of one server. Reports lag behind and may be wrong, so
 * only the health values `leaving` and `cold` are used.
 *
 * @example
 * ```ts
 * void probe.run();
 * if (probe.last()?.health === 'leaving') moveShardsOff(server);
 * ```
 */
export function createLoadProbe(options: LoadProbeOptions): LoadProbe {
  const {server, client, clock, signal} = options;
  let last: ServerLoad | null = null;

  const requestLoad = async (): Promise<ServerLoad | null> => {
    const result = await withTimeout(
      clock,
      PROBE_TIMEOUT_MS,
      signal,
      timeoutSignal => client.load(server, timeoutSignal),
    );
    return result.ok ? result.val : null;
  };

  return {
    last: () => last,
    async run() {
      while (!signal.aborted) {
        last = await requestLoad();
        await sleep(clock, PROBE_INTERVAL_MS, signal);
      }
    },
  };
}
