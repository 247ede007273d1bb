import {FailureError, type Failure} from '@banyandrum/base/failure.js';

/** A body that arrives in chunks. */
export interface Inbox {
  readonly body: AsyncIterable<Uint8Array>;
  /** False where the sender exceeds its window. */
  push(bytes: Uint8Array): boolean;
  end(): void;
  /** Cuts the body: the reader gets the failure at once. */
  fail(failure: Failure): void;
}

export interface InboxOptions {
  readonly windowBytes: number;
  /** Grants the sender as many bytes more. */
  readonly onCredit: (bytes: number) => void;
  /** The reader stopped before the end. */
  readonly onAbandoned: () => void;
}

/**
 * Holds at most a window of bytes until the reader takes them.
 *
 * @example
 * ```ts
 * const inbox = createInbox({windowBytes, onCredit, onAbandoned});
 * inbox.push(bytes);
 * for await (const piece of inbox.body) use(piece);
 * ```
 */
export function createInbox(options: InboxOptions): Inbox {
  const {windowBytes, onCredit, onAbandoned} = options;
  const creditStep = windowBytes / 4;
  let queue: Uint8Array[] = [];
  let held = 0;
  let taken = 0;
  let ended = false;
  let failed: Failure | null = null;
  let wake = (): void => {};

  const take = (piece: Uint8Array): void => {
    taken += piece.length;
    if (ended || taken < creditStep) return;
    held -= taken;
    onCredit(taken);
    taken = 0;
  };

  const next = async (): Promise<IteratorResult<Uint8Array>> => {
    for (;;) {
      if (failed !== null) throw new FailureError(failed);
      const value = queue.shift();
      if (value !== undefined) {
        take(value);
        return {done: false, value};
      }
      if (ended) return DONE;
      await new Promise<void>(resolve => (wake = resolve));
    }
  };

  const abandon = (): Promise<IteratorResult<Uint8Array>> => {
    const early = !ended && failed === null;
    ended = true;
    queue = [];
    wake();
    if (early) onAbandoned();
    return Promise.resolve(DONE);
  };

  return {
    // No generator: one that was never started would not run its end.
    body: {[Symbol.asyncIterator]: () => ({next, return: abandon})},
    push(bytes) {
      if (ended) return true;
      held += bytes.length;
      if (held > windowBytes) return false;
      if (bytes.length > 0) queue.push(bytes);
      wake();
      return true;
    },
    end() {
      ended = true;
      wake();
    },
    fail(failure) {
      if (ended) return;
      failed ??= failure;
      queue = [];
      wake();
    },
  };
}

const DONE: IteratorReturnResult<undefined> = {done: true, value: undefined};
