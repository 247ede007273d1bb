import type {Clock} from '@banyandrum/base/clock.js';
import type {Pool} from 'undici';

export interface ExchangeOptions {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: Uint8Array;
  /** From the call until the whole answer is here, in ms. */
  readonly timeoutMs: number;
  readonly clock: Clock;
  readonly signal: AbortSignal | undefined;
}

/** A whole answer, or why there is none and whether anything may have left. */
export type Exchange =
  | {readonly kind: 'answered'; readonly status: number; readonly body: string}
  | {readonly kind: 'failed'; readonly sent: boolean; readonly detail: string};

/**
 * Sends one HTTP request and takes in its whole answer; never rejects.
 *
 * A time-out or an abort closes the connection, so that the next call doesn't
 * meet a connection that has gone silent for good.
 */
export async function exchange(
  pool: Pool,
  options: ExchangeOptions,
): Promise<Exchange> {
  const {method, path, body, timeoutMs, clock, signal} = options;
  if (signal?.aborted) {
    return {kind: 'failed', sent: false, detail: 'aborted'};
  }
  const stop = new AbortController();
  const onAbort = (): void => stop.abort(new Error('aborted'));
  const cancel = clock.after(timeoutMs, () =>
    stop.abort(new Error(`no answer within ${timeoutMs} ms`)),
  );
  signal?.addEventListener('abort', onAbort);
  try {
    const res = await pool.request({
      method,
      path,
      body: body ?? null,
      signal: stop.signal,
    });
    const text = await res.body.text();
    return {kind: 'answered', status: res.statusCode, body: text};
  } catch (err) {
    return {kind: 'failed', sent: !isUnsent(err), detail: describe(err)};
  } finally {
    cancel();
    signal?.removeEventListener('abort', onAbort);
  }
}

/** Whether the error proves that no connection came about. */
function isUnsent(err: unknown): boolean {
  const {code, syscall} = err as NodeJS.ErrnoException;
  return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
}

function describe(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
