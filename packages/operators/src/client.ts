import {Pool} from 'undici';
import type {LogLevel} from '@banyandrum/base/logger.js';
import type {z} from 'zod';
import type {ClientResult} from './call.js';
import {send} from './call.js';
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
  explainMessage,
  historyMessage,
  logLevelRequest,
  publicationMessage,
  stateMessage,
  statusMessage,
  watchEvent,
} from './messages.js';
import {readLines} from './lines.js';
import {ACTION_MS, ALIVE_MS} from './timing.js';

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

const CONNECT_MS = 5000;
const REPLY_MARGIN_MS = 5000;
const MISSED_ALIVES = 3;

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

function encode(part: string): string {
  return encodeURIComponent(part);
}
