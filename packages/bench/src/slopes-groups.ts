import type {Series} from './slopes-fit.js';

/** The groups, in the order in which they run. */
export const GROUPS = {
  tables: async () => (await import('./slopes-tables.js')).measureTables(),
  ownership: async () => (await import('./slopes-loop.js')).measureLoop(),
  platform: async () =>
    (await import('./slopes-platform.js')).measurePlatform(),
  cell: async () => (await import('./slopes-cell.js')).measureCell(),
  processes: async () =>
    (await import('./slopes-process.js')).measureProcesses(),
  peers: async () => (await import('./slopes-peers.js')).measurePeers(),
} as const satisfies Readonly<Record<string, () => Promise<readonly Series[]>>>;

export type GroupName = keyof typeof GROUPS;
