import tap from 'tap';
import {monitorLoopLag} from '@banyandrum/gateway/loop-lag.js';

/** A clock whose timer fires only when the test calls `advanceAndFire`. */
function createLateClock(): {
  now: () => number;
  after: (ms: number, task: () => void) => () => void;
  /** Advances the time by `ms`, then fires the pending timer. */
  advanceAndFire(ms: number): void;
  /** Advances the time without firing the timer. */
  advance(ms: number): void;
} {
  let time = 0;
  let pending: (() => void) | null = null;
  return {
    now: () => time,
    after(_ms, task) {
      pending = task;
      return () => (pending = null);
    },
    advanceAndFire(ms) {
      time += ms;
      pending?.();
    },
    advance(ms) {
      time += ms;
    },
  };
}

// A single pause, such as a garbage collection, is over when the next request
// is read, so that request can be served. Repeated lag means that the process
// is short of processor time, and requests should be refused.
void tap.test('a single pause is no lack of processor time', async t => {
  const clock = createLateClock();
  const monitor = monitorLoopLag(clock);
  clock.advanceAndFire(25);
  t.equal(monitor.lagMs(), 0);
  clock.advanceAndFire(325);
  clock.advanceAndFire(25);
  t.equal(monitor.lagMs(), 0, 'after a single pause');
  for (let turn = 0; turn < 3; turn++) clock.advanceAndFire(145);
  t.equal(monitor.lagMs(), 120, 'after lag each time');
  clock.advanceAndFire(25);
  t.equal(monitor.lagMs(), 0);
  clock.advance(425);
  t.equal(monitor.lagMs(), 400, 'while the timer is overdue');
  monitor.stop();
});
