import type {IncomingMessage} from 'node:http';
import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {z} from 'zod';
import type {ApiError} from './problem.js';

const JSON_TYPE = /^application\/json\s*(?:;|$)/i;

/**
 * Reads a request's JSON body and checks it against its schema. Anything
 * else, junk included, is one error, and nothing has been changed.
 */
export async function readMessage<T>(
  req: IncomingMessage,
  schema: z.ZodType<T>,
  maxBytes: number,
): Promise<Result<T, ApiError>> {
  if (!JSON_TYPE.test(req.headers['content-type'] ?? '')) {
    return reject('the content-type must be application/json');
  }
  const bytes = await readBytes(req, maxBytes);
  if (bytes.err) return bytes;
  const value = decodeJson(bytes.val);
  if (value.err) return value;
  const parsed = schema.safeParse(value.val);
  if (parsed.success) return Ok(parsed.data);
  const problems = parsed.error.issues.map(
    issue => `${issue.path.join('.') || 'body'}: ${issue.message}`,
  );
  const detail = 'the body is not as it should be';
  return Err({kind: 'bad-request', detail, problems});
}

async function readBytes(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, ApiError>> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > maxBytes) return tooLarge(maxBytes);
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req.iterator({destroyOnReturn: false})) {
      bytes += (chunk as Buffer).length;
      if (bytes > maxBytes) return tooLarge(maxBytes);
      chunks.push(chunk as Buffer);
    }
  } catch {
    return reject('the body was cut short');
  }
  return Ok(Buffer.concat(chunks));
}

function decodeJson(bytes: Buffer): Result<unknown, ApiError> {
  let text: string;
  try {
    text = new TextDecoder('utf-8', {fatal: true}).decode(bytes);
  } catch {
    return reject('the body is no UTF-8');
  }
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    return reject('the body is no JSON');
  }
}

function reject(detail: string): Result<never, ApiError> {
  return Err({kind: 'bad-request', detail});
}

function tooLarge(maxBytes: number): Result<never, ApiError> {
  const detail = `the body is larger than ${maxBytes} bytes`;
  return Err({kind: 'too-large', detail});
}
