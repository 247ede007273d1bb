import {HOP_BY_HOP} from '@banyandrum/base/hop-by-hop.js';
import type {HeaderField} from '@banyandrum/base/request.js';
import * as names from './headers.js';

/** The parsed head of an answer. */
export interface AnswerHead {
  readonly status: number;
  /** Fields to forward to the caller. */
  readonly fields: readonly HeaderField[];
  /** `not-run` for an explicit refusal. */
  readonly verdict: string | null;
  readonly retryAfterMs: number | null;
  /** Id of the answered request, if the server sent it. */
  readonly requestId: string | null;
  /** Bytes of the body; null if it is chunked. */
  readonly length: number | null;
  /** Whether a truncated body can be detected. */
  readonly isDelimited: boolean;
}

const PLAIN = /^[\x21-\x24\x26-\x7e]*$/;
const NOT_PLAIN = /[^\x21-\x24\x26-\x7e]+/gu;

/**
 * Adds the caller's fields to a flat list of names and values, except hop-by-hop
 * fields and the product's own. `content-length` is only added if `keepsLength`.
 */
export function addForwarded(
  list: string[],
  fields: readonly HeaderField[],
  keepsLength: boolean,
): void {
  const named = namedByConnection(fields);
  for (const {name, value} of fields) {
    if (isDropped(name, named)) continue;
    if (name === 'content-length' && !keepsLength) continue;
    list.push(name, value);
  }
}

/**
 * Encodes a value for a header field in printable ASCII. Other characters are
 * percent-encoded, as the name of a hot key's shard includes the key.
 *
 * @example
 * ```ts
 * encodeField('k:વોર્ડ'); // 'k:%E0%AA%B5...'
 * ```
 */
export function encodeField(value: string): string {
  if (PLAIN.test(value)) return value;
  return value.replace(NOT_PLAIN, encodeURIComponent);
}

/** Reads an answer's head from undici's flat list of names and values. */
export function readHead(status: number, raw: readonly Buffer[]): AnswerHead {
  const all = decodeFields(raw);
  const named = namedByConnection(all);
  const own = new Map<string, string>();
  const fields: HeaderField[] = [];
  for (const field of all) {
    if (OWN_NAMES.has(field.name)) own.set(field.name, field.value);
    if (!isDropped(field.name, named)) fields.push(field);
  }
  const length = own.get('content-length');
  const retry = Number(own.get(names.RETRY_AFTER_MS) ?? NaN);
  return {
    status,
    fields,
    verdict: own.get(names.VERDICT) ?? null,
    retryAfterMs: retry >= 0 ? retry : null,
    requestId: own.get(names.REQUEST_ID) ?? null,
    length: length === undefined ? null : Number(length),
    isDelimited: length !== undefined || own.has('transfer-encoding'),
  };
}

const OWN_NAMES: ReadonlySet<string> = new Set([
  names.VERDICT,
  names.REQUEST_ID,
  names.RETRY_AFTER_MS,
  'content-length',
  'transfer-encoding',
]);

function decodeFields(raw: readonly Buffer[]): HeaderField[] {
  const fields: HeaderField[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    fields.push({
      name: raw[at]!.toString('latin1').toLowerCase(),
      value: raw[at + 1]!.toString('latin1'),
    });
  }
  return fields;
}

function isDropped(name: string, named: ReadonlySet<string>): boolean {
  return (
    HOP_BY_HOP.has(name) || named.has(name) || name.startsWith(names.OWN_PREFIX)
  );
}

const NONE: ReadonlySet<string> = new Set();

/** The further fields that `connection` declares hop-by-hop. */
function namedByConnection(
  fields: readonly HeaderField[],
): ReadonlySet<string> {
  let named: Set<string> | null = null;
  for (const {name, value} of fields) {
    if (name !== 'connection') continue;
    named ??= new Set();
    for (const token of value.split(',')) named.add(token.trim().toLowerCase());
  }
  return named ?? NONE;
}
