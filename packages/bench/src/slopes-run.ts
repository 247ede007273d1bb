import type {Series} from './slopes-fit.js';

/*
 * Measures one group of slopes in a process of its own, whose memory no
 * other group has touched, and prints them as one line of JSON:
 *
 *     node --expose-gc slopes-run.js tables
 */

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

const [name] = process.argv.slice(2);
if (name !== undefined && Object.hasOwn(GROUPS, name)) {
  const series = await GROUPS[name as GroupName]();
  process.stdout.write(`${JSON.stringify(series)}\n`, () => process.exit(0));
}
