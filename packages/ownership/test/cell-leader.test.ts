import tap from 'tap';
import {
  type Fixture,
  FORMER_LEASES_MS,
  SHARDS,
  createFixture,
  createLoad,
  keyOf,
  toServer,
} from './lease-fixture.js';

const KINDS = [
  {kind: 'checking', checksFences: true},
  {kind: 'not checking', checksFences: false},
];

/** Returns a key that server a owns at present. */
function keyAt(fixture: Fixture, owners: ReadonlyMap<string, string>): string {
  for (const [shard, name] of owners) if (name === 'a') return keyOf(+shard);
  throw new Error(`server a owns nothing at ${fixture.clock.now()} ms`);
}

for (const {kind, checksFences} of KINDS) {
  void tap.test(`${kind}: a new cell spreads its shards`, async t => {
    const paceOf = (name: string): number => (name === 'a' ? 1.01 : 0.99);
    const fixture = createFixture({checksFences, paceOf});
    const led = fixture.startLeader();
    await fixture.advance(FORMER_LEASES_MS + 20);
    const owners = led.owners();
    t.equal(owners.size, SHARDS);
    for (const name of ['a', 'b', 'c']) {
      t.equal(led.shardsOf(name).length, SHARDS / 3);
      const lease = fixture.fakes.get(name).activeLease('holds/0');
      t.same([...(lease?.shards ?? [])].sort(), [...led.shardsOf(name)].sort());
    }
    t.equal(led.locationOf(keyOf(3)), owners.get('3'));
    await fixture.advance(10_000);
    t.same(led.owners(), owners, 'nothing moves by itself');
    t.same([...fixture.violations], []);
    await fixture.stop(led);
    t.equal(led.locationOf(keyOf(3)), 'unowned');
  });

  void tap.test(`${kind}: a drained server is emptied`, async t => {
    const fixture = createFixture({checksFences});
    fixture.drainMs = 100;
    const led = fixture.startLeader();
    await fixture.advance(5000);
    const before = led.owners();
    fixture.drains.add('a');
    await fixture.advance(2000);
    t.same(led.shardsOf('a'), []);
    t.equal(led.owners().size, SHARDS);
    t.equal(led.gateClosed.size, 0, 'all gates are open again');
    for (const [shard, name] of led.owners()) {
      if (before.get(shard) !== 'a') t.equal(name, before.get(shard));
    }
    t.same([...fixture.violations], []);
    await fixture.stop(led);
  });
}

void tap.test('the first sign that a server is leaving counts', async t => {
  const signs: Record<string, (fixture: Fixture) => void> = {
    'operator drains': ({drains}) => void drains.add('a'),
    'removed from the inventory': fixture => {
      fixture.servers = fixture.servers.filter(({name}) => name !== 'a');
    },
    'host list': ({hosts}) =>
      void hosts.push({
        name: 'host-a',
        role: 'server',
        address: toServer('a').address,
        dataCentre: 'x',
        state: 'leaving',
      }),
    'own report': ({fakes}) => {
      fakes.get('a').health = 'leaving';
    },
  };
  for (const [sign, give] of Object.entries(signs)) {
    const fixture = createFixture();
    const led = fixture.startLeader();
    await fixture.advance(5000);
    t.equal(led.shardsOf('a').length, SHARDS / 3);
    give(fixture);
    await fixture.advance(2500);
    t.same(led.shardsOf('a'), [], sign);
    t.equal(led.owners().size, SHARDS);
    await fixture.stop(led);
  }
});

// Every server is reported as leaving, which can only be a mistake. The shards
// stay where they are, since no other server could take them.
void tap.test('a leaving server keeps what no other can take', async t => {
  const fixture = createFixture({names: ['a']});
  const led = fixture.startLeader();
  await fixture.advance(5000);
  fixture.drains.add('a');
  await fixture.advance(5000);
  t.equal(led.shardsOf('a').length, SHARDS);
  await fixture.stop(led);
});

void tap.test('a joining server gets more shards as it warms up', async t => {
  const fixture = createFixture({names: ['a', 'b']});
  const led = fixture.startLeader();
  await fixture.advance(40_000);
  fixture.fakes.add('c');
  fixture.servers = [...fixture.servers, toServer('c')];
  await fixture.advance(6000);
  const early = led.shardsOf('c').length;
  await fixture.advance(60_000);
  const late = led.shardsOf('c').length;
  t.ok(early < late, `${early} at first, ${late} later`);
  t.ok(late >= 2 && late <= SHARDS / 3);
  t.same([...fixture.violations], []);
  await fixture.stop(led);
});

