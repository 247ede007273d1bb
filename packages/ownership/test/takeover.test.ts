import tap from 'tap';
import {createWorld} from './support/world.js';

void tap.test('a fresh cell gets one leader and a standby', async t => {
  const world = createWorld({hosts: ['a', 'b', 'c']});
  const took = await world.until(() => world.acting() !== null, 3000);
  t.ok(took >= 0 && took < 1000, `acts after ${took} ms`);
  await world.clock.advance(5000);
  t.equal(world.holders.length, 1, 'and nobody else takes over');
  t.strictSame(world.violations, []);
});

void tap.test('a single router leads without a standby', async t => {
  const world = createWorld({hosts: ['a']});
  const took = await world.until(() => world.acting() !== null, 3000);
  t.ok(took >= 0 && took < 1000, `acts after ${took} ms`);
  await world.clock.advance(3000);
  t.ok(world.acting(), 'and goes on under the log alone');
});

// The leader's host is lost. Its cell's requests fail until the standby has
// noticed the silence, claimed and waited until the old leader, had it only
// been cut off, could not act any more.
void tap.test('the standby takes over from a lost leader', async t => {
  const world = createWorld({hosts: ['a', 'b', 'c']});
  await world.until(() => world.acting() !== null, 3000);
  await world.clock.advance(1000);
  const lost = world.acting();
  lost?.process.kill();
  const took = await world.until(() => world.acting() !== null, 5000);
  t.ok(took > 1000 && took < 2500, `acts after ${took} ms`);
  t.not(world.acting()?.host, lost?.host);
  t.strictSame(world.violations, []);
});
