import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import type {ServerRef} from '@banyandrum/servers/client.js';

/** A server that answers with given bytes. */
export interface RawServer {
  readonly ref: ServerRef;
  /** All bytes received on all connections. */
  received(): string;
  connections(): number;
  close(): Promise<void>;
}

/**
 * Starts a server on 127.0.0.1 that calls `reply` for each head it receives,
 * with the number of the head.
 */
export async function createRawServer(
  reply: (socket: Socket, count: number) => void,
): Promise<RawServer> {
  let received = '';
  let heads = 0;
  let connections = 0;
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    connections++;
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('data', data => {
      const text = data.toString('latin1');
      received += text;
      if (text.includes('HTTP/1.1\r\n')) reply(socket, ++heads);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {
    ref: {
      name: 'raw-1',
      service: 'holds',
      address: `127.0.0.1:${port}`,
      slots: 4,
      connections: 4,
    },
    received: () => received,
    connections: () => connections,
    close: () =>
      new Promise(resolve => {
        for (const socket of sockets) socket.destroy();
        server.close(() => resolve());
      }),
  };
}
