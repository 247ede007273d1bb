import tap from 'tap';
import {LOG} from './support/fake-log.js';
import {createCellHarness, isolate, viewOf} from './support/scene.js';

const HOSTS = ['a', 'b', 'c', 'd', 'e'];

// A leader whose standby pauses puts another in its place. Its append takes
// effect, but in the same moment leader and old standby are cut off, and the
// standby wakes up and consents on. The new standby hears of neither and
// takes over, without a reason to ask the old standby. Callers on both sides
// would be served, were the old consent still counted.
void tap.test('a lost reply to the claim of a new standby', async t => {
  const {cluster: world, leader, standby} = await createCellHarness(HOSTS);
  world.router(standby).process.pause();
  let claims = 0;
  world.faults.onAppend = () => {
    if (claims++ > 0) return;
    isolate(world, [leader, standby]);
    world.router(standby).process.resume();
  };
  await world.waitUntil(() => claims > 0, 3000);
  t.equal(claims, 1, 'the claim is in the log');
  await world.clock.advance(8000);
  t.strictSame(world.violations, []);
  const {host} = world.activeLeader() ?? {host: 'nobody'};
  t.ok(![leader, standby, 'nobody'].includes(host), `${host} took over`);
});

// Leader and standby are cut off together and go on by consent. A third
// router claims the cell, for its servers check fences, and is lost before
// it has cleared. Its standby must not take only the claimant for its
// predecessor: the first pair still acts.
void tap.test('a claimant lost before it cleared', async t => {
  const scene = await createCellHarness(HOSTS, {checksFences: true});
  const {cluster: world, leader, standby} = scene;
  isolate(world, [leader, standby]);
  const claimed = await world.waitUntil(() => world.leaders.length > 1, 8000);
  t.ok(claimed > 0, 'a third router claims');
  const third = world.leaders.at(-1);
  t.notOk(third?.isCleared(), 'and is not cleared');
  await world.clock.advance(3000);
  third?.process.kill();
  await world.waitUntil(() => world.leaders.length > 2, 8000);
  await world.clock.advance(6000);
  t.equal(world.activeLeader()?.host, leader, 'the first pair goes on');
  const last = world.leaders.at(-1);
  t.not(last?.host, third?.host);
  t.notOk(last?.isCleared(), 'so the second claimant may not move anything');
  // As soon as the pair hears of the later view, the way is clear.
  world.network.heal();
  await world.clock.advance(5000);
  t.equal(world.activeLeader()?.host, last?.host);
  t.strictSame(world.violations, []);
  const unsettled = viewOf(world)?.unsettled ?? [];
  t.strictSame(unsettled, [], 'and the log says that the pairs are over');
});

// The standby withdraws from a leader that pauses for a moment. The leader is
// back and reads the log just before the claim gets there, so it may act for
// up to T more. The new leader is stopped as planned at once: it must tell
// its own standby that it was not cleared, or that one acts beside the first.
void tap.test('a leader that resigns before it was cleared', async t => {
  const {cluster: world, leader, standby} = await createCellHarness(HOSTS);
  world.router(leader).process.pause();
  world.faults.appendDelay = () => 300;
  world.faults.onAppend = () => void isolate(world, [leader]);
  await world.waitUntil(() => world.withdrawals(standby) > 0, 3000);
  world.router(leader).process.resume();
  await world.waitUntil(() => world.leaders.length > 1, 3000);
  world.faults.appendDelay = () => 0;
  t.ok(world.leaders[0]?.mayAct(), 'the first leader may still act');
  void world.router(standby).ownership.stop();
  await world.clock.advance(3000);
  t.strictSame(world.violations, []);
  const {host} = world.activeLeader() ?? {host: 'nobody'};
  t.ok(![leader, standby, 'nobody'].includes(host), `${host} took over`);
});

// The leader is cut off for a moment, its standby withdraws and claims. The
// claim takes effect, but now the standby is cut off from the log together
// with the old leader, and doesn't know. Its own standby takes over from it
// and never asks about the old leader, which must get no consent any more.
void tap.test('a standby cut off after its claim was appended', async t => {
  const {cluster: world, leader, standby} = await createCellHarness(HOSTS);
  // Long enough that the leader has no claim of its own under way.
  world.network.cut(LOG, leader);
  await world.clock.advance(6000);
  world.network.cut(leader, standby);
  world.network.cut(standby, leader);
  let claims = 0;
  world.faults.onAppend = () => {
    if (claims++ > 0) return;
    world.network.heal();
    isolate(world, [leader, standby]);
  };
  await world.waitUntil(() => claims > 0, 3000);
  t.equal(world.withdrawals(standby), 1, 'the standby withdrew and claimed');
  await world.clock.advance(8000);
  t.strictSame(world.violations, []);
  const {host} = world.activeLeader() ?? {host: 'nobody'};
  t.ok(![leader, standby, 'nobody'].includes(host), `${host} took over`);
});

