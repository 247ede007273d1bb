import type {Clock} from '@banyandrum/base/clock.js';
import type {Body} from '@banyandrum/base/request.js';
import {EMPTY_BODY} from '@banyandrum/base/request.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {Result} from '@banyandrum/base/result.js';
import type {z} from 'zod';
import type {ServerAnswer} from './answer-reader.js';
import type {
  LeaseAck,
  LeaseOrder,
  ServerError,
  ServerErrorKind,
  ServerLoad,
} from './client.js';
import type {Connections} from './connections.js';
import {exchange} from './exchange.js';
import type {ExchangeError, ExchangeStage} from './exchange.js';
import {LEASE_PATH, LOAD_PATH} from './headers.js';
import {fencedSchema, leaseAckSchema, serverLoadSchema} from './schemas.js';

/** Options of a control exchange. */
export interface ControlOptions {
  readonly timeoutMs: number;
  readonly signal: AbortSignal | undefined;
  mayWrite(): boolean;
}

const ERROR_KINDS: Readonly<Record<ExchangeStage, ServerErrorKind>> = {
  unwritten: 'unreachable',
  written: 'unknown',
  answering: 'unknown',
};

const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/**
 * Sends a lease order. `unreachable` means that nothing was written. After
 * `unknown` and `invalid` the order may have taken effect, or may do so later.
 *
 * @example
 * ```ts
 * const result = await sendOrder(connections, clock, order, options);
 * if (result.ok) keep(result.val.stamp);
 * ```
 */
export async function sendOrder(
  connections: Connections,
  clock: Clock,
  order: LeaseOrder,
  options: ControlOptions,
): Promise<Result<LeaseAck, ServerError>> {
  const result = await exchange(connections, clock, {
    ...exchangeBase(clock, options),
    use: 'control',
    method: 'POST',
    path: LEASE_PATH,
    headers: ['content-type', 'application/json'],
    body: Buffer.from(JSON.stringify(order)),
  });
  if (result.err) return Err(errorOf(result.val));
  const answer = await readAnswer(result.val);
  if (answer.err) return answer;
  if (answer.val.status === 409) return Err(fencedError(answer.val));
  return parse(leaseAckSchema, answer.val);
}

/**
 * Requests a server's load.
 *
 * @example
 * ```ts
 * const result = await askLoad(connections, clock, options);
 * ```
 */
export async function askLoad(
  connections: Connections,
  clock: Clock,
  options: ControlOptions,
): Promise<Result<ServerLoad, ServerError>> {
  const result = await exchange(connections, clock, {
    ...exchangeBase(clock, options),
    // Not on the connection for control, as a load request that hangs would
    // delay renewals.
    use: 'request',
    method: 'GET',
    path: LOAD_PATH,
    headers: [],
    body: EMPTY_BODY,
  });
  if (result.err) return Err(errorOf(result.val));
  const answer = await readAnswer(result.val);
  if (answer.err) return answer;
  return parse(serverLoadSchema, answer.val);
}

interface ControlAnswer {
  readonly status: number;
  /** Parsed JSON; undefined if invalid. */
  readonly value: unknown;
}

function exchangeBase(
  clock: Clock,
  options: ControlOptions,
): Pick<
  Parameters<typeof exchange>[2],
  'requestId' | 'deadline' | 'signal' | 'gatherBytes' | 'mayWrite'
> {
  return {
    requestId: null,
    deadline: clock.now() + options.timeoutMs,
    signal: options.signal,
    gatherBytes: MAX_ANSWER_BYTES,
    mayWrite: () => options.mayWrite(),
  };
}

async function readAnswer({
  head,
  body,
}: ServerAnswer): Promise<Result<ControlAnswer, ServerError>> {
  const bytes = await readWhole(body);
  if (bytes === null) {
    return Err({kind: 'unknown', detail: 'answer cut or too long'});
  }
  return Ok({status: head.status, value: parseJson(bytes)});
}

async function readWhole(body: Body): Promise<Uint8Array | null> {
  if (body instanceof Uint8Array) return body;
  const pieces: Uint8Array[] = [];
  let length = 0;
  try {
    for await (const piece of body) {
      length += piece.byteLength;
      if (length > MAX_ANSWER_BYTES) return null;
      pieces.push(piece);
    }
  } catch {
    return null;
  }
  return Buffer.concat(pieces);
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString());
  } catch {
    return undefined;
  }
}

function parse<Value>(
  schema: z.ZodType<Value>,
  {status, value}: ControlAnswer,
): Result<Value, ServerError> {
  if (status !== 200) return Err(invalid(`status ${status}`));
  const parsed = schema.safeParse(value);
  if (!parsed.success) return Err(invalid(parsed.error.message));
  return Ok(parsed.data);
}

function fencedError({value}: ControlAnswer): ServerError {
  const parsed = fencedSchema.safeParse(value);
  if (!parsed.success) return invalid('refused without its fence');
  const {fence} = parsed.data;
  return {kind: 'fenced', detail: 'it obeys a higher fence', fence};
}

function invalid(detail: string): ServerError {
  return {kind: 'invalid', detail};
}

function errorOf({stage, code, detail}: ExchangeError): ServerError {
  return {kind: ERROR_KINDS[stage], detail: `${code}: ${detail}`};
}
