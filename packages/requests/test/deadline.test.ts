import tap from 'tap';
import {createDeadlineWheel} from '@banyandrum/requests/deadline.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

void tap.test('tasks run neither early nor much too late', async t => {
  const clock = createManualClock(12_345);
  const wheel = createDeadlineWheel(clock);
  const start = clock.now();
  // Includes deadlines after more than one round of the wheel.
  const delays = [7000, 3, 0, 5121, 999, 20_001, 12, 5119, -5];
  const late: number[] = [];
  for (const delay of delays) {
    wheel.schedule(start + delay, () =>
      late.push(clock.now() - start - Math.max(0, delay)),
    );
  }
  await clock.advance(21_000);
  t.equal(late.length, delays.length);
  t.ok(Math.min(...late) >= 0, `never early: ${late.join()}`);
  t.ok(Math.max(...late) <= 10, `two ticks late at most: ${late.join()}`);
  t.equal(wheel.size(), 0);
});

void tap.test('a cancelled task does not run', async t => {
  const clock = createManualClock();
  const wheel = createDeadlineWheel(clock);
  const seen: string[] = [];
  const cancel = wheel.schedule(50, () => seen.push('cancelled'));
  wheel.schedule(50, () => seen.push('kept'));
  cancel();
  cancel();
  t.equal(wheel.size(), 1);
  await clock.advance(100);
  t.same(seen, ['kept']);
  // Idle for longer than one round.
  await clock.advance(60_000);
  wheel.schedule(clock.now() + 30, () => seen.push('later'));
  await clock.advance(25);
  t.same(seen, ['kept']);
  await clock.advance(15);
  t.same(seen, ['kept', 'later']);
});

void tap.test('a task may cancel or add another', async t => {
  const clock = createManualClock();
  const wheel = createDeadlineWheel(clock);
  const seen: string[] = [];
  wheel.schedule(10, () => {
    cancel();
    wheel.schedule(20, () => seen.push('added'));
  });
  const cancel = wheel.schedule(10, () => seen.push('cancelled too late'));
  await clock.advance(50);
  t.same(seen, ['added']);
});
