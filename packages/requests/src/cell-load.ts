import type {
  CellLoad,
  ServerObservation,
} from '@banyandrum/ownership/led-cell.js';
import type {LoadMeter} from './load-meter.js';
import type {ServerQueue} from './server-queue.js';

/** Returns the load of a cell as its leader measured it. */
export function cellLoadOf(
  load: LoadMeter,
  servers: Iterable<ServerQueue>,
): CellLoad {
  const observe = (server: ServerQueue): ServerObservation => ({
    server: server.name,
    queued: server.waiting.size(),
    serviceMs: server.meanMs(),
    ...load.server(server.name),
  });
  return {
    shards: load.shards(),
    servers: Array.from(servers, observe),
    hotKeys: load.hotKeys(),
  };
}
