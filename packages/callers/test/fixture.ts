import {connect} from 'node:net';
import {once} from 'node:events';
import {ServiceBroker} from 'moleculer';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import type {
  RequestHandler,
  ServiceAnswer,
  ServiceRequest,
} from '@banyandrum/base/request.js';
import {Ok} from '@banyandrum/base/result.js';
import type {RequestPolicy} from '@banyandrum/callers/policy.js';
import type {CallersService} from '@banyandrum/callers/service.js';
import {createCallersService} from '@banyandrum/callers/service.js';
import type {ServerLimits} from '@banyandrum/callers/server.js';
import type {ManualClock} from '@banyandrum/standins/manual-clock.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

export interface Fixture {
  readonly callers: CallersService;
  readonly clock: ManualClock;
  readonly port: number;
  /** The requests that reached the handler. */
  readonly seen: readonly ServiceRequest[];
  close(): Promise<void>;
}

export const POLICY: RequestPolicy = {
  known: true,
  once: false,
  precedence: 1,
  deadlineMs: 2000,
  maxDeadlineMs: 5000,
  maxBodyBytes: 64 * 1024,
};

export const HELLO: ServiceAnswer = {
  status: 200,
  headers: [{name: 'content-type', value: 'text/plain'}],
  body: Buffer.from('hello'),
};

export async function startCallers(
  handle: RequestHandler = async () => Ok(HELLO),
  policy: Partial<RequestPolicy> = {},
  limits: Partial<ServerLimits> = {},
): Promise<Fixture> {
  const clock = createManualClock(1000);
  const seen: ServiceRequest[] = [];
  const callers = createCallersService({
    listen: {ip: '127.0.0.1', port: 0},
    handle: req => {
      seen.push(req);
      return handle(req);
    },
    policyOf: service => ({...POLICY, ...policy, known: service === 'holds'}),
    log: createSilentLogger(),
    clock,
    limits,
  });
  const broker = new ServiceBroker({logger: false});
  broker.createService(callers.schema);
  await broker.start();
  const close = async (): Promise<void> => {
    await finish(clock, broker.stop());
  };
  const port = Number(callers.address().split(':')[1]);
  return {callers, clock, port, seen, close};
}

/** Moves time on until the task has ended. */
export async function finish<T>(
  clock: ManualClock,
  task: Promise<T>,
): Promise<T> {
  let ended = false;
  const done = task.finally(() => {
    ended = true;
  });
  while (!ended) await clock.advance(100);
  return done;
}

/** What came back on a connection until it ended. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** Whether the body is whole by its length or its chunked coding. */
  readonly whole: boolean;
  readonly text: string;
}

/** Sends the bytes of a request and reads until the connection ends. */
export async function exchangeRaw(
  port: number,
  ...pieces: readonly (string | Buffer)[]
): Promise<RawAnswer> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  const chunks: Buffer[] = [];
  socket.on('data', chunk => chunks.push(chunk));
  for (const piece of pieces) socket.write(piece);
  await once(socket, 'close');
  return parseAnswer(Buffer.concat(chunks).toString('latin1'));
}

export function parseAnswer(text: string): RawAnswer {
  const split = text.indexOf('\r\n\r\n');
  const [first = '', ...lines] = text.slice(0, split).split('\r\n');
  const headers = new Map<string, string>();
  for (const line of lines) {
    const colon = line.indexOf(': ');
    headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 2));
  }
  const rest = text.slice(split + 4);
  const status = Number(first.split(' ')[1] ?? 0);
  return {status, headers, text, ...readBody(headers, rest)};
}

function readBody(
  headers: ReadonlyMap<string, string>,
  rest: string,
): {readonly body: string; readonly whole: boolean} {
  const length = headers.get('content-length');
  if (length !== undefined) {
    return {body: rest, whole: rest.length === Number(length)};
  }
  return {body: rest, whole: rest.endsWith('0\r\n\r\n')};
}
