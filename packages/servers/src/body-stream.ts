/** The connection that a streamed body is read from. */
export interface BodySource {
  /** Continues reading after `push` returned false. */
  resume(): void;
  /** Called if the reader stops early. */
  abandon(): void;
}

/** A body that is passed from a connection to one reader. */
export interface BodyStream {
  readonly body: AsyncIterable<Uint8Array>;
  /** Returns false if the source should pause until `resume`. */
  push(chunk: Uint8Array): boolean;
  end(): void;
  /** The reader gets the chunks received before, then `error`. */
  fail(error: Error): void;
}

const MAX_QUEUED_BYTES = 64 * 1024;

const DONE: IteratorResult<Uint8Array> = {done: true, value: undefined};

/**
 * Creates a body stream with back pressure, which can be read once.
 *
 * @example
 * ```ts
 * const stream = createBodyStream({resume, abandon});
 * if (!stream.push(chunk)) pause();
 * for await (const chunk of stream.body) await write(chunk);
 * ```
 */
export function createBodyStream(source: BodySource): BodyStream {
  const queue: Uint8Array[] = [];
  let queuedBytes = 0;
  let paused = false;
  let ended = false;
  let error: Error | null = null;
  let wake: (() => void) | null = null;

  const notify = (): void => {
    const waiting = wake;
    wake = null;
    waiting?.();
  };

  const shift = (): Uint8Array | undefined => {
    const chunk = queue.shift();
    queuedBytes -= chunk?.byteLength ?? 0;
    if (paused && queuedBytes < MAX_QUEUED_BYTES) {
      paused = false;
      source.resume();
    }
    return chunk;
  };

  const next = async (): Promise<IteratorResult<Uint8Array>> => {
    for (;;) {
      const value = shift();
      if (value !== undefined) return {done: false, value};
      if (error !== null) throw error;
      if (ended) return DONE;
      await new Promise<void>(resolve => (wake = resolve));
    }
  };

  const abandon = (): Promise<IteratorResult<Uint8Array>> => {
    const wasOpen = !ended && error === null;
    ended = true;
    queue.length = 0;
    if (wasOpen) source.abandon();
    return Promise.resolve(DONE);
  };

  const iterator: AsyncIterator<Uint8Array> = {next, return: abandon};
  return {
    body: {[Symbol.asyncIterator]: () => iterator},
    push(chunk) {
      queue.push(chunk);
      queuedBytes += chunk.byteLength;
      paused = queuedBytes >= MAX_QUEUED_BYTES;
      notify();
      return !paused;
    },
    end() {
      ended = true;
      notify();
    },
    fail(failed) {
      error ??= failed;
      notify();
    },
  };
}
