import type {IncomingMessage} from 'node:http';
import {HOP_BY_HOP} from '@banyandrum/base/hop-by-hop.js';
import type {WireNames} from '@banyandrum/dispatch/wire.js';

/** Time limit of requests that name none and have no route's, in ms. */
const DEFAULT_TIMEOUT_MS = 30_000;

/** Names of header fields that aren't passed on as the caller sent them. */
export type StrippedHeaders = ReadonlySet<string>;

/** Those that each attempt sets anew, and those of one connection only. */
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

/** The only value of a header field. */
export function headerValue(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Size of the request line and the header, in bytes. */
export function headerBytes(req: IncomingMessage): number {
  let size = (req.url ?? '').length;
  for (const text of req.rawHeaders) size += text.length + 2;
  return size;
}

/** The key that the request names; null where it isn't one. */
export function readKey(names: WireNames, req: IncomingMessage): number | null {
  const text = headerValue(req, names.key);
  if (text === undefined || !/^\d{1,5}$/.test(text)) return null;
  return Number(text);
}

/** Names and values in turn, as they go to a server. */
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

/** Time that the caller gives for the answer, in ms. */
export function callerTimeoutMs(
  names: WireNames,
  req: IncomingMessage,
): number {
  const timeoutMs = Number(headerValue(req, names.deadlineMs));
  return timeoutMs > 0 ? timeoutMs : DEFAULT_TIMEOUT_MS;
}
