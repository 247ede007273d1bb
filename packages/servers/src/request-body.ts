import type {Body} from '@banyandrum/base/request.js';
import type {Dispatcher} from 'undici';

/** Callbacks while a body is written. */
export interface BodyHooks {
  /** Called just before the head is written. */
  mayWrite(): boolean;
  /** Called when the head is written. */
  onWrite(): void;
  /** Called if `mayWrite` returned false. */
  onForbidden(): void;
  /** Called if the source of the body failed. */
  onCut(err: unknown): void;
}

/** A body in the form that undici accepts. */
export type DispatchBody = NonNullable<
  Dispatcher.DispatchOptions['body']
> | null;

/** Converts a body for undici, which accepts iterables unlike its types. */
export function toDispatchBody(body: Body, hooks: BodyHooks): DispatchBody {
  if (body instanceof Uint8Array) {
    return body.byteLength === 0 ? null : body;
  }
  return guardBody(body, hooks) as unknown as NonNullable<DispatchBody>;
}

/**
 * Checks `mayWrite` before the first bytes. The head of a streamed request is
 * written with them, possibly long after the connection was acquired, and the
 * process may have been suspended and lost its authority meanwhile.
 */
async function* guardBody(
  body: AsyncIterable<Uint8Array>,
  hooks: BodyHooks,
): AsyncGenerator<Uint8Array> {
  let isWritten = false;
  const beforeWrite = (): void => {
    if (isWritten) return;
    if (!hooks.mayWrite()) {
      hooks.onForbidden();
      throw new Error('not permitted');
    }
    isWritten = true;
    hooks.onWrite();
  };
  try {
    for await (const chunk of body) {
      if (chunk.byteLength === 0) continue;
      beforeWrite();
      yield chunk;
    }
  } catch (err) {
    hooks.onCut(err);
    throw err;
  }
  beforeWrite();
}
