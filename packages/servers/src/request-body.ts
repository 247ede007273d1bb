import type {Body} from '@banyandrum/base/request.js';
import type {Dispatcher} from 'undici';

/** What writing a body needs to know and reports. */
export interface BodyHooks {
  /** Asked right before the head goes out. */
  mayWrite(): boolean;
  /** The head goes out now. */
  onWrite(): void;
  /** Permission was gone before the first byte. */
  onForbidden(): void;
  /** The source of the body failed. */
  onCut(err: unknown): void;
}

/** A body in the form that undici takes. */
export type DispatchBody = NonNullable<
  Dispatcher.DispatchOptions['body']
> | null;

/** The body for undici, which knows iterables, though its types don't. */
export function toDispatchBody(body: Body, hooks: BodyHooks): DispatchBody {
  if (body instanceof Uint8Array) {
    return body.byteLength === 0 ? null : body;
  }
  return guardBody(body, hooks) as unknown as NonNullable<DispatchBody>;
}

/**
 * A streamed request's head is written together with the first bytes of its
 * body, which may come long after the connection was taken. A process paused
 * meanwhile would write without authority, so permission is asked again right
 * before those bytes.
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
