import tap from 'tap';
import {FOREIGN_MS, SHARDS, createFixture, keyOf} from './lease-fixture.js';

void tap.test('a new cell spreads its shards evenly and serves', async t => {
  for (const checksFences of [true, false]) {
    const fixture = createFixture({checksFences});
    const led = fixture.lead();
    await fixture.advance(FOREIGN_MS + 20);
    const owners = led.owners();
    t.equal(owners.size, SHARDS);
    for (const name of ['a', 'b', 'c']) {
      const held = [...owners.values()].filter(owner => owner === name);
      t.equal(held.length, SHARDS / 3);
      t.equal(fixture.fakes.get(name).believes('holds/0').length, SHARDS / 3);
    }
    t.equal(led.where(keyOf(3)), owners.get('3'));
    await fixture.advance(10_000);
    t.same(led.owners(), owners, 'nothing moves by itself');
    t.equal(fixture.doubled.size, 0);
    await fixture.stop(led);
  }
});

// A server's host dies. Callers of its keys wait: its lease has to lapse
// before anybody else may own them. Then they are served elsewhere, and no
// key of the other servers moves.
void tap.test('a lost server: served again within 4 s', async t => {
  for (const checksFences of [true, false]) {
    const fixture = createFixture({checksFences});
    const led = fixture.lead();
    await fixture.advance(5000);
    const before = led.owners();
    fixture.fakes.get('a').fate = () => ({lost: true});
    const lostAt = fixture.clock.now();
    const key = keyOf(
      Number([...before].find(([, name]) => name === 'a')?.[0]),
    );
    t.equal(led.where(key), 'a');
    while (led.where(key) === 'a') await fixture.advance(5);
    t.equal(led.where(key), 'moving');
    while (led.owners().size < SHARDS) await fixture.advance(5);
    t.ok(fixture.clock.now() - lostAt < 2600, 'lapse and grant');
    for (const [shard, name] of led.owners()) {
      if (before.get(shard) !== 'a') t.equal(name, before.get(shard));
      else t.not(name, 'a');
    }
    t.equal(fixture.doubled.size, 0);
    await fixture.stop(led);
  }
});
