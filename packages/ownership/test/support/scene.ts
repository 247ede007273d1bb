import type {View} from '@banyandrum/config/state.js';
import {LOG} from './fake-log.js';
import type {FakeCluster, FakeClusterOptions} from './world.js';
import {CELL, createFakeCluster} from './world.js';

/** A cell that is led, in steady state, and who has which role in it. */
export interface CellHarness {
  readonly cluster: FakeCluster;
  readonly leader: string;
  readonly standby: string;
}

/** Starts routers and waits until the first cell has leader and standby. */
export async function createCellHarness(
  hosts: readonly string[],
  options: Omit<FakeClusterOptions, 'hosts'> = {},
): Promise<CellHarness> {
  const world = createFakeCluster({hosts, ...options});
  const isReady = (): boolean =>
    world.activeLeader() !== null && Boolean(viewOf(world)?.standby);
  await world.waitUntil(isReady, 5000);
  await world.clock.advance(1000);
  const view = viewOf(world);
  if (!view?.standby) throw new Error('no leader and standby');
  return {cluster: world, leader: view.leader.host, standby: view.standby.host};
}

/** The newest view that any router knows. */
export function viewOf(world: FakeCluster, cell = CELL): View | null {
  const views = world.hosts.map(({name}) =>
    world.router(name).ownership.leaderOf(cell),
  );
  const newest = Math.max(...views.map(view => view?.epoch ?? 0));
  return views.find(view => view?.epoch === newest) ?? null;
}

/** Cuts a group off from the log and all others; yields how to mend it. */
export function isolate(world: FakeCluster, group: readonly string[]): () => void {
  const nodes = [LOG, ...world.hosts.map(({name}) => name)];
  const rest = nodes.filter(node => !group.includes(node));
  const links = group.flatMap(a => rest.flatMap(b => [[a, b] as const]));
  for (const [a, b] of links) {
    world.network.cut(a, b);
    world.network.cut(b, a);
  }
  return () => {
    for (const [a, b] of links) {
      world.network.restore(a, b);
      world.network.restore(b, a);
    }
  };
}
