import {HOP_BY_HOP} from '@banyandrum/base/hop-by-hop.js';
import type {HeaderField} from '@banyandrum/base/request.js';

/** Headers of the router itself; never passed on, in either direction. */
export const OWN_PREFIX = 'banyandrum-';

/**
 * Hop-by-hop headers. `content-length` is among them: each hop frames the body
 * anew and checks its length itself.
 */
const NOT_FORWARDED: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP,
  'content-length',
]);

/**
 * Returns the header fields to forward: neither hop-by-hop fields nor the
 * router's own.
 *
 * @example
 * ```ts
 * selectEndToEnd([{name: 'te', value: 'trailers'}]); // []
 * ```
 */
export function selectEndToEnd(
  fields: readonly HeaderField[],
): readonly HeaderField[] {
  const listed = listConnectionOptions(fields);
  return fields.filter(
    ({name}) =>
      !NOT_FORWARDED.has(name) &&
      !name.startsWith(OWN_PREFIX) &&
      !listed?.has(name),
  );
}

/** Node's flat list of names and values, as fields with lower-case names. */
export function toFields(raw: readonly string[]): readonly HeaderField[] {
  const fields: HeaderField[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    fields.push({name: raw[i]!.toLowerCase(), value: raw[i + 1]!});
  }
  return fields;
}

function listConnectionOptions(
  fields: readonly HeaderField[],
): ReadonlySet<string> | null {
  let listed: Set<string> | null = null;
  for (const {name, value} of fields) {
    if (name !== 'connection') continue;
    listed ??= new Set();
    for (const option of value.split(',')) {
      listed.add(option.trim().toLowerCase());
    }
  }
  return listed;
}
