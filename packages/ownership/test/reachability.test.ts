import tap from 'tap';
import {createCellHarness, viewOf} from './support/cell-harness.js';

const HOSTS = ['a', 'b', 'c', 'd'];

// New connections to the leader's host are dropped, while connections that the
// leader opens work. So it would get consent, renew leases and stay leader,
// although all requests that other routers forward to it fail. The standby must
// report this, other routers confirm it, and the leader hands its cell over.
void tap.test('a leader that no router can reach hands over', async t => {
  const {cluster: world, leader} = await createCellHarness(HOSTS);
  world.network.allowsRequests = (_from, to) => to !== leader;
  const took = await world.waitUntil(() => {
    const host = viewOf(world)?.leader.host;
    return host !== leader && world.activeLeader()?.host === host;
  }, 6000);
  t.ok(took >= 0 && took < 4000, `another leads after ${took} ms`);
  t.same(world.violations, []);
});

// All connections that the standby opens are dropped, so it reports the leader
// as unreachable although the other routers reach it. The leader must not hand
// its cell to a router that reaches no other: it replaces its standby.
void tap.test(
  'a standby that reaches no other router gets no cell',
  async t => {
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
  },
);
