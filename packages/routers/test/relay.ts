import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

/** A TCP relay that can stop forwarding while its connections stay open. */
export interface Relay {
  readonly address: string;
  /** Connections that were accepted so far. */
  accepted(): number;
  /** Stops forwarding on the connections that are open now. */
  freeze(): void;
  /** Whether connections from now on are forwarded at all. */
  setForwarding(forwarding: boolean): void;
  /** Where connections from now on go. */
  setTarget(address: string): void;
  close(): void;
}

export async function createRelay(address: string): Promise<Relay> {
  const sockets = new Set<Socket>();
  let target = address;
  let forwarding = true;
  let accepted = 0;

  const keep = (socket: Socket): void => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
  };
  const server = createServer(inward => {
    accepted++;
    keep(inward);
    if (!forwarding) return;
    const at = target.lastIndexOf(':');
    const outward = connect(Number(target.slice(at + 1)), target.slice(0, at));
    keep(outward);
    inward.pipe(outward).pipe(inward);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;

  return {
    address: `127.0.0.1:${port}`,
    accepted: () => accepted,
    freeze() {
      for (const socket of sockets) {
        socket.unpipe();
        socket.pause();
      }
    },
    setForwarding(value) {
      forwarding = value;
    },
    setTarget(value) {
      target = value;
    },
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
