import tap from 'tap';
import {createCellHarness} from './support/scene.js';
import type {FakeCluster} from './support/world.js';
import {createFakeCluster} from './support/world.js';

const HOSTS = ['a', 'b', 'c', 'd'];
const CELLS = Array.from({length: 12}, (_, i) => `holds/${i}`);

// A host that led several cells is lost. Were each cell claimed by a record
// of its own, a lost data centre would cost hundreds of appends.
void tap.test('claims of several cells share a record', async t => {
  const world = createFakeCluster({hosts: HOSTS, cells: CELLS.length});
  await world.waitUntil(() => isLed(world, CELLS), 5000);
  await world.clock.advance(2000);
  const {lost, cells} = busiest(world);
  const records = world.log.length;
  world.router(lost).process.kill();
  await world.waitUntil(() => isLed(world, cells), 5000);
  t.ok(cells.length >= 3, `${cells.length} cells lost their leader`);
  // A record of each of the three others for the cells that it takes over,
  // and one for those whose standby is lost.
  t.ok(world.log.length - records <= 6, `${world.log.length - records} claims`);
  t.strictSame(world.violations, []);
});

// Every router is stopped as planned and started anew, one after the other.
// Callers wait for a moment while a cell is handed over, and no longer.
void tap.test('a rolling restart leaves no cell alone', async t => {
  const world = createFakeCluster({hosts: HOSTS, cells: CELLS.length});
  await world.waitUntil(() => isLed(world, CELLS), 5000);
  await world.clock.advance(2000);
  let longest = 0;
  for (const host of HOSTS) {
    let isStopped = false;
    void world
      .router(host)
      .ownership.stop()
      .then(() => (isStopped = true));
    for (let ms = 0; !isStopped && ms < 6000; ms += 10) {
      await world.clock.advance(10);
      longest = Math.max(longest, ...CELLS.map(cell => idleMs(world, cell)));
    }
    t.ok(isStopped, `${host} has stopped`);
    world.start(host);
    await world.clock.advance(1500);
  }
  t.ok(longest <= 100, `nobody led a cell for ${longest} ms`);
  t.ok(isLed(world, CELLS));
  t.strictSame(world.violations, []);
});

// A router that joins gets its share of cells by planned transfers, one at a
// time, and no cell is without a leader meanwhile.
void tap.test('leadership evens out slowly', async t => {
  const world = createFakeCluster({hosts: HOSTS, cells: CELLS.length});
  world.router('d').process.kill();
  await world.waitUntil(() => isLed(world, CELLS), 8000);
  world.start('d');
  await world.clock.advance(3000);
  t.equal(ledBy(world, 'd').length, 0, 'joining alone takes nothing over');
  const counts: number[] = [];
  for (let i = 0; i < 12; i++) {
    await world.clock.advance(5000);
    counts.push(ledBy(world, 'd').length);
    t.ok(isLed(world, CELLS));
  }
  t.ok(counts.every((n, i) => i === 0 || n - (counts[i - 1] ?? 0) <= 3));
  const led = HOSTS.map(host => ledBy(world, host).length);
  t.ok(Math.max(...led) - Math.min(...led) <= 1, `cells led: ${led.join()}`);
  t.strictSame(world.violations, []);
});

// A router starts while the log is down. It cannot read who leads what, so
// it asks the others, and can then pass requests on; it gets no role.
void tap.test('a start during an outage of the log', async t => {
  const {cluster: world, leader} = await createCellHarness(HOSTS);
  world.faults.refuses = true;
  const other = HOSTS.find(host => host !== leader) ?? '';
  const {ownership} = world.start(other);
  const knows = (): boolean => ownership.leaderOf('holds/0') !== null;
  const took = await world.waitUntil(knows, 5000);
  t.ok(took > 0, `knows the leader after ${took} ms`);
});

const idleSince = new WeakMap<FakeCluster, Map<string, number>>();

/** How long nobody has led the cell by now, looked at every 10 ms. */
function idleMs(world: FakeCluster, cell: string): number {
  const since = idleSince.get(world) ?? new Map<string, number>();
  idleSince.set(world, since);
  if (world.activeLeader(cell)) since.delete(cell);
  else if (!since.has(cell)) since.set(cell, world.clock.now());
  return world.clock.now() - (since.get(cell) ?? world.clock.now());
}

function isLed(world: FakeCluster, cells: readonly string[]): boolean {
  return cells.every(cell => world.activeLeader(cell) !== null);
}

function ledBy(world: FakeCluster, host: string): readonly string[] {
  return CELLS.filter(cell => world.activeLeader(cell)?.host === host);
}

function busiest(world: FakeCluster): {
  readonly lost: string;
  readonly cells: readonly string[];
} {
  const [first] = HOSTS.map(lost => ({
    lost,
    cells: ledBy(world, lost),
  })).sort((a, b) => b.cells.length - a.cells.length);
  return first ?? {lost: '', cells: []};
}
