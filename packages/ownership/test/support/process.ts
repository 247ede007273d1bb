import type {CancelTimer, Clock} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';

/** A process whose clock drifts and that can be paused or killed. */
export interface FakeProcess {
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  isAlive(): boolean;
  isPaused(): boolean;
  /** Timers and messages wait from now on; the clock runs on. */
  pause(): void;
  /** Runs what waited: the timers first, then the messages, as Node does. */
  resume(): void;
  kill(): void;
  /** Makes the clock go faster or slower from now on. */
  setRate(rate: number): void;
  /** Hands a message to the process. */
  deliver(task: () => void): void;
}

export function createFakeProcess(
  world: Clock,
  incarnation: Incarnation,
  firstRate = 1,
): FakeProcess {
  let rate = firstRate;
  // Local time is base + (world time - since) * rate.
  let base = world.now() * rate;
  let since = world.now();
  let alive = true;
  let paused = false;
  const dueTimers = new Set<() => void>();
  let inbox: (() => void)[] = [];

  const now = (): number => base + (world.now() - since) * rate;

  const after = (ms: number, task: () => void): CancelTimer => {
    const cancel = world.after(ms / rate, () => {
      if (!alive) return;
      if (paused) dueTimers.add(task);
      else task();
    });
    return () => {
      cancel();
      dueTimers.delete(task);
    };
  };

  const drain = (tasks: Iterable<() => void>): void => {
    for (const task of tasks) setImmediate(task);
  };

  return {
    incarnation,
    clock: {now, after},
    isAlive: () => alive,
    isPaused: () => paused,
    pause: () => void (paused = true),
    resume() {
      paused = false;
      drain(dueTimers);
      drain(inbox);
      dueTimers.clear();
      inbox = [];
    },
    kill: () => void (alive = false),
    setRate(next) {
      base = now();
      since = world.now();
      rate = next;
    },
    deliver(task) {
      if (!alive) return;
      if (paused) inbox.push(task);
      else task();
    },
  };
}
