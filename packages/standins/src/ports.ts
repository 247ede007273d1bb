import {createServer, type Server} from 'node:net';

const HOST = '127.0.0.1';

/**
 * Below the ephemeral port range, which outgoing connections use. Divided into
 * blocks, of which each belongs to one test process.
 */
const PORT_RANGE = {first: 15_000, count: 17_000} as const;
const PORTS_PER_BLOCK = 100;
const BLOCKS = PORT_RANGE.count / PORTS_PER_BLOCK;

/** Ports of this process's blocks that it hasn't tried yet. */
const untriedPorts: number[] = [];

/**
 * Finds ports that are free now and outside of the ephemeral range, so that
 * neither an outgoing connection nor another test process takes one of them
 * before its user listens, or while it is down.
 *
 * @example
 * ```ts
 * const [callers, peers] = await reservePorts(2);
 * ```
 */
export async function reservePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = untriedPorts.pop();
    if (port === undefined) await claimBlock();
    else if (await isPortFree(port)) ports.push(port);
  }
  return ports;
}

/** An address on loopback that is free; see `reservePorts`. */
export async function reserveAddress(): Promise<string> {
  const [port] = await reservePorts(1);
  return `${HOST}:${port}`;
}

/**
 * Claims a block by listening on its first port until this process exits, so
 * that no other test process uses the rest.
 */
async function claimBlock(): Promise<void> {
  for (;;) {
    const block = Math.floor(Math.random() * BLOCKS);
    const first = PORT_RANGE.first + block * PORTS_PER_BLOCK;
    const server = await listenAt(first);
    if (server === null) continue;
    server.unref();
    const rest = Array.from(
      {length: PORTS_PER_BLOCK - 1},
      (_, at) => first + 1 + at,
    );
    untriedPorts.push(...rest);
    return;
  }
}

async function isPortFree(port: number): Promise<boolean> {
  const server = await listenAt(port);
  if (server === null) return false;
  return new Promise(resolve => {
    server.close(() => resolve(true));
  });
}

/** Listens on loopback; null if the port is in use. */
function listenAt(port: number): Promise<Server | null> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(null));
    server.listen(port, HOST, () => resolve(server));
  });
}