// The leader is cut off, and its standby does not reach the log. Another
// router that does asks the standby to withdraw, and claims. When the old
// leader and its standby hear of each other again, but of nobody else, the
// standby must keep its word.
void tap.test('a standby that withdrew for another router', async t => {
  const {cluster: world, leader, standby} = await createCellHarness(HOSTS);
  world.network.cut(LOG, leader);
  await world.clock.advance(6000);
  world.network.cut(LOG, standby);
  isolate(world, [leader]);
  let claims = 0;
  world.faults.onAppend = () => {
    if (claims++ > 0) return;
    world.network.heal();
    isolate(world, [leader, standby]);
  };
  const took = await world.waitUntil(() => claims > 0, 8000);
  t.ok(took > 0, `another router claims after ${took} ms`);
  await world.clock.advance(5000);
  t.strictSame(world.violations, []);
  const {host} = world.activeLeader() ?? {host: 'nobody'};
  t.ok(![leader, standby, 'nobody'].includes(host), `${host} took over`);
});

// The standby is lost and replaced, and nothing changes in the cell. Then the
// leader is lost. Its servers would have to be asked what they hold, and the
// silent ones waited for, had the new standby no table of its epoch.
void tap.test('a new standby gets the table without a change', async t => {
  const {cluster: world, leader, standby} = await createCellHarness(HOSTS);
  world.router(standby).process.kill();
  await world.clock.advance(3000);
  t.equal(world.activeLeader()?.host, leader);
  world.router(leader).process.kill();
  await world.waitUntil(() => world.activeLeader() !== null, 5000);
  t.ok(world.leaders.at(-1)?.inherited, 'the successor has the table');
  t.strictSame(world.violations, []);
});

// As above, a third router has claimed over a pair that lives on consent. It
// replaces its own standby, and is then lost. Or it is lost together with its
// standby, and both come back as other runs, which proves *them* to be over.
// Neither says anything about the first pair.
for (const loss of ['its standby first', 'its standby as well'] as const) {
  void tap.test(`a claimant lost before it cleared, ${loss}`, async t => {
    const hosts = [...HOSTS, 'f'];
    const scene = await createCellHarness(hosts, {checksFences: true});
    const {cluster: world, leader, standby} = scene;
    isolate(world, [leader, standby]);
    await world.waitUntil(() => world.leaders.length > 1, 8000);
    const claimant = world.leaders.at(-1)?.host ?? '';
    const second = viewOf(world)?.standby?.host ?? '';
    world.router(second).process.kill();
    if (loss === 'its standby first') await world.clock.advance(4000);
    world.router(claimant).process.kill();
    await world.clock.advance(100);
    if (loss === 'its standby as well') {
      world.start(claimant);
      world.start(second);
    }
    await world.waitUntil(() => world.leaders.length > 2, 8000);
    await world.clock.advance(5000);
    t.equal(world.activeLeader()?.host, leader, 'the first pair goes on');
    t.ok(world.leaders.length > 2, 'another router has claimed');
    t.strictSame(world.violations, []);
  });
}

// The leader's clock is slow and the standby's is fast, each within what the
// rules allow. The leader reads the log right before the claim gets there, and
// trusts that for T of its own time; the standby must wait for longer than T
// of its own.
void tap.test('clocks that drift apart', async t => {
  for (let delay = 300; delay < 400; delay += 8) {
    const rates = {rates: [0.995, 0.995, 0.995, 0.995, 0.995]};
    const {cluster: world, leader, standby} = await createCellHarness(HOSTS, rates);
    world.network.latency = () => 0;
    world.router(leader).process.pause();
    world.router(standby).process.setRate(1.0045);
    world.faults.appendDelay = () => delay;
    world.faults.onAppend = () => void isolate(world, [leader]);
    await world.waitUntil(() => world.withdrawals(standby) > 0, 3000);
    world.router(leader).process.resume();
    await world.waitUntil(() => world.leaders.length > 1, 3000);
    t.ok(world.leaders[0]?.mayAct(), 'the old leader may still act');
    await world.clock.advance(2000);
    t.equal(world.activeLeader()?.host, standby);
    t.strictSame(world.violations, [], `append after ${delay} ms`);
  }
});
