import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {listen} from '@banyandrum/base/listen.js';

/** Pending connections; high, since callers reconnect all at once. */
const BACKLOG = 1_024;

/** Listens on `ip:port`; resolves to the address that was bound. */
export async function listenAt(
  server: Server,
  address: string,
): Promise<string> {
  const at = address.lastIndexOf(':');
  const ip = address.slice(0, at);
  const port = Number(address.slice(at + 1));
  await listen(server, {ip, port, backlog: BACKLOG});
  const bound = server.address() as AddressInfo;
  return `${bound.address}:${bound.port}`;
}
