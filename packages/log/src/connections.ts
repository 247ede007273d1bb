import {createClock, type Clock} from '@banyandrum/base/clock.js';
import {Pool} from 'undici';
import {exchange, type Exchange, type ExchangeOptions} from './exchange.js';

export interface ConnectionsOptions {
  /** `ip:port`. */
  readonly address: string;
  /** How long opening a connection may take, in ms. */
  readonly timeoutMs: number;
  readonly maxAnswerBytes?: number;
  readonly clock?: Clock;
}

/** Connections to one HTTP service, replaced when they go silent. */
export interface Connections {
  exchange(options: Omit<ExchangeOptions, 'clock'>): Promise<Exchange>;
  close(): Promise<void>;
}

const DEFAULT_MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Enough for the long poll, a catch-up and some appends at once. */
const MAX_CONNECTIONS = 8;

/**
 * Opens nothing yet: connections come about with the calls.
 *
 * @example
 * ```ts
 * const connections = createConnections({address, timeoutMs: 1000});
 * const exchanged = await connections.exchange({method: 'GET', path, ...});
 * ```
 */
export function createConnections(options: ConnectionsOptions): Connections {
  const clock = options.clock ?? createClock();
  const pools = new Set<Pool>();

  const open = (): Pool => {
    const pool = new Pool(`http://${options.address}`, {
      connections: MAX_CONNECTIONS,
      connect: {timeout: options.timeoutMs},
      maxResponseSize: options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES,
    });
    pools.add(pool);
    return pool;
  };

  const retire = async (pool: Pool): Promise<void> => {
    if (!pool.destroyed) await pool.close();
    pools.delete(pool);
  };

  let current = open();

  return {
    async exchange(wanted) {
      const pool = current;
      const exchanged = await exchange(pool, {...wanted, clock});
      const silent =
        exchanged.kind === 'failed' && exchanged.reason === 'timeout';
      // Idle connections may have gone silent for good as this one did, and
      // each would cost the next call its whole time-out. So all are left
      // behind: calls in progress finish there, new ones connect anew.
      if (silent && pool === current) {
        current = open();
        void retire(pool);
      }
      return exchanged;
    },
    async close() {
      await Promise.all([...pools].map(pool => pool.destroy()));
    },
  };
}
