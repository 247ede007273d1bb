import type {IncomingMessage} from 'node:http';
import {HOP_BY_HOP} from '@banyandrum/base/hop-by-hop.js';
import type {WireNames} from '@banyandrum/dispatch/wire.js';

/**
 * Timeout of requests without a deadline header, in ms. The timeout of the
 * request's route applies as well.
 */
const DEFAULT_TIMEOUT_MS = 30_000;

/** Lower-case names of header fields that are not forwarded to servers. */
export type StrippedHeaders = ReadonlySet<string>;

/** Hop-by-hop header fields, and those that each attempt sets itself. */
export function strippedHeaders(names: WireNames): StrippedHeaders {
  const stripped = new Set([
    ...HOP_BY_HOP,
    'content-length',
    names.deadlineMs,
    names.expectedServer,
  ]);
  stripped.delete('host');
  return stripped;
}

/** The value of a header field; undefined if it is missing or a list. */
export function headerValue(
  req: IncomingMessage,
  name: string,
): string | undefined {
  const value = req.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Size of the request line and the header, in bytes. */
export function headerBytes(req: IncomingMessage): number {
  let size = (req.url ?? '').length;
  for (const text of req.rawHeaders) size += text.length + 2;
  return size;
}

/** The request's key; null if the header is missing or not a valid key. */
export function readKey(names: WireNames, req: IncomingMessage): number | null {
  const text = headerValue(req, names.key);
  if (text === undefined || !/^\d{1,5}$/.test(text)) return null;
  return Number(text);
}

/** Header fields for the server, as alternating names and values. */
export function forwardedHeaders(
  stripped: StrippedHeaders,
  req: IncomingMessage,
  id: string,
  idName: string,
): readonly string[] {
  const headers: string[] = [];
  const connectionOptions = new Set(
    (req.headers.connection ?? '').toLowerCase().split(/\s*,\s*/),
  );
  for (let at = 0; at + 1 < req.rawHeaders.length; at += 2) {
    const name = req.rawHeaders[at]!.toLowerCase();
    if (stripped.has(name) || connectionOptions.has(name)) continue;
    headers.push(req.rawHeaders[at]!, req.rawHeaders[at + 1]!);
  }
  if (headerValue(req, idName) === undefined) headers.push(idName, id);
  return headers;
}

/** The caller's timeout from its deadline header, in ms, or the default. */
export function callerTimeoutMs(
  names: WireNames,
  req: IncomingMessage,
): number {
  const timeoutMs = Number(headerValue(req, names.deadlineMs));
  return timeoutMs > 0 ? timeoutMs : DEFAULT_TIMEOUT_MS;
}
