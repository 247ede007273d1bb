import tap from 'tap';
import type {Test} from 'tap';
import {
  type Fixture,
  type TestLeader,
  FORMER_LEASES_MS,
  SHARDS,
  createFixture,
  createLoad,
  keyOf,
  toServer,
} from './lease-fixture.js';

const CELL = 'holds/0';
const CHECKS_FENCES = [true, false];

interface RunningCluster {
  readonly fixture: Fixture;
  readonly leader: TestLeader;
  /** A key of server a. */
  readonly key: string;
}

async function startCluster(checksFences: boolean): Promise<RunningCluster> {
  const fixture = createFixture({checksFences});
  const leader = fixture.startLeader();
  await fixture.advance(5000);
  return {fixture, leader, key: keyOf(Number(leader.shardsOf('a')[0]))};
}

/** Advances the clock until the condition holds; resolves to the ms it took. */
async function waitUntil(
  {fixture}: Pick<RunningCluster, 'fixture'>,
  condition: () => boolean,
): Promise<number> {
  const since = fixture.clock.now();
  while (!condition()) {
    await fixture.advance(20);
    if (fixture.clock.now() > since + 20_000)
      throw new Error('condition not met within 20 s');
  }
  return fixture.clock.now() - since;
}

async function verifyAndStop(
  t: Test,
  fixture: Fixture,
  leader: TestLeader,
): Promise<void> {
  t.same([...fixture.violations], []);
  await fixture.stop(leader);
}

// A server's host fails. Requests for its keys wait until its lease expires,
// because no other server may own the keys before that. Then they are served
// by other servers, and no key of the other servers moves.
void tap.test('server lost', async t => {
  for (const checksFences of CHECKS_FENCES) {
    const {fixture, leader, key} = await startCluster(checksFences);
    const before = leader.owners();
    fixture.fakes.get('a').faultsFor = () => ({lost: true});
    await waitUntil({fixture}, () => leader.locationOf(key) !== 'a');
    t.equal(leader.locationOf(key), 'moving');
    const took = await waitUntil(
      {fixture},
      () => leader.owners().size === SHARDS,
    );
    t.ok(took < 1200, `granted ${took} ms after dispatch stopped`);
    for (const [shard, name] of leader.owners()) {
      if (before.get(shard) !== 'a') t.equal(name, before.get(shard));
      else t.not(name, 'a');
    }
    await verifyAndStop(t, fixture, leader);
  }
});

// A server hangs for 10 s, then processes everything that arrived meanwhile.
// Its keys have been moved to other servers. It must not apply any of the
// delayed orders, since each echoes a clock reading that is too old.
void tap.test('server frozen for 10 s recovers', async t => {
  for (const checksFences of CHECKS_FENCES) {
    const {fixture, leader, key} = await startCluster(checksFences);
    const server = fixture.fakes.get('a');
    server.frozen = true;
    await fixture.advance(10_000);
    const owner = leader.locationOf(key);
    t.not(owner, 'a');
    t.not(owner, 'moving');
    const obeyed = server.applied.length;
    server.thaw();
    t.equal(server.applied.length, obeyed, 'nothing delayed is applied');
    await fixture.advance(3000);
    t.equal(leader.locationOf(key), owner);
    await verifyAndStop(t, fixture, leader);
  }
});

// A server doesn't answer for 900 ms, which is shorter than its lease. It keeps
// its keys, and their requests are dispatched to it throughout.
void tap.test('server recovers before its lease expires', async t => {
  for (const checksFences of CHECKS_FENCES) {
    const {fixture, leader, key} = await startCluster(checksFences);
    const before = leader.owners();
    const server = fixture.fakes.get('a');
    server.faultsFor = () => ({lost: true});
    for (let waited = 0; waited < 900; waited += 20) {
      await fixture.advance(20);
      t.equal(leader.locationOf(key), 'a');
    }
    server.faultsFor = () => ({});
    await fixture.advance(3000);
    t.same(leader.owners(), before);
    await verifyAndStop(t, fixture, leader);
  }
});

