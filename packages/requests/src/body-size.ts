import type {Body} from '@banyandrum/base/request.js';

/** What a streamed body holds in memory at most, in bytes. */
const STREAM_WINDOW_BYTES = 64 * 1024;

/** Bytes that a body is counted with against the limits. */
export function bodySize(body: Body): number {
  return body instanceof Uint8Array ? body.length : STREAM_WINDOW_BYTES;
}
