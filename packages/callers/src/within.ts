import type {Clock} from '@banyandrum/base/clock.js';
import type {Failure} from '@banyandrum/base/failure.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err} from '@banyandrum/base/result.js';

/** Resolves to the task's result, or to the error `late` at time `limit`. */
export function within<T>(
  clock: Clock,
  limit: number,
  task: Promise<Result<T, Failure>>,
  late: Failure,
): Promise<Result<T, Failure>> {
  return new Promise(resolve => {
    const cancel = clock.after(Math.max(0, limit - clock.now()), () =>
      resolve(Err(late)),
    );
    void task.then(result => {
      cancel();
      resolve(result);
    });
  });
}