// A server's process ends and another starts at once. Its keys wait only for
// the next renewal, not for the lease to expire: the new boot id proves that
// the old process has ended.
void tap.test('server restarted', async t => {
  for (const checksFences of CHECKS_FENCES) {
    const {fixture, leader, key} = await startCluster(checksFences);
    const before = leader.owners();
    const server = fixture.fakes.get('a');
    const locationBefore = leader.leader.led.locate(key);
    server.restart();
    const took = await waitUntil(
      {fixture},
      () => server.activeLease(CELL)?.shards.length === SHARDS / 3,
    );
    t.ok(took <= 600, `${took} ms`);
    t.same(leader.owners(), before);
    const {boot} = server.stamp();
    const location = leader.leader.led.locate(key);
    t.equal(location.kind === 'owned' && location.toServerTime(0).boot, boot);
    t.notSame(locationBefore, location);
    await verifyAndStop(t, fixture, leader);
  }
});

// A server is drained, and the order that releases its keys or the reply to it
// is lost or delayed. A server that checks fences has released the keys once it
// acknowledges a newer order. One that doesn't check them might still apply an
// older order that names the keys, so they wait until the reading that the
// older order echoes has expired.
void tap.test('release order lost or delayed', async t => {
  const faultTypes = {
    'order lost': {lost: true},
    'answer lost': {ackLost: true},
    'order delayed': {delayMs: 700},
  };
  for (const [name, fault] of Object.entries(faultTypes)) {
    for (const checksFences of CHECKS_FENCES) {
      const {fixture, leader} = await startCluster(checksFences);
      let injected = 0;
      const server = fixture.fakes.get('a');
      server.faultsFor = order => {
        if (order.shards.length === SHARDS / 3 || injected > 0) return {};
        injected++;
        return fault;
      };
      fixture.drains.add('a');
      await waitUntil({fixture}, () => leader.owners().size < SHARDS);
      await waitUntil({fixture}, () => leader.owners().size === SHARDS);
      t.equal(injected, 1, name);
      await fixture.advance(3000);
      t.same(leader.shardsOf('a'), []);
      await verifyAndStop(t, fixture, leader);
    }
  }
});

// A renewal is delayed by 900 ms, and its server is drained meanwhile. The
// renewal arrives after the release was acknowledged. A server that doesn't
// check fences applies it and holds the keys again, so they are granted to
// another server only after that lease has expired.
void tap.test('renewal delivered after the release', async t => {
  for (const checksFences of CHECKS_FENCES) {
    const {fixture, leader, key} = await startCluster(checksFences);
    const server = fixture.fakes.get('a');
    let delayed = 0;
    server.faultsFor = () => (delayed++ === 0 ? {delayMs: 900} : {});
    await waitUntil({fixture}, () => delayed > 0);
    fixture.drains.add('a');
    const since = fixture.clock.now();
    await waitUntil({fixture}, () => leader.locationOf(key) !== 'a');
    await waitUntil(
      {fixture},
      () => !['moving', 'a'].includes(leader.locationOf(key)),
    );
    const took = fixture.clock.now() - since;
    if (checksFences) t.ok(took < 900, `at once: ${took} ms`);
    else t.ok(took > 1000, `only after the delayed order expired: ${took} ms`);
    const applied = server.applied.filter(order => order.shards.length > 0);
    t.ok(applied.length > 0);
    await verifyAndStop(t, fixture, leader);
  }
});

// The leader's process is paused for 10 s and its standby takes over. Once the
// old leader resumes, it may not act, because its authority has ended. Orders
// that it still sends to servers echo readings that are too old.
void tap.test('leader paused for 10 s', async t => {
  for (const checksFences of CHECKS_FENCES) {
    const {fixture, leader, key} = await startCluster(checksFences);
    const before = leader.owners();
    leader.process.pause();
    leader.authority.until = fixture.clock.now() + 1000;
    await fixture.advance(1100);
    const next = fixture.startLeader({epoch: 2, table: leader.recorded()});
    await fixture.advance(500);
    t.same(next.owners(), before);
    await fixture.advance(8400);
    leader.process.resume();
    t.equal(leader.leader.led.mayAct(), false);
    await fixture.advance(5000);
    t.equal(next.locationOf(key), 'a');
    t.same(next.owners(), before);
    await fixture.stop(leader);
    await verifyAndStop(t, fixture, next);
  }
});

