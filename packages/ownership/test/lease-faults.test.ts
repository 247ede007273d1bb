import tap from 'tap';
import type {Test} from 'tap';
import {
  type Fixture,
  type Led,
  FOREIGN_MS,
  SHARDS,
  createFixture,
  createLoad,
  keyOf,
  toServer,
} from './lease-fixture.js';

const CELL = 'holds/0';
const KINDS = [true, false];

interface Running {
  readonly fixture: Fixture;
  readonly led: Led;
  /** A key of server a. */
  readonly key: string;
}

async function start(checksFences: boolean): Promise<Running> {
  const fixture = createFixture({checksFences});
  const led = fixture.lead();
  await fixture.advance(5000);
  return {fixture, led, key: keyOf(Number(led.shardsOf('a')[0]))};
}

/** Waits for something; yields how long it took, in ms. */
async function until(
  {fixture}: Pick<Running, 'fixture'>,
  happened: () => boolean,
): Promise<number> {
  const since = fixture.clock.now();
  while (!happened()) {
    await fixture.advance(20);
    if (fixture.clock.now() > since + 20_000) throw new Error('in vain');
  }
  return fixture.clock.now() - since;
}

async function finish(t: Test, fixture: Fixture, led: Led): Promise<void> {
  t.same([...fixture.violations], []);
  await fixture.stop(led);
}

// A server's host dies. Callers of its keys wait: its lease has to lapse
// before anybody else may own them. Then they are served elsewhere, and no
// key of the other servers moves.
void tap.test('server lost', async t => {
  for (const checksFences of KINDS) {
    const {fixture, led, key} = await start(checksFences);
    const before = led.owners();
    fixture.fakes.get('a').faultsFor = () => ({lost: true});
    await until({fixture}, () => led.where(key) !== 'a');
    t.equal(led.where(key), 'moving');
    const took = await until({fixture}, () => led.owners().size === SHARDS);
    t.ok(took < 1200, `granted ${took} ms after dispatch stopped`);
    for (const [shard, name] of led.owners()) {
      if (before.get(shard) !== 'a') t.equal(name, before.get(shard));
      else t.not(name, 'a');
    }
    await finish(t, fixture, led);
  }
});

// A server hangs for 10 s and then goes on with all that came meanwhile. Its
// keys were served elsewhere; it still believes nothing, for every order that
// it finds echoes a reading that is too old.
void tap.test('server frozen for 10 s and back', async t => {
  for (const checksFences of KINDS) {
    const {fixture, led, key} = await start(checksFences);
    const server = fixture.fakes.get('a');
    server.frozen = true;
    await fixture.advance(10_000);
    const owner = led.where(key);
    t.not(owner, 'a');
    t.not(owner, 'moving');
    const obeyed = server.applied.length;
    server.thaw();
    t.equal(server.applied.length, obeyed, 'nothing late is obeyed');
    await fixture.advance(3000);
    t.equal(led.where(key), owner);
    await finish(t, fixture, led);
  }
});

// A server doesn't answer for 900 ms. Callers notice nothing at all, and it
// keeps its keys.
void tap.test('server back before its lease lapses', async t => {
  for (const checksFences of KINDS) {
    const {fixture, led, key} = await start(checksFences);
    const before = led.owners();
    const server = fixture.fakes.get('a');
    server.faultsFor = () => ({lost: true});
    for (let waited = 0; waited < 900; waited += 20) {
      await fixture.advance(20);
      t.equal(led.where(key), 'a');
    }
    server.faultsFor = () => ({});
    await fixture.advance(3000);
    t.same(led.owners(), before);
    await finish(t, fixture, led);
  }
});

// A server's process ends and another one starts at once. Its keys wait for a
// renewal, not for a lapse: the new boot id proves that the old run is gone.
void tap.test('server restarted', async t => {
  for (const checksFences of KINDS) {
    const {fixture, led, key} = await start(checksFences);
    const before = led.owners();
    const server = fixture.fakes.get('a');
    const fence = led.leader.led.locate(key);
    server.restart();
    const took = await until(
      {fixture},
      () => server.activeLease(CELL)?.shards.length === SHARDS / 3,
    );
    t.ok(took <= 600, `${took} ms`);
    t.same(led.owners(), before);
    const {boot} = server.stamp();
    const now = led.leader.led.locate(key);
    t.equal(now.kind === 'owned' && now.toServerTime(0).boot, boot);
    t.notSame(fence, now);
    await finish(t, fixture, led);
  }
});

