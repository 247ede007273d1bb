import tap from 'tap';
import {LOG} from './support/fake-log.js';
import {createCellHarness, isolate, viewOf} from './support/cell-harness.js';

const HOSTS = ['a', 'b', 'c', 'd', 'e'];

// A leader replaces its paused standby. The append takes effect, but at the
// same moment the leader and the old standby are cut off together, and the old
// standby resumes and continues to consent. The new standby reaches neither and
// takes over without having to ask the old standby. If the old consent still
// counted, callers on both sides would be served.
void tap.test('a lost reply to the claim of a new standby', async t => {
  const {cluster, leader, standby} = await createCellHarness(HOSTS);
  cluster.router(standby).process.pause();
  let claims = 0;
  cluster.faults.onAppend = () => {
    if (claims++ > 0) return;
    isolate(cluster, [leader, standby]);
    cluster.router(standby).process.resume();
  };
  await cluster.waitUntil(() => claims > 0, 3000);
  t.equal(claims, 1, 'the claim is in the log');
  await cluster.clock.advance(8000);
  t.strictSame(cluster.violations, []);
  const {host} = cluster.activeLeader() ?? {host: 'nobody'};
  t.ok(![leader, standby, 'nobody'].includes(host), `${host} took over`);
});

// Leader and standby are cut off together and continue by consent. A third
// router claims the cell, which it may since the servers check fences, and is
// lost before it is cleared. Its standby must not consider only the claimant as
// its predecessor: the first pair still acts.
void tap.test('a claimant lost before it cleared', async t => {
  const harness = await createCellHarness(HOSTS, {checksFences: true});
  const {cluster, leader, standby} = harness;
  isolate(cluster, [leader, standby]);
  const claimed = await cluster.waitUntil(
    () => cluster.leaders.length > 1,
    8000,
  );
  t.ok(claimed > 0, 'a third router claims');
  const third = cluster.leaders.at(-1);
  t.notOk(third?.isCleared(), 'and is not cleared');
  await cluster.clock.advance(3000);
  third?.process.kill();
  await cluster.waitUntil(() => cluster.leaders.length > 2, 8000);
  await cluster.clock.advance(6000);
  t.equal(
    cluster.activeLeader()?.host,
    leader,
    'the first pair remains active',
  );
  const last = cluster.leaders.at(-1);
  t.not(last?.host, third?.host);
  t.notOk(last?.isCleared(), 'so the second claimant may not move anything');
  // Once the pair learns of the later view, the claimant is cleared.
  cluster.network.heal();
  await cluster.clock.advance(5000);
  t.equal(cluster.activeLeader()?.host, last?.host);
  t.strictSame(cluster.violations, []);
  const unsettled = viewOf(cluster)?.unsettled ?? [];
  t.strictSame(
    unsettled,
    [],
    'and the log records that the earlier pairs have ended',
  );
});

// The standby withdraws its consent while the leader is paused briefly. The
// leader resumes and reads the log just before the claim is appended, so it may
// act for up to `authorityMs` longer. The new leader is then stopped as planned:
// it must tell its own standby that it was not cleared, or that standby would
// act at the same time as the first leader.
void tap.test('a leader that resigns before it was cleared', async t => {
  const {cluster, leader, standby} = await createCellHarness(HOSTS);
  cluster.router(leader).process.pause();
  cluster.faults.appendDelay = () => 300;
  cluster.faults.onAppend = () => void isolate(cluster, [leader]);
  await cluster.waitUntil(() => cluster.withdrawals(standby) > 0, 3000);
  cluster.router(leader).process.resume();
  await cluster.waitUntil(() => cluster.leaders.length > 1, 3000);
  cluster.faults.appendDelay = () => 0;
  t.ok(cluster.leaders[0]?.mayAct(), 'the first leader may still act');
  void cluster.router(standby).ownership.stop();
  await cluster.clock.advance(3000);
  t.strictSame(cluster.violations, []);
  const {host} = cluster.activeLeader() ?? {host: 'nobody'};
  t.ok(![leader, standby, 'nobody'].includes(host), `${host} took over`);
});

// The leader is cut off briefly; its standby withdraws its consent and claims
// the cell. The claim takes effect, but the standby is now cut off from the log
// together with the old leader and doesn't learn of that. Its own standby takes
// over from it and never asks about the old leader, which must not get consent
// any more.
void tap.test('a standby cut off after its claim was appended', async t => {
  const {cluster, leader, standby} = await createCellHarness(HOSTS);
  // Long enough that the leader has no claim of its own under way.
  cluster.network.cut(LOG, leader);
  await cluster.clock.advance(6000);
  cluster.network.cut(leader, standby);
  cluster.network.cut(standby, leader);
  let claims = 0;
  cluster.faults.onAppend = () => {
    if (claims++ > 0) return;
    cluster.network.heal();
    isolate(cluster, [leader, standby]);
  };
  await cluster.waitUntil(() => claims > 0, 3000);
  t.equal(cluster.withdrawals(standby), 1, 'the standby withdrew and claimed');
  await cluster.clock.advance(8000);
  t.strictSame(cluster.violations, []);
  const {host} = cluster.activeLeader() ?? {host: 'nobody'};
  t.ok(![leader, standby, 'nobody'].includes(host), `${host} took over`);
});

