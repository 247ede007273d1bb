import type {IncomingMessage} from 'node:http';

/** Result of reading a request's body. */
export type BodyRead =
  /** `bytes` is null if the request has no body. */
  | {readonly kind: 'read'; readonly bytes: Buffer | null}
  | {readonly kind: 'too-large'}
  /** The connection closed before the whole body was received. */
  | {readonly kind: 'incomplete'};

/**
 * Reads a request's body into memory, so that it can be sent again on a retry.
 * Resolves to `too-large` as soon as that is known, without reading the rest.
 *
 * @example
 * ```ts
 * const body = await readBody(req, 1_048_576);
 * ```
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<BodyRead> {
  const {headers} = req;
  const contentLength = headers['content-length'];
  const hasBody = contentLength !== undefined || 'transfer-encoding' in headers;
  if (!hasBody) return Promise.resolve({kind: 'read', bytes: null});
  if (Number(contentLength) > maxBytes)
    return Promise.resolve({kind: 'too-large'});
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        req.pause();
        return resolve({kind: 'too-large'});
      }
      chunks.push(chunk);
    });
    req.once('end', () => {
      resolve({kind: 'read', bytes: Buffer.concat(chunks)});
    });
    req.once('close', () => {
      if (!req.complete) resolve({kind: 'incomplete'});
    });
    req.once('error', () => resolve({kind: 'incomplete'}));
  });
}