// A server is emptied, and the order that releases its keys, or its answer,
// is lost or late. A server that checks fences has released once it answers a
// newer order. One that doesn't might still obey an older order that names
// the key, so its keys wait until that order's echo has lapsed.
void tap.test('releasing order lost or late', async t => {
  const fates = {
    'order lost': {lost: true},
    'answer lost': {ackLost: true},
    'order late': {delayMs: 700},
  };
  for (const [fault, fate] of Object.entries(fates)) {
    for (const checksFences of KINDS) {
      const {fixture, led} = await start(checksFences);
      let faults = 0;
      const server = fixture.fakes.get('a');
      server.faultsFor = order => {
        if (order.shards.length === SHARDS / 3 || faults > 0) return {};
        faults++;
        return fate;
      };
      fixture.drains.add('a');
      await until({fixture}, () => led.owners().size < SHARDS);
      await until({fixture}, () => led.owners().size === SHARDS);
      t.equal(faults, 1, fault);
      await fixture.advance(3000);
      t.same(led.shardsOf('a'), []);
      await finish(t, fixture, led);
    }
  }
});

// A renewal is under way for 900 ms, and meanwhile its server is emptied. It
// arrives after the release was acknowledged. A server that doesn't check
// fences obeys it and believes once more that it owns the keys; so they are
// granted elsewhere only after that belief has lapsed.
void tap.test('renewal delivered after the release', async t => {
  for (const checksFences of KINDS) {
    const {fixture, led, key} = await start(checksFences);
    const server = fixture.fakes.get('a');
    let delayed = 0;
    server.faultsFor = () => (delayed++ === 0 ? {delayMs: 900} : {});
    await until({fixture}, () => delayed > 0);
    fixture.drains.add('a');
    const since = fixture.clock.now();
    await until({fixture}, () => led.where(key) !== 'a');
    await until({fixture}, () => !['moving', 'a'].includes(led.where(key)));
    const took = fixture.clock.now() - since;
    if (checksFences) t.ok(took < 900, `at once: ${took} ms`);
    else t.ok(took > 1000, `only after the late order: ${took} ms`);
    const late = server.applied.filter(order => order.shards.length > 0);
    t.ok(late.length > 0);
    await finish(t, fixture, led);
  }
});

// The leader's process stops for 10 s; its standby takes over. Callers of the
// old leader are refused from its first moment on: its authority has ended.
// What it sends to servers echoes readings that are too old.
void tap.test('leader paused for 10 s', async t => {
  for (const checksFences of KINDS) {
    const {fixture, led, key} = await start(checksFences);
    const before = led.owners();
    led.process.pause();
    led.authority.until = fixture.clock.now() + 1000;
    await fixture.advance(1100);
    const next = fixture.lead({epoch: 2, table: led.recorded()});
    await fixture.advance(500);
    t.same(next.owners(), before);
    await fixture.advance(8400);
    led.process.resume();
    t.equal(led.leader.led.mayAct(), false);
    await fixture.advance(5000);
    t.equal(next.where(key), 'a');
    t.same(next.owners(), before);
    await fixture.stop(led);
    await finish(t, fixture, next);
  }
});

// The standby takes over with the table while the old leader may still act.
// Servers that check fences are adopted at once, so their keys are served;
// the others wait until the old leader is over. In neither case does a shard
// move before that, although a server is lost meanwhile.
void tap.test('takeover before the old leader is over', async t => {
  for (const checksFences of KINDS) {
    const {fixture, led} = await start(checksFences);
    const before = led.owners();
    let clear: () => void = () => {};
    const cleared = new Promise<void>(resolve => (clear = resolve));
    led.authority.records = false;
    fixture.fakes.get('a').faultsFor = () => ({lost: true});
    const next = fixture.lead({epoch: 2, table: led.recorded(), cleared});
    await fixture.advance(3000);
    const early = checksFences ? (2 * SHARDS) / 3 : 0;
    t.equal(next.owners().size, early);
    for (const [shard, name] of next.owners()) {
      t.equal(name, before.get(shard));
    }
    led.authority.until = fixture.clock.now();
    clear();
    await fixture.advance(100);
    t.equal(next.owners().size, (2 * SHARDS) / 3);
    await fixture.advance(FOREIGN_MS - 200);
    t.equal(next.owners().size, (2 * SHARDS) / 3, 'a may still hold its own');
    await fixture.advance(200);
    t.equal(next.owners().size, SHARDS);
    await fixture.stop(led);
    await finish(t, fixture, next);
  }
});

