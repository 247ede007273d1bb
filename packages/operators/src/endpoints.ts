import type {IncomingMessage} from 'node:http';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {z} from 'zod';
import type {
  Operator,
  OperatorActions,
  OperatorResult,
  Role,
} from './actions.js';
import {readMessage} from './body.js';
import type {ChangeAccepted, ChangeUnknown} from './messages.js';
import {
  MAX_HISTORY,
  attestationRequest,
  drainRequest,
  logLevelRequest,
  publishRequest,
} from './messages.js';
import type {ApiError} from './problem.js';
import {ACTION_MS} from './timing.js';

/** A request behind its access check. */
export interface EndpointRequest {
  readonly req: IncomingMessage;
  readonly operator: Operator;
  /** Decoded parameters of the path and the query. */
  readonly params: Readonly<Record<string, unknown>>;
  readonly maxBodyBytes: number;
  readonly clock: Clock;
}

/** What a successful request is answered with. */
export interface EndpointReply {
  readonly status: number;
  readonly body: unknown;
}

/** One operation of the interface. */
export interface Endpoint {
  /** Method and path as moleculer-web's aliases have them. */
  readonly route: string;
  readonly role: Role;
  readonly run: (
    actions: OperatorActions,
    request: EndpointRequest,
  ) => Promise<Result<EndpointReply, ApiError>>;
}

const DEFAULT_HISTORY = 50;

export const ENDPOINTS: readonly Endpoint[] = [
  view('GET state', actions => actions.state()),
  view('GET publication', actions => actions.publication()),
  view('GET status', actions => actions.status()),
  view('GET changes/:changeId', (actions, params) =>
    actions.change(String(params['changeId'])),
  ),
  view('GET explain/:service/:key', (actions, params) =>
    actions.explain(String(params['service']), String(params['key'])),
  ),
  view('GET history', async (actions, params) => {
    const limit = readLimit(params['limit']);
    return limit.err ? limit : actions.history(limit.val);
  }),
  change('POST publications', publishRequest, (actions, who, message) =>
    actions.publish(who, message),
  ),
  change('POST drains', drainRequest, (actions, who, message) =>
    actions.drain(who, message),
  ),
  change('POST attestations', attestationRequest, (actions, who, message) =>
    actions.attest(who, message),
  ),
  command('PUT log-level', logLevelRequest, async (actions, who, message) => {
    const result = await actions.setLogLevel(who, message.level);
    return result.map(level => ({status: 200, body: {level}}));
  }),
];

function view<T>(
  route: string,
  ask: (
    actions: OperatorActions,
    params: EndpointRequest['params'],
  ) => Promise<Result<T, ApiError>>,
): Endpoint {
  return {
    route,
    role: 'viewer',
    run: async (actions, {params, clock}) => {
      const result = await inTime(clock, ask(actions, params), {
        kind: 'unavailable',
        detail: 'no answer in time',
      });
      return result.map(body => ({status: 200, body}));
    },
  };
}

/** A change that goes into the log, under the change id of its message. */
function change<M extends {readonly changeId: string}>(
  route: string,
  schema: z.ZodType<M>,
  apply: (
    actions: OperatorActions,
    operator: Operator,
    message: M,
  ) => OperatorResult<ChangeAccepted>,
): Endpoint {
  return command(route, schema, async (actions, operator, message, clock) => {
    const applying = orUnknown(() => apply(actions, operator, message));
    const late = unknownError('the log has not answered');
    const result = await inTime(clock, applying, late);
    if (result.ok) return Ok({status: 201, body: result.val});
    if (result.val.kind !== 'unknown') return result;
    const {changeId} = message;
    return Ok(unknownReply(changeId, result.val.detail));
  });
}

function unknownReply(changeId: string, detail: string): EndpointReply {
  const body: ChangeUnknown = {changeId, outcome: 'unknown', detail};
  return {status: 202, body};
}

function command<M>(
  route: string,
  schema: z.ZodType<M>,
  apply: (
    actions: OperatorActions,
    operator: Operator,
    message: M,
    clock: Clock,
  ) => Promise<Result<EndpointReply, ApiError>>,
): Endpoint {
  return {
    route,
    role: 'publisher',
    run: async (actions, {req, operator, maxBodyBytes, clock}) => {
      const message = await readMessage(req, schema, maxBodyBytes);
      if (message.err) return message;
      return apply(actions, operator, message.val, clock);
    },
  };
}

/** A change that throws may be in the log: it doesn't count as failed. */
async function orUnknown<T>(
  apply: () => OperatorResult<T>,
): Promise<Result<T, ApiError>> {
  try {
    return await apply();
  } catch (err) {
    return Err(unknownError(String(err)));
  }
}

function unknownError(cause: string): ApiError {
  const detail = `it may have been accepted; ask by its change id: ${cause}`;
  return {kind: 'unknown', detail};
}

function inTime<T>(
  clock: Clock,
  task: Promise<Result<T, ApiError>>,
  late: ApiError,
): Promise<Result<T, ApiError>> {
  return new Promise((resolve, reject) => {
    const cancel = clock.after(ACTION_MS, () => resolve(Err(late)));
    task.finally(cancel).then(resolve, reject);
  });
}

function readLimit(value: unknown): Result<number, ApiError> {
  if (value === undefined) return Ok(DEFAULT_HISTORY);
  const limit = /^[0-9]{1,6}$/.test(String(value)) ? Number(value) : 0;
  if (limit >= 1 && limit <= MAX_HISTORY) return Ok(limit);
  const detail = `limit must be a whole number from 1 to ${MAX_HISTORY}`;
  return Err({kind: 'bad-request', detail});
}
