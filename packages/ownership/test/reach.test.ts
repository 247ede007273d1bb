import tap from 'tap';
import {createCellHarness, viewOf} from './support/scene.js';

const HOSTS = ['a', 'b', 'c', 'd'];

// Something on the way drops new connections to the leader's host. Its own
// connections work: it gets consent, renews leases and stays leader, while
// requests that the other routers pass on to it all fail, for as long as the
// cut lasts. The standby tells it, others confirm it, and it hands over.
void tap.test('a leader that nobody can reach hands over', async t => {
  const {cluster: world, leader} = await createCellHarness(HOSTS);
  world.network.allowsRequests = (_from, to) => to !== leader;
  const took = await world.waitUntil(() => {
    const host = viewOf(world)?.leader.host;
    return host !== leader && world.activeLeader()?.host === host;
  }, 6000);
  t.ok(took >= 0 && took < 4000, `another leads after ${took} ms`);
  t.same(world.violations, []);
});

// The standby's own openings are dropped, so it finds the leader unreached
// although everybody else reaches it. The leader must not give its cell to a
// router that reaches nobody: it takes another standby.
void tap.test('a standby that reaches nobody gets no cell', async t => {
  const {cluster: world, leader, standby} = await createCellHarness(HOSTS);
  world.network.allowsRequests = from => from !== standby;
  const took = await world.waitUntil(
    () => viewOf(world)?.standby?.host !== standby,
    6000,
  );
  t.ok(took >= 0, `another standby after ${took} ms`);
  t.equal(viewOf(world)?.leader.host, leader);
  t.equal(world.activeLeader()?.host, leader);
  t.same(world.violations, []);
});
