import type {Clock} from '@banyandrum/base/clock.js';
import type {Pool} from 'undici';

export interface ExchangeOptions {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: Uint8Array;
  /** Timeout for receiving the whole response, in ms. */
  readonly timeoutMs: number;
  readonly clock: Clock;
  readonly signal: AbortSignal | undefined;
}

/**
 * Why no whole response was received.
 *
 * - `unsent`: certainly nothing was sent.
 * - `oversize`: the response exceeds the client's limit.
 * - `timeout`: no whole response in time; the request may have arrived.
 * - `lost`: any other failure; the request may have arrived.
 */
export type ExchangeFailure = 'unsent' | 'oversize' | 'timeout' | 'lost';

export type Exchange =
  | {readonly kind: 'answered'; readonly status: number; readonly body: string}
  | {
      readonly kind: 'failed';
      readonly reason: ExchangeFailure;
      readonly detail: string;
    };

/** Sends one HTTP request and reads its whole response; never rejects. */
export async function exchange(
  pool: Pool,
  options: ExchangeOptions,
): Promise<Exchange> {
  const {method, path, body, timeoutMs, clock, signal} = options;
  if (signal?.aborted) {
    return {kind: 'failed', reason: 'unsent', detail: 'aborted'};
  }
  const stop = new AbortController();
  const onAbort = (): void => stop.abort(new Error('aborted'));
  const cancel = clock.after(timeoutMs, () =>
    stop.abort(new AnswerTimeoutError(timeoutMs)),
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
    return {kind: 'failed', reason: reasonOf(err), detail: describe(err)};
  } finally {
    cancel();
    signal?.removeEventListener('abort', onAbort);
  }
}

class AnswerTimeoutError extends Error {
  constructor(timeoutMs: number) {
    super(`no answer within ${timeoutMs} ms`);
    this.name = 'AnswerTimeoutError';
  }
}

function reasonOf(err: unknown): ExchangeFailure {
  if (err instanceof AnswerTimeoutError) return 'timeout';
  const {code, syscall} = err as NodeJS.ErrnoException;
  if (code === 'UND_ERR_RES_EXCEEDED_MAX_SIZE') return 'oversize';
  const isUnconnected =
    syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
  return isUnconnected ? 'unsent' : 'lost';
}

function describe(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