// The standby takes over with the table while the old leader may still act.
// Servers that check fences are adopted at once, so their keys are served.
// Other servers are adopted only after the old leader's authority has ended.
// In both cases no shard moves before that, although a server is lost.
void tap.test(
  'takeover before the authority of the old leader ends',
  async t => {
    for (const checksFences of CHECKS_FENCES) {
      const {fixture, leader} = await startCluster(checksFences);
      const before = leader.owners();
      let clear: () => void = () => {};
      const cleared = new Promise<void>(resolve => (clear = resolve));
      leader.authority.records = false;
      fixture.fakes.get('a').faultsFor = () => ({lost: true});
      const next = fixture.startLeader({
        epoch: 2,
        table: leader.recorded(),
        cleared,
      });
      await fixture.advance(3000);
      const early = checksFences ? (2 * SHARDS) / 3 : 0;
      t.equal(next.owners().size, early);
      for (const [shard, name] of next.owners()) {
        t.equal(name, before.get(shard));
      }
      leader.authority.until = fixture.clock.now();
      clear();
      await fixture.advance(100);
      t.equal(next.owners().size, (2 * SHARDS) / 3);
      await fixture.advance(FORMER_LEASES_MS - 200);
      t.equal(
        next.owners().size,
        (2 * SHARDS) / 3,
        'a may still hold its shards',
      );
      await fixture.advance(200);
      t.equal(next.owners().size, SHARDS);
      await fixture.stop(leader);
      await verifyAndStop(t, fixture, next);
    }
  },
);

// An operator drains a server right after a takeover, while the former leader's
// last renewal is still in flight to it. A server that doesn't check fences
// would apply the renewal, so none of its shards moves before that has expired.
void tap.test(
  'delayed order of the former leader after a takeover',
  async t => {
    for (const checksFences of CHECKS_FENCES) {
      const {fixture, leader} = await startCluster(checksFences);
      const server = fixture.fakes.get('a');
      let delayed = 0;
      server.faultsFor = ({fence}) => {
        if (fence.epoch > 1) return {};
        delayed++;
        return {delayMs: 1500};
      };
      await waitUntil({fixture}, () => delayed > 0);
      leader.authority.until = fixture.clock.now();
      fixture.drains.add('a');
      const next = fixture.startLeader({epoch: 2, table: leader.recorded()});
      await fixture.advance(1000);
      t.equal(next.shardsOf('a').length, checksFences ? 0 : SHARDS / 3);
      await fixture.advance(4000);
      t.same(next.shardsOf('a'), []);
      t.equal(next.owners().size, SHARDS);
      await fixture.stop(leader);
      await verifyAndStop(t, fixture, next);
    }
  },
);

// The leader and the standby are lost together with the table, and so is one
// server. A third router takes over and asks the servers which shards they
// hold. No key is served before all older leases have expired, since the lost
// server may hold a hot key that was split off. Reported shards stay where
// they are.
void tap.test('takeover without the table', async t => {
  for (const checksFences of CHECKS_FENCES) {
    const {fixture, leader} = await startCluster(checksFences);
    const before = leader.owners();
    leader.process.pause();
    leader.authority.until = fixture.clock.now();
    fixture.fakes.get('c').faultsFor = () => ({lost: true});
    const next = fixture.startLeader({epoch: 2});
    await fixture.advance(FORMER_LEASES_MS - 100);
    t.equal(next.owners().size, 0);
    await fixture.advance(300);
    t.equal(next.owners().size, SHARDS);
    for (const [shard, name] of before) {
      if (name !== 'c') t.equal(next.owners().get(shard), name);
    }
    await fixture.stop(leader);
    await verifyAndStop(t, fixture, next);
  }
});