// An operator drains a server right after a takeover. The former leader's
// last renewal is still under way to it. A server that doesn't check fences
// would obey that, so nothing leaves it before the renewal has lapsed.
void tap.test('late order of the former leader after a takeover', async t => {
  for (const checksFences of KINDS) {
    const {fixture, led} = await start(checksFences);
    const server = fixture.fakes.get('a');
    let delayed = 0;
    server.faultsFor = ({fence}) => {
      if (fence.epoch > 1) return {};
      delayed++;
      return {delayMs: 1500};
    };
    await until({fixture}, () => delayed > 0);
    led.authority.until = fixture.clock.now();
    fixture.drains.add('a');
    const next = fixture.lead({epoch: 2, table: led.recorded()});
    await fixture.advance(1000);
    t.equal(next.shardsOf('a').length, checksFences ? 0 : SHARDS / 3);
    await fixture.advance(4000);
    t.same(next.shardsOf('a'), []);
    t.equal(next.owners().size, SHARDS);
    await fixture.stop(led);
    await finish(t, fixture, next);
  }
});

// Leader and standby are lost together, with the table, and one server as
// well. A third router asks the servers. Nobody is served before every older
// lease has lapsed, for the silent server may hold any key that was split
// off. What servers report stays with them.
void tap.test('takeover without the table', async t => {
  for (const checksFences of KINDS) {
    const {fixture, led} = await start(checksFences);
    const before = led.owners();
    led.process.pause();
    led.authority.until = fixture.clock.now();
    fixture.fakes.get('c').faultsFor = () => ({lost: true});
    const next = fixture.lead({epoch: 2});
    await fixture.advance(FOREIGN_MS - 100);
    t.equal(next.owners().size, 0);
    await fixture.advance(300);
    t.equal(next.owners().size, SHARDS);
    for (const [shard, name] of before) {
      if (name !== 'c') t.equal(next.owners().get(shard), name);
    }
    await fixture.stop(led);
    await finish(t, fixture, next);
  }
});

// Two servers report the same shard, which can't be. Neither keeps it until
// both leases have surely lapsed; then it is granted anew.
void tap.test('takeover without the table: a shard reported twice', async t => {
  const {fixture, led} = await start(false);
  led.process.pause();
  led.authority.until = fixture.clock.now();
  const shards = led.shardsOf('a');
  const [shard = ''] = shards;
  const lie = {
    ...fixture.fakes.get('b').applied[0]!,
    fence: {epoch: 1, sequence: 9},
  };
  await fixture.advance(20);
  const told = fixture.fakes.client.order(toServer('b'), {
    ...lie,
    echo: fixture.fakes.get('b').stamp(),
    shards: [shard],
  });
  await fixture.advance(20);
  t.ok((await told).ok);
  t.equal(fixture.violations.size, 1, 'the lie is seen');
  const next = fixture.lead({epoch: 2});
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
  await fixture.advance(FOREIGN_MS + 100);
  t.equal(next.owners().size, SHARDS);
  await fixture.stop(led);
  await fixture.stop(next);
});

// The standby acknowledges nothing any more. Callers notice nothing, but no
// key changes its server until a standby records again.
void tap.test('standby refuses to record', async t => {
  const {fixture, led} = await start(true);
  const before = led.owners();
  led.authority.records = false;
  fixture.drains.add('a');
  fixture.fakes.get('b').faultsFor = () => ({lost: true});
  await fixture.advance(5000);
  t.same(led.shardsOf('a').length, SHARDS / 3, 'a keeps its own');
  t.same(led.shardsOf('b'), [], 'those of b wait');
  t.equal(led.owners().size, (2 * SHARDS) / 3);
  for (const [shard, name] of led.owners()) t.equal(name, before.get(shard));
  led.authority.records = true;
  await fixture.advance(3000);
  t.equal(led.shardsOf('c').length, SHARDS);
  await finish(t, fixture, led);
});

// A router is stopped as planned while shards are on their way from one
// server to another. Its successor starts from its last table and gives every
// shard exactly one owner; nobody waits behind a closed gate.
void tap.test('leader stops amidst handovers', async t => {
  for (const checksFences of KINDS) {
    for (const drainMs of [0, 40, 400]) {
      const {fixture, led} = await start(checksFences);
      fixture.drainMs = drainMs;
      fixture.drains.add('a');
      await until({fixture}, () => led.owners().size < SHARDS);
      led.authority.until = fixture.clock.now();
      const table = await fixture.stop(led);
      t.equal(led.gateClosed.size, 0);
      t.equal(table?.entries.length, SHARDS);
      const next = fixture.lead({epoch: 2, table});
      await fixture.advance(6000);
      t.same(next.shardsOf('a'), []);
      t.equal(next.owners().size, SHARDS);
      await finish(t, fixture, next);
    }
  }
});

