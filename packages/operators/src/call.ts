import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {Pool} from 'undici';
import type {z} from 'zod';
import {changeUnknown, problemMessage} from './messages.js';
import type {ApiError} from './problem.js';

/** A client's error; `unknown` where a change may have been accepted. */
export type ClientError = ApiError;
export type ClientResult<T> = Promise<Result<T, ClientError>>;

type Method = 'GET' | 'POST' | 'PUT';

/** One request of the client, and how its reply is read. */
export interface Call<T> {
  readonly method: Method;
  readonly path: string;
  readonly message?: object;
  readonly reply: z.ZodType<T>;
  /** What a lost reply means. */
  readonly lost: 'unavailable' | 'unknown';
}

interface RawReply {
  readonly status: number;
  readonly text: string;
}

/** Codes of errors that came before any byte of the request was sent. */
const NOTHING_SENT: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Sends a request once; never rejects. */
export async function send<T>(
  pool: Pool,
  headers: Readonly<Record<string, string>>,
  call: Call<T>,
): ClientResult<T> {
  const {method, path, message, lost} = call;
  let reply: RawReply;
  try {
    const type = message && {'content-type': 'application/json'};
    const res = await pool.request({
      method,
      path,
      headers: {...headers, ...type},
      body: message ? JSON.stringify(message) : null,
    });
    reply = {status: res.statusCode, text: await res.body.text()};
  } catch (err) {
    return Err({
      kind: nothingSent(err) ? 'unavailable' : lost,
      detail: describe(err),
    });
  }
  return readReply(call, reply);
}

function readReply<T>(
  {reply, lost}: Call<T>,
  {status, text}: RawReply,
): Result<T, ClientError> {
  const body = parseJson(text);
  if (status === 202) {
    const unknown = changeUnknown.safeParse(body);
    const detail = unknown.data?.detail ?? 'it may have been accepted';
    return Err({kind: 'unknown', detail});
  }
  if (status >= 200 && status < 300) {
    const parsed = reply.safeParse(body);
    if (parsed.success) return Ok(parsed.data);
    return Err({kind: lost, detail: 'the reply is not as it should be'});
  }
  const problem = problemMessage.safeParse(body);
  if (!problem.success) {
    return Err({kind: lost, detail: `status ${status} without a problem`});
  }
  const {kind, detail, problems, inForce} = problem.data;
  return Err({
    kind,
    detail,
    ...(problems === undefined ? {} : {problems}),
    ...(inForce === undefined ? {} : {inForce}),
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return null;
  }
}

function nothingSent(err: unknown): boolean {
  return NOTHING_SENT.has(String((err as {code?: unknown}).code));
}

function describe(err: unknown): string {
  const {code, message} = err as {code?: unknown; message?: unknown};
  return [code, message].filter(Boolean).join(': ') || String(err);
}