// Two servers report the same shard, which breaks the ownership rules. Neither
// keeps it, and it is granted again only after both leases have expired.
void tap.test('takeover without the table: a shard reported twice', async t => {
  const {fixture, leader} = await startCluster(false);
  leader.process.pause();
  leader.authority.until = fixture.clock.now();
  const shards = leader.shardsOf('a');
  const [shard = ''] = shards;
  const forgedOrder = {
    ...fixture.fakes.get('b').applied[0]!,
    fence: {epoch: 1, sequence: 9},
  };
  await fixture.advance(20);
  const acknowledgement = fixture.fakes.client.order(toServer('b'), {
    ...forgedOrder,
    echo: fixture.fakes.get('b').stamp(),
    shards: [shard],
  });
  await fixture.advance(20);
  t.ok((await acknowledgement).ok);
  t.equal(fixture.violations.size, 1, 'the duplicate owner is detected');
  const next = fixture.startLeader({epoch: 2});
  await fixture.advance(100);
  for (const name of ['a', 'b']) {
    t.notOk(fixture.fakes.get(name).activeLease(CELL)?.shards.includes(shard));
  }
  t.ok(
    fixture.fakes
      .get('a')
      .activeLease(CELL)
      ?.shards.includes(shards[1] ?? ''),
  );
  await fixture.advance(FORMER_LEASES_MS + 100);
  t.equal(next.owners().size, SHARDS);
  await fixture.stop(leader);
  await fixture.stop(next);
});

// The standby stops recording the table. Keys stay served, but none moves to
// another server until the standby records again.
void tap.test('standby refuses to record', async t => {
  const {fixture, leader} = await startCluster(true);
  const before = leader.owners();
  leader.authority.records = false;
  fixture.drains.add('a');
  fixture.fakes.get('b').faultsFor = () => ({lost: true});
  await fixture.advance(5000);
  t.same(leader.shardsOf('a').length, SHARDS / 3, 'a keeps its shards');
  t.same(leader.shardsOf('b'), [], 'the shards of b wait');
  t.equal(leader.owners().size, (2 * SHARDS) / 3);
  for (const [shard, name] of leader.owners()) t.equal(name, before.get(shard));
  leader.authority.records = true;
  await fixture.advance(3000);
  t.equal(leader.shardsOf('c').length, SHARDS);
  await verifyAndStop(t, fixture, leader);
});

// A leader is stopped as planned during handovers between servers. Its
// successor starts from the final table and gives every shard exactly one
// owner. The stopped leader leaves no dispatch gate closed.
void tap.test('leader stops during handovers', async t => {
  for (const checksFences of CHECKS_FENCES) {
    for (const drainMs of [0, 40, 400]) {
      const {fixture, leader} = await startCluster(checksFences);
      fixture.drainMs = drainMs;
      fixture.drains.add('a');
      await waitUntil({fixture}, () => leader.owners().size < SHARDS);
      leader.authority.until = fixture.clock.now();
      const table = await fixture.stop(leader);
      t.equal(leader.gateClosed.size, 0);
      t.equal(table?.entries.length, SHARDS);
      const next = fixture.startLeader({epoch: 2, table});
      await fixture.advance(6000);
      t.same(next.shardsOf('a'), []);
      t.equal(next.owners().size, SHARDS);
      await verifyAndStop(t, fixture, next);
    }
  }
});

