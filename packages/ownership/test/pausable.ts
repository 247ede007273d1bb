import type {Clock} from '@banyandrum/base/clock.js';
import type {ServerClient} from '@banyandrum/servers/client.js';

/** Simulated process that a test can pause and resume. */
export interface PausableProcess {
  readonly clock: Clock;
  readonly client: ServerClient;
  pause(): void;
  /** Runs timers and delivers answers that became due during the pause. */
  resume(): void;
}

/** Wraps the clock and the server client of a process. */
export function createPausableProcess(
  clock: Clock,
  client: ServerClient,
): PausableProcess {
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
