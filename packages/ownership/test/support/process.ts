import type {CancelTimer, Clock} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';

/** A process whose clock drifts and that can be paused or killed. */
export interface FakeProcess {
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  isAlive(): boolean;
  isPaused(): boolean;
  /** Holds back timers and messages; the clock continues. */
  pause(): void;
  /** Runs the timers that were held back, then the messages, as Node does. */
  resume(): void;
  kill(): void;
  /** Changes the rate of the clock. */
  setRate(rate: number): void;
  /** Hands a message to the process. */
  deliver(task: () => void): void;
}

export function createFakeProcess(
  clusterClock: Clock,
  incarnation: Incarnation,
  firstRate = 1,
): FakeProcess {
  let rate = firstRate;
  // Local time is base + (cluster time - since) * rate.
  let base = clusterClock.now() * rate;
  let since = clusterClock.now();
  let alive = true;
  let paused = false;
  const dueTimers = new Set<() => void>();
  let inbox: (() => void)[] = [];

  const now = (): number => base + (clusterClock.now() - since) * rate;

  const after = (ms: number, task: () => void): CancelTimer => {
    const cancel = clusterClock.after(ms / rate, () => {
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
      since = clusterClock.now();
      rate = next;
    },
    deliver(task) {
      if (!alive) return;
      if (paused) inbox.push(task);
      else task();
    },
  };
}
