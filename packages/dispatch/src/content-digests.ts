import {createHash} from 'node:crypto';
import {toHostName, toPath} from '@banyandrum/routing/match-route.js';

/** What a request asks, and who asks it. */
export interface DigestInput {
  /** By IP number. */
  readonly caller: string;
  readonly method: string;
  readonly host: string;
  /** With its query. */
  readonly path: string;
  /** Null where the service isn't divided by key. */
  readonly key: number | null;
  readonly body: Buffer | null;
}

/**
 * Digests of what a request asks, alike at all routers: what has one of them in
 * common may be the same request come again. They tell nothing of the body.
 */
export interface ContentDigests {
  /** Of the caller, the key, the whole path and the body. */
  readonly exact: string;
  /** The same from any caller: one that sits behind several addresses. */
  readonly anyCaller: string;
  /** The same with any query, too. */
  readonly anyQuery: string;
}

/** What a digest is of. */
export type DigestScope = keyof ContentDigests;

/** From the narrowest to the widest. */
export const DIGEST_SCOPES: readonly DigestScope[] = [
  'exact',
  'anyCaller',
  'anyQuery',
];

/** Bytes of a digest: two requests with the same one are not expected. */
const DIGEST_BYTES = 15;

/**
 * The digests of a request.
 *
 * @example
 * ```ts
 * contentsOf({caller: '10.0.0.9', method: 'GET', host, path, key: 7, body});
 * ```
 */
export function digestContent(asked: DigestInput): ContentDigests {
  const {caller, method, path, key, body} = asked;
  const host = toHostName(asked.host);
  const bodyDigest = body === null ? '' : digest(body);
  return {
    exact: digestAll('exact', caller, method, host, path, key, bodyDigest),
    anyCaller: digestAll('any-caller', method, host, path, bodyDigest),
    anyQuery: digestAll('any-query', method, host, toPath(path), bodyDigest),
  };
}

function digestAll(...parts: readonly (string | number | null)[]): string {
  return digest(JSON.stringify(parts));
}

function digest(data: Buffer | string): string {
  const whole = createHash('sha256').update(data).digest();
  return whole.subarray(0, DIGEST_BYTES).toString('base64url');
}
