import tap from 'tap';
import {createRouterCount} from '@banyandrum/gateway/router-count.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

// Guards against a new leader that has counted one router although 59 work.
// Each would use all of the shared retry budget instead of a 59th, and together
// they would exceed it many times within its window.
void tap.test('a lower count takes effect after a delay', async t => {
  const clock = createManualClock(0);
  const count = createRouterCount(clock);
  t.equal(count.current(), null);
  count.record(59);
  await clock.advance(9_000);
  count.record(1);
  t.equal(count.current(), 59);
  await clock.advance(10_000);
  count.record(1);
  t.equal(count.current(), 59, 'within the last whole window');
  await clock.advance(10_000);
  count.record(8);
  t.equal(count.current(), 8);
});

// Guards against a router without a leader that counts itself as the only one
// once the last count is old.
void tap.test('the last count stays in effect without a leader', async t => {
  const clock = createManualClock(0);
  const count = createRouterCount(clock);
  count.record(9);
  await clock.advance(120_000);
  t.equal(count.current(), 9);
  t.equal(count.ageMs(), 120_000);
  count.record(1);
  t.equal(count.current(), 9, 'a leader that has just begun');
});
