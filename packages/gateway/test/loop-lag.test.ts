import tap from 'tap';
import {monitorLoopLag} from '@banyandrum/gateway/loop-lag.js';

/** A clock whose timers run only when the test says so. */
function createLateClock(): {
  now: () => number;
  after: (ms: number, task: () => void) => () => void;
  /** Time passes, then the timer that is due runs. */
  run(ms: number): void;
  pass(ms: number): void;
} {
  let time = 0;
  let due: (() => void) | null = null;
  return {
    now: () => time,
    after(_ms, task) {
      due = task;
      return () => (due = null);
    },
    run(ms) {
      time += ms;
      due?.();
    },
    pass(ms) {
      time += ms;
    },
  };
}

// One pause is over when the next request is read: its caller is served. A
// process that is late again and again has no time for it.
void tap.test('a pause is no lack of processor time', async t => {
  const clock = createLateClock();
  const lag = monitorLoopLag(clock);
  clock.run(25);
  t.equal(lag.lagMs(), 0);
  clock.run(325);
  clock.run(25);
  t.equal(lag.lagMs(), 0, 'over');
  for (let turn = 0; turn < 3; turn++) clock.run(145);
  t.equal(lag.lagMs(), 120, 'late each time');
  clock.run(25);
  t.equal(lag.lagMs(), 0);
  clock.pass(425);
  t.equal(lag.lagMs(), 400, 'late now');
  lag.stop();
});
