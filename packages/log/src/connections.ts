import {createClock, type Clock} from '@banyandrum/base/clock.js';
import {Pool} from 'undici';
import {exchange, type Exchange, type ExchangeOptions} from './exchange.js';

export interface ConnectionsOptions {
  /** `ip:port`. */
  readonly address: string;
  /** Timeout for opening a connection, in ms. */
  readonly timeoutMs: number;
  readonly maxAnswerBytes?: number;
  readonly clock?: Clock;
}

/** Connections to one HTTP service, replaced after a timeout. */
export interface Connections {
  exchange(options: Omit<ExchangeOptions, 'clock'>): Promise<Exchange>;
  close(): Promise<void>;
}

const DEFAULT_MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Covers the long poll, reads that catch up, and some appends at once. */
const MAX_CONNECTIONS = 8;

/**
 * Creates the connections; each is opened when a call needs it.
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
      const hasTimedOut =
        exchanged.kind === 'failed' && exchanged.reason === 'timeout';
      // The idle connections may be dead as well, and each would cost the next
      // call its whole timeout. Calls in progress finish on the old ones.
      if (hasTimedOut && pool === current) {
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
