import {createHash} from 'node:crypto';

/** What makes two requests the same, whatever else their headers say. */
export interface Asked {
  /** Who asks, by IP number. */
  readonly caller: string;
  readonly method: string;
  readonly host: string;
  /** With its query. */
  readonly path: string;
  /** Null where the service isn't divided by key. */
  readonly key: number | null;
  readonly body: Buffer | null;
}

/** Bytes of the digest: two requests with the same one are not expected. */
const DIGEST_BYTES = 15;

/**
 * A digest of what a request asks, alike at all routers. It tells nothing of
 * the body.
 *
 * @example
 * ```ts
 * contentOf({caller: '10.0.0.9', method: 'GET', host, path, key: 7, body});
 * ```
 */
export function contentOf(asked: Asked): string {
  const {caller, method, host, path, key, body} = asked;
  const head = JSON.stringify([caller, method, host, path, key]);
  const hash = createHash('sha256').update(head).update('\n');
  if (body !== null) hash.update(body);
  return hash.digest().subarray(0, DIGEST_BYTES).toString('base64url');
}