// A leader is lost, and at the same time an operator publishes a new address
// for a server, which means a different process. The process at the old address
// still holds a lease on its keys, so the new one gets them only after that
// lease has expired.
void tap.test('takeover with a server at another address', async t => {
  for (const checksFences of CHECKS_FENCES) {
    const {fixture, leader, key} = await startCluster(checksFences);
    leader.process.pause();
    leader.authority.until = fixture.clock.now();
    const table = leader.recorded();
    fixture.servers = fixture.servers.map(server =>
      server.name === 'a' ? {...server, address: '127.0.0.1:1'} : server,
    );
    const before = fixture.fakes.get('a').applied.length;
    const next = fixture.startLeader({epoch: 2, table});
    await fixture.advance(FORMER_LEASES_MS - 100);
    t.equal(next.locationOf(key), 'moving');
    t.equal(next.recorded()?.addresses?.get('a'), toServer('a').address);
    for (const order of fixture.fakes.get('a').applied.slice(before)) {
      t.same(order.shards, []);
    }
    await fixture.advance(300);
    t.equal(next.owners().size, SHARDS);
    t.equal(next.recorded()?.addresses?.get('a'), '127.0.0.1:1');
    await fixture.stop(leader);
    await verifyAndStop(t, fixture, next);
  }
});

// The standby takes over and a server applies its order while the old leader
// may still act. Then the server restarts and so forgets the new epoch, loses
// its connection to the new leader, and gets a new lease from the old one. The
// new leader must wait for that lease as well, not only for its own.
void tap.test(
  'server restarted and leased again by the old leader',
  async t => {
    const {fixture, leader, key} = await startCluster(true);
    const server = fixture.fakes.get('a');
    let clear: () => void = () => {};
    const cleared = new Promise<void>(resolve => (clear = resolve));
    leader.authority.records = false;
    const next = fixture.startLeader({
      epoch: 2,
      table: leader.recorded(),
      cleared,
    });
    await fixture.advance(100);
    t.equal(next.locationOf(key), 'a');
    server.faultsFor = ({fence}) => ({lost: fence.epoch === 2});
    await fixture.advance(600);
    server.restart();
    await fixture.advance(600);
    const lease = server.activeLease(CELL);
    t.equal(lease?.fence.epoch, 1, 'the order of the old leader is applied');
    t.equal(lease?.shards.length, SHARDS / 3);
    leader.authority.until = fixture.clock.now();
    clear();
    await fixture.advance(FORMER_LEASES_MS - 100);
    t.equal(next.locationOf(key), 'moving');
    await fixture.advance(200);
    t.equal(next.owners().size, SHARDS);
    await fixture.stop(leader);
    await verifyAndStop(t, fixture, next);
  },
);

// A router that took a cell over without the table is stopped before all older
// leases have expired. It doesn't know all owners yet, so it must not return a
// table: a successor would treat shards as free that still have an owner.
void tap.test(
  'leader stopped while it asks the servers for their shards',
  async t => {
    const {fixture, leader} = await startCluster(false);
    leader.process.pause();
    leader.authority.until = fixture.clock.now();
    fixture.fakes.get('a').faultsFor = () => ({lost: true});
    const next = fixture.startLeader({epoch: 2});
    await fixture.advance(500);
    t.equal(await fixture.stop(next), null);
    t.equal(next.recorded(), null);
    await fixture.stop(leader);
  },
);

// A key becomes hot, and its split waits for a long request in its hash range.
// Another server is drained, so the table is recorded, and then the leader is
// lost. Its successor finds the key's own shard in the table and must not treat
// it as free: the long request for the key still runs at the server that owns
// the hash range.
void tap.test('leader lost while it waits to split a key', async t => {
  for (const checksFences of CHECKS_FENCES) {
    const {fixture, leader, key} = await startCluster(checksFences);
    fixture.drainMs = 900;
    fixture.load = createLoad([{key, rate: 100, busy: 3}]);
    await waitUntil({fixture}, () => leader.gateClosed.size > 0);
    fixture.drains.add('c');
    await fixture.advance(600);
    leader.process.pause();
    leader.authority.until = fixture.clock.now();
    const table = leader.recorded();
    const entry = table?.entries.find(({shard}) => shard === `k:${key}`);
    t.same([entry?.state, entry?.server], ['held', 'a']);
    const next = fixture.startLeader({epoch: 2, table});
    await fixture.advance(500);
    t.equal(next.locationOf(key), 'a');
    await fixture.stop(leader);
    await verifyAndStop(t, fixture, next);
  }
});
