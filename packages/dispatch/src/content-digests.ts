import {createHash} from 'node:crypto';
import {toHostName, toPath} from '@banyandrum/routing/match-route.js';

/** Parts of a request that its digests cover. */
export interface DigestInput {
  /** IP address. */
  readonly caller: string;
  readonly method: string;
  readonly host: string;
  /** Includes the query. */
  readonly path: string;
  /** Null if the service isn't partitioned by key. */
  readonly key: number | null;
  readonly body: Buffer | null;
}

/**
 * Digests that identify a request's content, the same on all routers. Requests
 * that share a digest may be repetitions of one request. The body can't be
 * recovered from them.
 */
export interface ContentDigests {
  /** Covers the caller, key, method, host, path with query, and body. */
  readonly exact: string;
  /** Omits the caller, who may have several addresses, and the key. */
  readonly anyCaller: string;
  /** Omits the query as well. */
  readonly anyQuery: string;
}

/** Kind of digest, by what it covers. */
export type DigestScope = keyof ContentDigests;

/** Ordered from the narrowest, which matches the fewest requests. */
export const DIGEST_SCOPES: readonly DigestScope[] = [
  'exact',
  'anyCaller',
  'anyQuery',
];

/** Digest length in bytes, long enough that collisions are not expected. */
const DIGEST_BYTES = 15;

/**
 * Computes the digests of a request.
 *
 * @example
 * ```ts
 * digestContent({caller: '10.0.0.9', method: 'GET', host, path, key: 7, body});
 * ```
 */
export function digestContent(input: DigestInput): ContentDigests {
  const {caller, method, path, key, body} = input;
  const host = toHostName(input.host);
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
