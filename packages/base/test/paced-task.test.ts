import tap from 'tap';
import {createPacedTask, pauseAfterMs} from '@banyandrum/base/paced-task.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

// Guards against a process that spends all its time on reviews while changes
// come faster than it reviews them.
void tap.test('an expensive task leaves time for others', async t => {
  const clock = createManualClock();
  let busyMs = 0;
  let runs = 0;
  // The manual clock doesn't advance by itself during a run.
  const now = (): number => clock.now() + busyMs;
  const after = clock.after.bind(clock);
  const task = createPacedTask(
    {now, after},
    () => {
      runs++;
      busyMs += 10;
    },
    0.1,
  );
  for (let at = 0; at < 100; at++) {
    task.run();
    await clock.advance(10);
  }
  t.ok(runs >= 10 && runs <= 13, `${runs} runs in 1 s of others`);
});

void tap.test('a cheap task runs at once, each time', async t => {
  const clock = createManualClock();
  let runs = 0;
  const task = createPacedTask(clock, () => void runs++, 0.1);
  task.run();
  task.run();
  t.equal(runs, 2);
});

void tap.test('requests during the pause are coalesced, and end', async t => {
  const clock = createManualClock();
  let runs = 0;
  let busyMs = 0;
  const cfg = {now: () => clock.now() + busyMs, after: clock.after.bind(clock)};
  const task = createPacedTask(
    cfg,
    () => {
      runs++;
      busyMs += 20;
    },
    0.5,
  );
  task.run();
  task.run();
  task.run();
  t.equal(runs, 1);
  await clock.advance(25);
  t.equal(runs, 2);
  task.run();
  task.stop();
  await clock.advance(100);
  t.equal(runs, 2);
  t.equal(pauseAfterMs(10, 0.1), 90);
});
