import type {Body} from '@banyandrum/base/request.js';

/** Maximum memory that a streamed body uses, in bytes. */
const STREAM_WINDOW_BYTES = 64 * 1024;

/** Bytes that a body counts towards the limits. */
export function bodySize(body: Body): number {
  return body instanceof Uint8Array ? body.length : STREAM_WINDOW_BYTES;
}
