import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Connections that may wait to be accepted: callers come back all at once. */
const BACKLOG = 1_024;

/** Yields the `ip:port` that the server listens on. */
export function listen(server: Server, address: string): Promise<string> {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at);
  const port = Number(address.slice(at + 1));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port, backlog: BACKLOG}, () => {
      server.off('error', reject);
      const bound = server.address() as AddressInfo;
      resolve(`${bound.address}:${bound.port}`);
    });
  });
}
