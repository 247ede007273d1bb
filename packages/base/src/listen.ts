import type {Server} from 'node:net';

/** Address that a server listens on. */
export interface ListenOptions {
  readonly ip: string;
  readonly port: number;
  /** Maximum number of pending connections; Node's default if omitted. */
  readonly backlog?: number;
}

/**
 * Starts listening; rejects if the server can't bind to the address.
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
