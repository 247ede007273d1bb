import type {Server} from 'node:net';

/** Where a server listens. */
export interface ListenOptions {
  readonly ip: string;
  readonly port: number;
  /** Connections that may wait to be accepted; the platform's, if left out. */
  readonly backlog?: number;
}

/**
 * Starts listening; rejects where the address cannot be had.
 *
 * @example
 * ```ts
 * await listen(server, {ip: '127.0.0.1', port: 8080});
 * ```
 */
export function listen(
  server: Server,
  {ip, port, ...rest}: ListenOptions,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host: ip, port, ...rest}, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
