import type {View} from '@banyandrum/config/state.js';
import {LOG} from './fake-log.js';
import type {World, WorldOptions} from './world.js';
import {CELL, createWorld} from './world.js';

/** A cell that is led, in steady state, and who has which role in it. */
export interface Scene {
  readonly world: World;
  readonly leader: string;
  readonly standby: string;
}

/** Starts routers and waits until the first cell has leader and standby. */
export async function createScene(
  hosts: readonly string[],
  options: Omit<WorldOptions, 'hosts'> = {},
): Promise<Scene> {
  const world = createWorld({hosts, ...options});
  const isReady = (): boolean =>
    world.acting() !== null && Boolean(viewOf(world)?.standby);
  await world.until(isReady, 5000);
  await world.clock.advance(1000);
  const view = viewOf(world);
  if (!view?.standby) throw new Error('no leader and standby');
  return {world, leader: view.leader.host, standby: view.standby.host};
}

/** The newest view that any router knows. */
export function viewOf(world: World, cell = CELL): View | null {
  const views = world.hosts.map(({name}) =>
    world.router(name).ownership.leaderOf(cell),
  );
  const newest = Math.max(...views.map(view => view?.epoch ?? 0));
  return views.find(view => view?.epoch === newest) ?? null;
}

/** Cuts a group off from the log and all others; yields how to mend it. */
export function isolate(world: World, group: readonly string[]): () => void {
  const nodes = [LOG, ...world.hosts.map(({name}) => name)];
  const rest = nodes.filter(node => !group.includes(node));
  const links = group.flatMap(a => rest.flatMap(b => [[a, b] as const]));
  for (const [a, b] of links) {
    world.network.cut(a, b);
    world.network.cut(b, a);
  }
  return () => {
    for (const [a, b] of links) {
      world.network.join(a, b);
      world.network.join(b, a);
    }
  };
}
