import tap from 'tap';
import {sleep} from '@banyandrum/base/clock.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

void tap.test('timers run in order, each at its own time', async t => {
  const clock = createManualClock();
  const seen: number[] = [];
  clock.after(20, () => seen.push(clock.now()));
  void sleep(clock, 10).then(() => {
    seen.push(clock.now());
    clock.after(5, () => seen.push(clock.now()));
  });
  await clock.advance(30);
  t.same(seen, [10, 15, 20]);
  t.equal(clock.now(), 30);
});
