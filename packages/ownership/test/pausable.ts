import type {Clock} from '@banyandrum/base/clock.js';
import type {ServerClient} from '@banyandrum/servers/client.js';

/** One process among several in a test: it can be paused and go on. */
export interface PausableProcess {
  readonly clock: Clock;
  readonly client: ServerClient;
  pause(): void;
  /** Timers that came due meanwhile run now, answers arrive now. */
  resume(): void;
}

/** Wraps what a process sees of the world. */
export function createPausableProcess(clock: Clock, client: ServerClient): PausableProcess {
  let paused = false;
  let waiting: (() => void)[] = [];

  const whenRunning = (task: () => void): void => {
    if (paused) waiting.push(task);
    else task();
  };

  const deliver = <T>(answer: Promise<T>): Promise<T> =>
    answer.then(
      value => new Promise(resolve => whenRunning(() => resolve(value))),
    );

  return {
    clock: {
      now: () => clock.now(),
      after: (ms, task) => clock.after(ms, () => whenRunning(task)),
    },
    client: {
      ...client,
      order: (...args) => deliver(client.order(...args)),
      load: (...args) => deliver(client.load(...args)),
    },
    pause() {
      paused = true;
    },
    resume() {
      paused = false;
      const tasks = waiting;
      waiting = [];
      for (const task of tasks) task();
    },
  };
}
