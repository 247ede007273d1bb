import type {Failure} from '@banyandrum/base/failure.js';
import {failure} from '@banyandrum/base/failure.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';

/** The service, key and path named by a request's URL. */
export interface Target {
  readonly service: string;
  /** Decoded. */
  readonly key: string;
  /** The rest of the URL with the query, as it was sent. */
  readonly path: string;
}

export const MAX_SERVICE_LENGTH = 64;
export const MAX_KEY_BYTES = 512;
export const MAX_PATH_BYTES = 4096;

const PREFIX = '/v1/';
const ABSOLUTE_FORM = /^https?:\/\/[^/?#]*/i;
const SERVICE = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;
const PRINTABLE_ASCII = /^[\x21-\x7e]*$/;
// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTER = /[\u0000-\u001f\u007f]/;
const DOT_SEGMENT = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)/i;

/**
 * Parses `/v1/{service}/{key}{path}`. All failures are `not-run` with the code
 * `bad-request`.
 *
 * @example
 * ```ts
 * parseTarget('/v1/holds/ward%207/beds?free=1');
 * // Ok({service: 'holds', key: 'ward 7', path: '/beds?free=1'})
 * ```
 */
export function parseTarget(url: string): Result<Target, Failure> {
  const local = url.startsWith('/') ? url : url.replace(ABSOLUTE_FORM, '');
  if (!local.startsWith(PREFIX)) {
    return reject('the path must be /v1/{service}/{key}');
  }
  if (!PRINTABLE_ASCII.test(local)) {
    return reject('characters outside of ASCII must be percent-encoded');
  }
  const serviceEnd = local.indexOf('/', PREFIX.length);
  if (serviceEnd < 0) return reject('the path names no key');
  const keyEnd = findKeyEnd(local, serviceEnd + 1);
  const service = local.slice(PREFIX.length, serviceEnd);
  const path = local.slice(keyEnd);
  const detail = findServiceFault(service) ?? findPathFault(path);
  if (detail !== null) return reject(detail);
  return withKey(service, local.slice(serviceEnd + 1, keyEnd), path);
}

function withKey(
  service: string,
  encoded: string,
  path: string,
): Result<Target, Failure> {
  const key = decodeKey(encoded);
  if (key === null) return reject('the key is not percent-encoded UTF-8');
  const detail = findKeyFault(key);
  if (detail !== null) return reject(detail);
  return Ok({service, key, path});
}

function findKeyEnd(url: string, from: number): number {
  for (let i = from; i < url.length; i++) {
    const char = url[i];
    if (char === '/' || char === '?' || char === '#') return i;
  }
  return url.length;
}

function decodeKey(encoded: string): string | null {
  if (!encoded.includes('%')) return encoded;
  try {
    return decodeURIComponent(encoded);
  } catch {
    return null;
  }
}

function findServiceFault(service: string): string | null {
  if (service.length > MAX_SERVICE_LENGTH) {
    return `the service's name is longer than ${MAX_SERVICE_LENGTH}`;
  }
  return SERVICE.test(service) ? null : "the service's name is malformed";
}

function findKeyFault(key: string): string | null {
  if (key === '') return 'the path names no key';
  if (Buffer.byteLength(key) > MAX_KEY_BYTES) {
    return `the key is longer than ${MAX_KEY_BYTES} bytes`;
  }
  if (CONTROL_CHARACTER.test(key)) return 'the key has control characters';
  // URL parsers would resolve these as dot segments, and the request would reach
  // another key than the one it was routed by.
  if (key === '.' || key === '..') return 'the key cannot be . or ..';
  return null;
}

function findPathFault(path: string): string | null {
  if (path.length > MAX_PATH_BYTES) {
    return `the path behind the key is longer than ${MAX_PATH_BYTES} bytes`;
  }
  if (path.includes('#')) return 'the path has a fragment';
  const query = path.indexOf('?');
  const steps = query < 0 ? path : path.slice(0, query);
  if (steps.includes('\\')) return 'the path has a backslash';
  // `/v1/holds/a/../b` would be routed by key a and executed on key b.
  if (DOT_SEGMENT.test(steps)) return 'the path has dot segments';
  return null;
}

function reject(detail: string): Result<Target, Failure> {
  return Err(failure('not-run', 'bad-request', detail));
}
