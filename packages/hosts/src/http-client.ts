import {createClock, type Clock} from '@banyandrum/base/clock.js';
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import {Pool} from 'undici';
import {z} from 'zod';
import type {HostListClient, HostListError} from './client.js';

export interface HostListClientOptions {
  /** `ip:port` of the host list. */
  readonly address: string;
  /** Timeout of a call, in ms. */
  readonly timeoutMs: number;
  /** Maximum size of a response; a larger one is an error. */
  readonly maxAnswerBytes?: number;
  readonly clock?: Clock;
}

const DEFAULT_MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const MAX_CONNECTIONS = 2;
const ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$/;

const HOST = z.object({
  name: z.string().min(1),
  role: z.enum(['router', 'server']),
  address: z.string().regex(ADDRESS),
  dataCentre: z.string().min(1),
  state: z.enum(['live', 'leaving']),
});

// If a host is listed twice, neither entry can be trusted.
const LIST = z.object({
  hosts: z
    .array(HOST)
    .refine(
      hosts => new Set(hosts.map(host => host.name)).size === hosts.length,
    ),
});

/**
 * Creates an HTTP client of the platform's host list. A list with one invalid
 * entry is rejected as a whole: without the entry, its host would appear to
 * have left.
 *
 * @example
 * ```ts
 * const client = createHostListClient({
 *   address: '127.0.0.1:9001',
 *   timeoutMs: 1000,
 * });
 * const hosts = await client.list();
 * ```
 */
export function createHostListClient(
  options: HostListClientOptions,
): HostListClient {
  const clock = options.clock ?? createClock();
  const pool = new Pool(`http://${options.address}`, {
    connections: MAX_CONNECTIONS,
    connect: {timeout: options.timeoutMs},
    maxResponseSize: options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES,
  });

  const fetchList = async (stop: AbortSignal): Promise<unknown> => {
    const res = await pool.request({
      method: 'GET',
      path: '/v1/hosts',
      signal: stop,
    });
    if (res.statusCode === 200) return res.body.json();
    await res.body.dump();
    throw new Error(`status ${res.statusCode}`);
  };

  return {
    async list(signal) {
      if (signal?.aborted) return fail('aborted');
      const stop = new AbortController();
      const onAbort = (): void => stop.abort(new Error('aborted'));
      const cancel = clock.after(options.timeoutMs, () =>
        stop.abort(new Error(`no answer within ${options.timeoutMs} ms`)),
      );
      signal?.addEventListener('abort', onAbort);
      try {
        const parsed = LIST.safeParse(await fetchList(stop.signal));
        return parsed.success ? Ok(parsed.data.hosts) : fail('malformed list');
      } catch (err) {
        return fail(err instanceof Error ? err.message : String(err));
      } finally {
        cancel();
        signal?.removeEventListener('abort', onAbort);
      }
    },
    close: () => pool.destroy(),
  };
}

function fail(detail: string): Result<never, HostListError> {
  return Err({detail});
}
