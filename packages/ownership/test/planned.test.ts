import tap from 'tap';
import {createCellHarness} from './support/cell-harness.js';
import type {FakeCluster} from './support/fake-cluster.js';
import {createFakeCluster} from './support/fake-cluster.js';

const HOSTS = ['a', 'b', 'c', 'd'];
const CELLS = Array.from({length: 12}, (_, i) => `holds/${i}`);

// A host that led several cells is lost. With one record per cell, the loss of
// a data centre would cost hundreds of appends.
void tap.test('claims of several cells share a record', async t => {
  const cluster = createFakeCluster({hosts: HOSTS, cells: CELLS.length});
  await cluster.waitUntil(() => isLed(cluster, CELLS), 5000);
  await cluster.clock.advance(2000);
  const {lost, cells} = busiestRouter(cluster);
  const records = cluster.log.length;
  cluster.router(lost).process.kill();
  await cluster.waitUntil(() => isLed(cluster, cells), 5000);
  t.ok(cells.length >= 3, `${cells.length} cells lost their leader`);
  // Each of the three other routers appends one record for the cells that it
  // takes over and one for those that lost their standby.
  t.ok(
    cluster.log.length - records <= 6,
    `${cluster.log.length - records} claims`,
  );
  t.strictSame(cluster.violations, []);
});

// Every router is stopped as planned and restarted, one after the other.
// Requests wait only briefly while a cell is handed over.
void tap.test('a rolling restart leaves no cell without a leader', async t => {
  const cluster = createFakeCluster({hosts: HOSTS, cells: CELLS.length});
  await cluster.waitUntil(() => isLed(cluster, CELLS), 5000);
  await cluster.clock.advance(2000);
  let longest = 0;
  for (const host of HOSTS) {
    let isStopped = false;
    void cluster
      .router(host)
      .ownership.stop()
      .then(() => (isStopped = true));
    for (let ms = 0; !isStopped && ms < 6000; ms += 10) {
      await cluster.clock.advance(10);
      longest = Math.max(
        longest,
        ...CELLS.map(cell => leaderlessMs(cluster, cell)),
      );
    }
    t.ok(isStopped, `${host} has stopped`);
    cluster.start(host);
    await cluster.clock.advance(1500);
  }
  t.ok(longest <= 100, `a cell had no leader for ${longest} ms`);
  t.ok(isLed(cluster, CELLS));
  t.strictSame(cluster.violations, []);
});

// A router that joins gets its share of cells by planned transfers, one at a
// time, and every cell keeps a leader meanwhile.
void tap.test('leadership evens out slowly', async t => {
  const cluster = createFakeCluster({hosts: HOSTS, cells: CELLS.length});
  cluster.router('d').process.kill();
  await cluster.waitUntil(() => isLed(cluster, CELLS), 8000);
  cluster.start('d');
  await cluster.clock.advance(3000);
  t.equal(ledBy(cluster, 'd').length, 0, 'joining alone takes nothing over');
  const counts: number[] = [];
  for (let i = 0; i < 12; i++) {
    await cluster.clock.advance(5000);
    counts.push(ledBy(cluster, 'd').length);
    t.ok(isLed(cluster, CELLS));
  }
  t.ok(counts.every((n, i) => i === 0 || n - (counts[i - 1] ?? 0) <= 3));
  const led = HOSTS.map(host => ledBy(cluster, host).length);
  t.ok(Math.max(...led) - Math.min(...led) <= 1, `cells led: ${led.join()}`);
  t.strictSame(cluster.violations, []);
});

// A router starts while the log is down. It cannot read which routers lead, so
// it asks the others and can then forward requests; it gets no role.
void tap.test('a start during an outage of the log', async t => {
  const {cluster, leader} = await createCellHarness(HOSTS);
  cluster.faults.refuses = true;
  const other = HOSTS.find(host => host !== leader) ?? '';
  const {ownership} = cluster.start(other);
  const knowsLeader = (): boolean => ownership.leaderOf('holds/0') !== null;
  const tookMs = await cluster.waitUntil(knowsLeader, 5000);
  t.ok(tookMs > 0, `knows the leader after ${tookMs} ms`);
});

const leaderlessSince = new WeakMap<FakeCluster, Map<string, number>>();

/** For how long no router has led the cell; call every 10 ms. */
function leaderlessMs(cluster: FakeCluster, cell: string): number {
  const since = leaderlessSince.get(cluster) ?? new Map<string, number>();
  leaderlessSince.set(cluster, since);
  if (cluster.activeLeader(cell)) since.delete(cell);
  else if (!since.has(cell)) since.set(cell, cluster.clock.now());
  return cluster.clock.now() - (since.get(cell) ?? cluster.clock.now());
}

function isLed(cluster: FakeCluster, cells: readonly string[]): boolean {
  return cells.every(cell => cluster.activeLeader(cell) !== null);
}

function ledBy(cluster: FakeCluster, host: string): readonly string[] {
  return CELLS.filter(cell => cluster.activeLeader(cell)?.host === host);
}

function busiestRouter(cluster: FakeCluster): {
  readonly lost: string;
  readonly cells: readonly string[];
} {
  const [first] = HOSTS.map(lost => ({
    lost,
    cells: ledBy(cluster, lost),
  })).sort((a, b) => b.cells.length - a.cells.length);
  return first ?? {lost: '', cells: []};
}
