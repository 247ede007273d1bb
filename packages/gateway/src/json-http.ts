import type {IncomingMessage, ServerResponse} from 'node:http';
import {Client} from 'undici';

/** A small client for JSON calls to one address, over one connection. */
export interface JsonClient {
  /** The reply's body; null where the call failed or was refused. */
  post(path: string, body: unknown, withinMs: number): Promise<unknown>;
  close(): void;
}

const CONNECT_MS = 400;

/**
 * Makes a client of the router at `address`. A call that stays silent closes
 * the connection, so that the next one opens another.
 *
 * @example
 * ```ts
 * const client = createJsonClient('10.1.0.18:7200');
 * const reply = await client.post('/sync', message, 1_500);
 * ```
 */
export function createJsonClient(address: string): JsonClient {
  const make = (): Client =>
    new Client(`http://${address}`, {
      pipelining: 1,
      connect: {timeout: CONNECT_MS, noDelay: true},
    });
  let client = make();
  return {
    async post(path, body, withinMs) {
      const own = client;
      try {
        const res = await own.request({
          method: 'POST',
          path,
          headers: {'content-type': 'application/json'},
          body: JSON.stringify(body),
          signal: AbortSignal.timeout(withinMs),
        });
        const reply = await res.body.json();
        return res.statusCode === 200 ? reply : null;
      } catch {
        if (own === client) {
          client = make();
          own.destroy().catch(() => undefined);
        }
        return null;
      }
    },
    close() {
      client.destroy().catch(() => undefined);
    },
  };
}

/** Reads a JSON body of up to `maxBytes`; null where it isn't one. */
export async function readJson(
  req: IncomingMessage,
  maxBytes: number,
): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBytes) return null;
      chunks.push(chunk);
    }
    return JSON.parse(Buffer.concat(chunks).toString('utf8'));
  } catch {
    return null;
  }
}

/** Ends a response with a JSON body. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}
