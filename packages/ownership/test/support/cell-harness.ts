import type {View} from '@banyandrum/config/state.js';
import {LOG} from './fake-log.js';
import type {FakeCluster, FakeClusterOptions} from './fake-cluster.js';
import {CELL, createFakeCluster} from './fake-cluster.js';

/** A cluster in steady state, with the hosts of a cell's leader and standby. */
export interface CellHarness {
  readonly cluster: FakeCluster;
  readonly leader: string;
  readonly standby: string;
}

/** Starts routers and waits until the first cell has a leader and a standby. */
export async function createCellHarness(
  hosts: readonly string[],
  options: Omit<FakeClusterOptions, 'hosts'> = {},
): Promise<CellHarness> {
  const cluster = createFakeCluster({hosts, ...options});
  const isReady = (): boolean =>
    cluster.activeLeader() !== null && Boolean(viewOf(cluster)?.standby);
  await cluster.waitUntil(isReady, 5000);
  await cluster.clock.advance(1000);
  const view = viewOf(cluster);
  if (!view?.standby) throw new Error('the cell has no leader with a standby');
  return {cluster, leader: view.leader.host, standby: view.standby.host};
}

/** Returns the newest view of the cell that any router knows. */
export function viewOf(cluster: FakeCluster, cell = CELL): View | null {
  const views = cluster.hosts.map(({name}) =>
    cluster.router(name).ownership.leaderOf(cell),
  );
  const newest = Math.max(...views.map(view => view?.epoch ?? 0));
  return views.find(view => view?.epoch === newest) ?? null;
}

/** Isolates hosts from the log and all others; returns a function to undo it. */
export function isolate(
  cluster: FakeCluster,
  group: readonly string[],
): () => void {
  const nodes = [LOG, ...cluster.hosts.map(({name}) => name)];
  const rest = nodes.filter(node => !group.includes(node));
  const links = group.flatMap(a => rest.flatMap(b => [[a, b] as const]));
  for (const [a, b] of links) {
    cluster.network.cut(a, b);
    cluster.network.cut(b, a);
  }
  return () => {
    for (const [a, b] of links) {
      cluster.network.restore(a, b);
      cluster.network.restore(b, a);
    }
  };
}
