import {Pool} from 'undici';
import type {LogLevel} from '@banyandrum/base/logger.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {z} from 'zod';
import type {
  AttestationRequest,
  AuditMessage,
  ChangeAccepted,
  DrainRequest,
  ExplainMessage,
  HistoryMessage,
  LogLevelRequest,
  PublicationMessage,
  PublishRequest,
  StateMessage,
  StatusMessage,
  WatchEvent,
} from './messages.js';
import {
  auditMessage,
  changeAccepted,
  changeUnknown,
  explainMessage,
  historyMessage,
  logLevelRequest,
  problemMessage,
  publicationMessage,
  stateMessage,
  statusMessage,
  watchEvent,
} from './messages.js';
import {readLines} from './lines.js';
import type {ApiError} from './problem.js';
import {ACTION_MS, ALIVE_MS} from './timing.js';

/** A client's error; `unknown` where a change may have been accepted. */
export type ClientError = ApiError;
export type ClientResult<T> = Promise<Result<T, ClientError>>;

export interface OperatorsClientConfig {
  /** `ip:port` of a router's interface for operators. */
  readonly address: string;
  readonly token: string;
}

/** The operators' interface of one router, from afar. */
export interface OperatorsClient {
  state(): ClientResult<StateMessage>;
  publication(): ClientResult<PublicationMessage>;
  publish(req: PublishRequest): ClientResult<ChangeAccepted>;
  change(changeId: string): ClientResult<AuditMessage>;
  history(limit: number): ClientResult<HistoryMessage>;
  drain(req: DrainRequest): ClientResult<ChangeAccepted>;
  attest(req: AttestationRequest): ClientResult<ChangeAccepted>;
  status(): ClientResult<StatusMessage>;
  explain(service: string, key: string): ClientResult<ExplainMessage>;
  setLogLevel(level: LogLevel): ClientResult<LogLevelRequest>;
  /**
   * Events until the signal aborts. Throws where the stream breaks off or
   * falls silent; whoever goes on begins anew.
   */
  watch(signal: AbortSignal): AsyncIterable<WatchEvent>;
  close(): Promise<void>;
}

type Method = 'GET' | 'POST' | 'PUT';

interface Call<T> {
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

const CONNECT_MS = 5000;
const REPLY_MARGIN_MS = 5000;
const MISSED_ALIVES = 3;

/** Codes of errors that came before any byte of the request was sent. */
const NOTHING_SENT: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * A client of one router's interface for operators. Requests are never
 * repeated by it: a change is repeated safely by its change id.
 *
 * @example
 * ```ts
 * const client = createOperatorsClient({address: '10.0.0.7:7080', token});
 * const result = await client.publish(message);
 * if (result.err && result.val.kind === 'unknown') {
 *   await client.change(message.changeId);
 * }
 * await client.close();
 * ```
 */
export function createOperatorsClient(
  config: OperatorsClientConfig,
): OperatorsClient {
  const pool = new Pool(`http://${config.address}`, {
    connectTimeout: CONNECT_MS,
    headersTimeout: ACTION_MS + REPLY_MARGIN_MS,
    bodyTimeout: ALIVE_MS * MISSED_ALIVES,
  });
  const headers = {authorization: `Bearer ${config.token}`};
  const ask = <T>(path: string, reply: z.ZodType<T>): ClientResult<T> =>
    send(pool, headers, {method: 'GET', path, reply, lost: 'unavailable'});
  const change = (
    path: string,
    message: object,
  ): ClientResult<ChangeAccepted> =>
    send(pool, headers, {
      method: 'POST',
      path,
      message,
      reply: changeAccepted,
      lost: 'unknown',
    });
  return {
    state: () => ask('/v1/state', stateMessage),
    publication: () => ask('/v1/publication', publicationMessage),
    publish: message => change('/v1/publications', message),
    change: id => ask(`/v1/changes/${encode(id)}`, auditMessage),
    history: limit => ask(`/v1/history?limit=${limit}`, historyMessage),
    drain: message => change('/v1/drains', message),
    attest: message => change('/v1/attestations', message),
    status: () => ask('/v1/status', statusMessage),
    explain: (service, key) =>
      ask(`/v1/explain/${encode(service)}/${encode(key)}`, explainMessage),
    setLogLevel: level =>
      send(pool, headers, {
        method: 'PUT',
        path: '/v1/log-level',
        message: {level},
        reply: logLevelRequest,
        lost: 'unavailable',
      }),
    watch: signal => watch(pool, headers, signal),
    close: () => pool.close(),
  };
}

async function send<T>(
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

async function* watch(
  pool: Pool,
  headers: Readonly<Record<string, string>>,
  signal: AbortSignal,
): AsyncGenerator<WatchEvent> {
  try {
    const res = await pool.request({
      method: 'GET',
      path: '/v1/watch',
      headers,
      signal,
    });
    if (res.statusCode !== 200) {
      throw new Error(
        `watch: status ${res.statusCode}: ${await res.body.text()}`,
      );
    }
    for await (const line of readLines(res.body)) {
      yield watchEvent.parse(JSON.parse(line));
    }
  } catch (err) {
    if (!signal.aborted) throw err;
  }
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

function encode(part: string): string {
  return encodeURIComponent(part);
}
