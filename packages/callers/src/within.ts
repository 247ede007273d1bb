import type {Clock} from '@banyandrum/base/clock.js';
import type {Failure} from '@banyandrum/base/failure.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err} from '@banyandrum/base/result.js';

/** The task's result, or `late` as the error once `limit` has come. */
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
