import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {listen} from '@banyandrum/base/listen.js';

/** Connections that may wait to be accepted: callers come back all at once. */
const BACKLOG = 1_024;

/** Listens at `ip:port`; yields the one that it got. */
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
