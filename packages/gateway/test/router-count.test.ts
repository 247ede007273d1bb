import tap from 'tap';
import {createRouterCount} from '@banyandrum/gateway/router-count.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

// A new leader has counted one router when 59 are at work. Each router would
// take a 59th of the retries allowed for all, then the whole of them: together
// they would spend many times the budget within its window.
void tap.test('a lower count is believed after a while', async t => {
  const clock = createManualClock(0);
  const count = createRouterCount(clock);
  t.equal(count.current(), 1);
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