// The leader is cut off, and its standby can't reach the log. Another router,
// which can, asks the standby to withdraw its consent and claims the cell. When
// the old leader and its standby reach each other again, but nobody else, the
// standby must not consent again.
void tap.test('a standby that withdrew for another router', async t => {
  const {cluster, leader, standby} = await createCellHarness(HOSTS);
  cluster.network.cut(LOG, leader);
  await cluster.clock.advance(6000);
  cluster.network.cut(LOG, standby);
  isolate(cluster, [leader]);
  let claims = 0;
  cluster.faults.onAppend = () => {
    if (claims++ > 0) return;
    cluster.network.heal();
    isolate(cluster, [leader, standby]);
  };
  const elapsedMs = await cluster.waitUntil(() => claims > 0, 8000);
  t.ok(elapsedMs > 0, `another router claims after ${elapsedMs} ms`);
  await cluster.clock.advance(5000);
  t.strictSame(cluster.violations, []);
  const {host} = cluster.activeLeader() ?? {host: 'nobody'};
  t.ok(![leader, standby, 'nobody'].includes(host), `${host} took over`);
});

// The standby is lost and replaced while no shard changes, then the leader is
// lost. Without the table of this epoch, the new standby would have to ask the
// servers for their shards and wait for the leases of those that don't answer.
void tap.test('a new standby gets the table without a change', async t => {
  const {cluster, leader, standby} = await createCellHarness(HOSTS);
  cluster.router(standby).process.kill();
  await cluster.clock.advance(3000);
  t.equal(cluster.activeLeader()?.host, leader);
  cluster.router(leader).process.kill();
  await cluster.waitUntil(() => cluster.activeLeader() !== null, 5000);
  t.ok(cluster.leaders.at(-1)?.inherited, 'the successor has the table');
  t.strictSame(cluster.violations, []);
});

// As above, a third router has claimed the cell of a pair that continues by
// consent. It replaces its own standby and is then lost; or it is lost together
// with its standby, and both restart as new instances, which proves that the
// claimant and its standby have ended. Neither case proves that the first pair
// has ended.
for (const loss of ['its standby first', 'its standby as well'] as const) {
  void tap.test(`a claimant lost before it cleared, ${loss}`, async t => {
    const hosts = [...HOSTS, 'f'];
    const harness = await createCellHarness(hosts, {checksFences: true});
    const {cluster, leader, standby} = harness;
    isolate(cluster, [leader, standby]);
    await cluster.waitUntil(() => cluster.leaders.length > 1, 8000);
    const claimant = cluster.leaders.at(-1)?.host ?? '';
    const second = viewOf(cluster)?.standby?.host ?? '';
    cluster.router(second).process.kill();
    if (loss === 'its standby first') await cluster.clock.advance(4000);
    cluster.router(claimant).process.kill();
    await cluster.clock.advance(100);
    if (loss === 'its standby as well') {
      cluster.start(claimant);
      cluster.start(second);
    }
    await cluster.waitUntil(() => cluster.leaders.length > 2, 8000);
    await cluster.clock.advance(5000);
    t.equal(
      cluster.activeLeader()?.host,
      leader,
      'the first pair remains active',
    );
    t.ok(cluster.leaders.length > 2, 'another router has claimed');
    t.strictSame(cluster.violations, []);
  });
}

// The leader's clock is slow and the standby's is fast, each within the allowed
// drift. The leader reads the log right before the claim is appended and relies
// on that read for `authorityMs` on its own clock. The standby must wait for
// longer than `authorityMs` on its own clock.
void tap.test('clocks that drift apart', async t => {
  for (let delay = 300; delay < 400; delay += 8) {
    const options = {rates: [0.995, 0.995, 0.995, 0.995, 0.995]};
    const {cluster, leader, standby} = await createCellHarness(HOSTS, options);
    cluster.network.latency = () => 0;
    cluster.router(leader).process.pause();
    cluster.router(standby).process.setRate(1.0045);
    cluster.faults.appendDelay = () => delay;
    cluster.faults.onAppend = () => void isolate(cluster, [leader]);
    await cluster.waitUntil(() => cluster.withdrawals(standby) > 0, 3000);
    cluster.router(leader).process.resume();
    await cluster.waitUntil(() => cluster.leaders.length > 1, 3000);
    t.ok(cluster.leaders[0]?.mayAct(), 'the old leader may still act');
    await cluster.clock.advance(2000);
    t.equal(cluster.activeLeader()?.host, standby);
    t.strictSame(cluster.violations, [], `append after ${delay} ms`);
  }
});