// One key uses most of a server. It becomes a shard of its own without leaving
// its server, and other shards move away. When its load ends, it becomes part
// of its hash range again.
void tap.test('a hot key is split off and merged back', async t => {
  const fixture = createFixture();
  const led = fixture.startLeader();
  await fixture.advance(40_000);
  const key = keyAt(fixture, led.owners());
  fixture.load = createLoad([{key, rate: 100, busy: 3}]);
  await fixture.advance(4000);
  const location = led.leader.led.locate(key);
  t.equal(location.shard, `k:${key}`);
  t.equal(led.owners().size, SHARDS + 1);
  await fixture.advance(20_000);
  t.equal(led.locationOf(key), 'a', 'the hot key stays');
  t.ok(led.shardsOf('a').length < SHARDS / 3, 'other shards move away');
  t.ok(led.recorded()?.entries.some(entry => entry.shard === `k:${key}`));
  fixture.load = createLoad();
  await fixture.advance(120_000);
  t.equal(led.owners().size, SHARDS);
  t.not(led.leader.led.locate(key).shard, `k:${key}`);
  for (const {name, activeLease: belief} of fixture.fakes.servers.values()) {
    t.notOk(belief('holds/0')?.shards.includes(`k:${key}`), name);
  }
  t.same([...fixture.violations], []);
  await fixture.stop(led);
});

void tap.test('long requests delay only mandatory moves', async t => {
  // A request of 5 s runs for every shard. When a server joins, moves only
  // improve balance: each shard's callers wait for at most 1 s in 30 s, and the
  // shards stay. When an operator drains a server, its requests finish, its
  // shards stay with it until then, and new requests wait.
  for (const checksFences of [true, false]) {
    const fixture = createFixture({names: ['a'], checksFences});
    const led = fixture.startLeader();
    await fixture.advance(40_000);
    fixture.drainMs = 5000;
    fixture.fakes.add('c');
    fixture.servers = [...fixture.servers, toServer('c')];
    const closed = new Map<string, number>();
    for (let ms = 0; ms < 20_000; ms += 100) {
      await fixture.advance(100);
      for (const shard of led.gateClosed) {
        closed.set(shard, (closed.get(shard) ?? 0) + 100);
      }
    }
    t.same(led.shardsOf('c'), [], 'nothing moved');
    t.ok(closed.size > 0, 'moves were attempted');
    t.ok(Math.max(...closed.values()) <= 1100, 'for at most a second each');
    t.equal(led.gateClosed.size, 0);
    fixture.drains.add('a');
    await fixture.advance(4500);
    t.equal(led.gateClosed.size, SHARDS, 'no new request is dispatched');
    const leased = fixture.fakes.get('a').activeLease('holds/0')?.shards;
    t.equal(leased?.length, SHARDS, 'none was released yet');
    await fixture.advance(15_000);
    t.same(led.shardsOf('a'), []);
    t.equal(led.owners().size, SHARDS);
    t.same([...fixture.violations], []);
    await fixture.stop(led);
  }
});

// A key becomes a shard of its own while requests for it are in flight under
// its hash range. The split must wait until they have finished: the new shard
// may move at once, and a key with a late request would run at two servers.
void tap.test('a split waits for requests in flight', async t => {
  const fixture = createFixture();
  const led = fixture.startLeader();
  await fixture.advance(4000);
  const key = keyAt(fixture, led.owners());
  const {shard} = led.leader.led.locate(key);
  fixture.drainMs = 300;
  fixture.load = createLoad([{key, rate: 100, busy: 3}]);
  while (!led.gateClosed.has(shard)) await fixture.advance(20);
  const closedAt = fixture.clock.now();
  t.equal(led.locationOf(key), 'moving');
  while (led.locationOf(key) !== 'a') await fixture.advance(20);
  t.equal(led.leader.led.locate(key).shard, `k:${key}`);
  t.ok(fixture.clock.now() - closedAt >= 280);
  t.same([...led.gateClosed], []);
  await fixture.stop(led);
});