// A router is lost, and at the same time an operator publishes another
// address for a server: another process. The one at the old address still
// believes that it owns its keys, so the new one gets them only after that
// lease has lapsed.
void tap.test('takeover with a server at another address', async t => {
  for (const checksFences of KINDS) {
    const {fixture, led, key} = await start(checksFences);
    led.process.pause();
    led.authority.until = fixture.clock.now();
    const table = led.recorded();
    fixture.servers = fixture.servers.map(server =>
      server.name === 'a' ? {...server, address: '127.0.0.1:1'} : server,
    );
    const before = fixture.fakes.get('a').applied.length;
    const next = fixture.lead({epoch: 2, table});
    await fixture.advance(FOREIGN_MS - 100);
    t.equal(next.where(key), 'moving');
    t.equal(next.recorded()?.addresses?.get('a'), toServer('a').address);
    for (const order of fixture.fakes.get('a').applied.slice(before)) {
      t.same(order.shards, []);
    }
    await fixture.advance(300);
    t.equal(next.owners().size, SHARDS);
    t.equal(next.recorded()?.addresses?.get('a'), '127.0.0.1:1');
    await fixture.stop(led);
    await finish(t, fixture, next);
  }
});

// The standby takes over and a server obeys it, while the old leader may
// still act. Then the server restarts, which makes it forget whom it obeyed,
// and is cut off from the new leader, and the old one orders it its keys once
// more. The new leader must wait for that lease too, not only for its own.
void tap.test('server restarted and told by the old leader', async t => {
  const {fixture, led, key} = await start(true);
  const server = fixture.fakes.get('a');
  let clear: () => void = () => {};
  const cleared = new Promise<void>(resolve => (clear = resolve));
  led.authority.records = false;
  const next = fixture.lead({epoch: 2, table: led.recorded(), cleared});
  await fixture.advance(100);
  t.equal(next.where(key), 'a');
  server.faultsFor = ({fence}) => ({lost: fence.epoch === 2});
  await fixture.advance(600);
  server.restart();
  await fixture.advance(600);
  const belief = server.activeLease(CELL);
  t.equal(belief?.fence.epoch, 1, 'the old leader is obeyed');
  t.equal(belief?.shards.length, SHARDS / 3);
  led.authority.until = fixture.clock.now();
  clear();
  await fixture.advance(FOREIGN_MS - 100);
  t.equal(next.where(key), 'moving');
  await fixture.advance(200);
  t.equal(next.owners().size, SHARDS);
  await fixture.stop(led);
  await finish(t, fixture, next);
});

// A router that has just taken a cell over without the table is stopped
// before all older leases have lapsed. It doesn't know all owners yet, so it
// hands on no table: a successor would take shards for free that are not.
void tap.test('leader stopped while it asks the servers', async t => {
  const {fixture, led} = await start(false);
  led.process.pause();
  led.authority.until = fixture.clock.now();
  fixture.fakes.get('a').faultsFor = () => ({lost: true});
  const next = fixture.lead({epoch: 2});
  await fixture.advance(500);
  t.equal(await fixture.stop(next), null);
  t.equal(next.recorded(), null);
  await fixture.stop(led);
});

// A key gets hot, and its hash range waits for a long request before it may
// be split. Another server is drained, so the table is recorded, and the
// router is lost in that moment. Its successor finds the key's
// own shard in the table, and must not take it for free: the long request
// still runs for the key, at the server that has the hash range.
void tap.test('leader lost while it waits to split a key', async t => {
  for (const checksFences of KINDS) {
    const {fixture, led, key} = await start(checksFences);
    fixture.drainMs = 900;
    fixture.load = createLoad([{key, rate: 100, busy: 3}]);
    await until({fixture}, () => led.gateClosed.size > 0);
    fixture.drains.add('c');
    await fixture.advance(600);
    led.process.pause();
    led.authority.until = fixture.clock.now();
    const table = led.recorded();
    const entry = table?.entries.find(({shard}) => shard === `k:${key}`);
    t.same([entry?.state, entry?.server], ['held', 'a']);
    const next = fixture.lead({epoch: 2, table});
    await fixture.advance(500);
    t.equal(next.where(key), 'a');
    await fixture.stop(led);
    await finish(t, fixture, next);
  }
});
