import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

/** A TCP relay in front of an interface, which can be cut. */
export interface Relay {
  /** `ip:port` to use in place of the target's. */
  readonly address: string;
  /**
   * Cuts it: nothing passes any more on open connections, and new ones are
   * taken but lead nowhere, as if packets were dropped.
   */
  cut(): void;
  /** Lets new connections pass again; the old ones are closed. */
  mend(): void;
  close(): Promise<void>;
}

/**
 * Puts a relay in front of an address.
 *
 * @example
 * ```ts
 * const relay = await createRelay(() => router.peers);
 * relay.cut();
 * ```
 */
export async function createRelay(target: () => string): Promise<Relay> {
  const sockets = new Set<Socket>();
  let isCut = false;

  const keep = (socket: Socket): Socket => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
    return socket;
  };
  const server = createServer(near => {
    keep(near);
    if (isCut) return;
    const {host, port} = parseAddress(target());
    const far = keep(connect(port, host));
    near.pipe(far).pipe(near);
    near.on('close', () => far.destroy());
    far.on('close', () => near.destroy());
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const destroyAll = (): void => {
    for (const socket of sockets) socket.destroy();
  };
  return {
    address: `127.0.0.1:${port}`,
    cut() {
      isCut = true;
      for (const socket of sockets) {
        socket.unpipe();
        socket.pause();
      }
    },
    mend() {
      isCut = false;
      destroyAll();
    },
    async close() {
      destroyAll();
      await new Promise(resolve => server.close(resolve));
    },
  };
}

interface HostPort {
  readonly host: string;
  readonly port: number;
}

function parseAddress(address: string): HostPort {
  const at = address.lastIndexOf(':');
  return {host: address.slice(0, at), port: Number(address.slice(at + 1))};
}
