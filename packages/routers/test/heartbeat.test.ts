import type {Clock} from '@banyandrum/base/clock.js';
import {createWatch, type Watch} from '@banyandrum/routers/heartbeat.js';
import tap from 'tap';

interface Scene {
  readonly watch: Watch;
  /** Moves time on without running timers, as a stalled event loop does. */
  stall(ms: number): void;
  /** Runs the timer that is set, and what it leaves for the next turn. */
  wake(): Promise<void>;
  readonly silences: () => number;
  readonly beats: () => number;
}

function createScene(): Scene {
  let now = 0;
  let timer: {at: number; task: () => void} | null = null;
  let silences = 0;
  let beats = 0;
  const clock: Clock = {
    now: () => now,
    after(ms, task) {
      timer = {at: now + ms, task};
      return () => (timer = null);
    },
  };
  const watch = createWatch({
    clock,
    heartbeatMs: 250,
    silentMs: 750,
    onBeat: () => beats++,
    onSilent: () => silences++,
  });
  return {
    watch,
    stall: ms => (now += ms),
    async wake() {
      if (timer === null) throw new Error('no timer');
      const {at, task} = timer;
      now = Math.max(now, at);
      task();
      await new Promise(resolve => setImmediate(resolve));
    },
    silences: () => silences,
    beats: () => beats,
  };
}

void tap.test('silence is told once, 750 ms after the last sign', async t => {
  const {watch, wake, stall, silences, beats} = createScene();
  await wake();
  stall(100);
  watch.heard();
  for (let count = 0; count < 3; count++) await wake();
  t.equal(silences(), 0, 'at 850 ms, heard at 350');
  for (let count = 0; count < 4; count++) await wake();
  t.equal(silences(), 1);
  t.ok(beats() >= 4);
  watch.heard();
  for (let count = 0; count < 5; count++) await wake();
  t.equal(silences(), 2, 'told again after it was heard again');
  watch.stop();
  await t.rejects(wake());
});

// A busy process reads nothing for a second, though the other side has sent
// its heartbeats all along. It must not take its own pause for the silence of
// the other side, or every pause would move traffic for nothing.
void tap.test('our own pause is not the silence of the other', async t => {
  const {wake, stall, silences} = createScene();
  stall(1000);
  await wake();
  t.equal(silences(), 0);
  for (let count = 0; count < 4; count++) await wake();
  t.equal(silences(), 1, 'a whole term later it is');
});

// The timer may run before what has arrived in the same turn is read; that
// sign of life still counts, or a busy process would see silence falsely.
void tap.test('a sign that is read in the same turn counts', async t => {
  const {watch, wake, silences} = createScene();
  for (let count = 0; count < 2; count++) await wake();
  setImmediate(() => watch.heard());
  await wake();
  t.equal(silences(), 0);
  for (let count = 0; count < 3; count++) await wake();
  t.equal(silences(), 1);
});
