import type {Clock} from '@banyandrum/base/clock.js';
import type {Dispatcher} from 'undici';
import {resetConnection, type Connection} from './connections.js';
import type {WireNames} from './wire.js';

/** One request to one server. */
export interface AttemptSpec {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  readonly requestId: string;
  /** The whole answer is due within this time, in ms. */
  readonly withinMs: number;
}

/** A server's whole answer. */
export interface Answer {
  readonly status: number;
  /** Names and values in turn, as the server spelled them. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** The same headers by name in lower case; the last of a name counts. */
  readonly fields: ReadonlyMap<string, string>;
}

/** Why there is no whole answer. */
export type LossReason =
  | 'not-connected'
  | 'connection-lost'
  | 'truncated'
  | 'mismatched'
  | 'timeout'
  | 'cancelled';

/** How an attempt ended. */
export type AttemptResult =
  | {readonly kind: 'answered'; readonly answer: Answer}
  | {
      readonly kind: 'lost';
      readonly reason: LossReason;
      /** Whether the server may have seen it. */
      readonly isWritten: boolean;
      readonly detail: string;
      /** Header fields received for this request before the loss, if any. */
      readonly fields: Answer['fields'];
    };

/** An attempt under way. */
export interface Attempt {
  readonly result: Promise<AttemptResult>;
  /** Drops the request and its connection; the end tells `reason`. */
  abort(reason: 'timeout' | 'cancelled'): void;
}

const NO_FIELDS: Answer['fields'] = new Map();

type Handler = Parameters<Dispatcher['dispatch']>[1];

/**
 * Writes one request on `connection` and gathers its answer. The connection
 * is good for another request only where the end is `answered`.
 *
 * @example
 * ```ts
 * const attempt = startAttempt(connection, names, clock, spec);
 * const end = await attempt.end;
 * ```
 */
export function startAttempt(
  connection: Connection,
  names: WireNames,
  clock: Clock,
  spec: AttemptSpec,
): Attempt {
  const chunks: Buffer[] = [];
  let size = 0;
  let status = 0;
  let rawHeaders: string[] = [];
  let fields = NO_FIELDS;
  let isWritten = false;
  let abortReason: LossReason | null = null;
  let abortDispatch: (() => void) | null = null;
  let settle: (result: AttemptResult) => void = () => undefined;
  const end = new Promise<AttemptResult>(resolve => {
    settle = resolve;
  });
  const settleLost = (reason: LossReason, detail: string): void => {
    cancelTimer();
    settle({kind: 'lost', reason, isWritten, detail, fields});
  };
  const abort = (reason: LossReason): void => {
    if (abortReason !== null) return;
    abortReason = reason;
    if (abortDispatch !== null) {
      resetConnection(connection);
      return abortDispatch();
    }
    // Still connecting: `onConnect` will see that nothing must be written.
    settleLost(reason, 'given up before it was written');
  };
  const cancelTimer = clock.after(spec.withinMs, () => abort('timeout'));

  const handler: Handler = {
    onConnect(abortRequest) {
      abortDispatch = abortRequest;
      if (abortReason !== null) return abortRequest();
      // The client writes a request again after some losses, which could run
      // it twice; the first one's outcome stays open instead.
      if (isWritten) return abort('connection-lost');
      isWritten = true;
    },
    onHeaders(code, raw) {
      if (code < 200) return true;
      status = code;
      rawHeaders = raw.map(String);
      fields = toFieldMap(rawHeaders);
      const id = fields.get(names.requestId);
      // A late or doubled answer of an earlier request: all that follows on
      // this connection belongs to nobody known.
      if (id !== undefined && id !== spec.requestId) {
        fields = NO_FIELDS;
        abort('mismatched');
      }
      return true;
    },
    onData(chunk) {
      chunks.push(chunk);
      size += chunk.length;
      return true;
    },
    onComplete() {
      if (abortReason !== null) return settleLost(abortReason, 'given up');
      if (!isComplete(spec.method, status, fields, size, connection)) {
        return settleLost('truncated', 'the answer was cut');
      }
      cancelTimer();
      connection.lastAnswerAt = clock.now();
      const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      const answer = {status, headers: rawHeaders, body, fields};
      settle({kind: 'answered', answer});
    },
    onError(err) {
      const reason = abortReason ?? lossReason(isWritten, status);
      settleLost(reason, err.message);
    },
  };
  connection.client.dispatch(
    {
      method: spec.method as Dispatcher.HttpMethod,
      path: spec.path,
      headers: spec.headers as string[],
      body: spec.body,
    },
    handler,
  );
  return {result: end, abort: abort};
}

/** Whether a server's answer says where it came to its end, and did. */
function isComplete(
  method: string,
  status: number,
  fields: ReadonlyMap<string, string>,
  size: number,
  {socketState: socketEnd}: Connection,
): boolean {
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  const length = fields.get('content-length');
  if (length !== undefined) return Number(length) === size;
  // A body that ends with its connection looks whole wherever it is cut: what
  // broke off arrived with the same end of the connection as what was whole.
  return fields.has('transfer-encoding') && socketEnd === 'open';
}

function lossReason(isWritten: boolean, status: number): LossReason {
  if (!isWritten) return 'not-connected';
  return status === 0 ? 'connection-lost' : 'truncated';
}

function toFieldMap(raw: readonly string[]): ReadonlyMap<string, string> {
  const fields = new Map<string, string>();
  for (let at = 0; at + 1 < raw.length; at += 2) {
    fields.set(raw[at]!.toLowerCase(), raw[at + 1]!);
  }
  return fields;
}
