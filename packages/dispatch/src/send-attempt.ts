import type {CancelSignal} from '@banyandrum/base/cancel.js';
import type {Clock} from '@banyandrum/base/clock.js';
import {startAttempt, type AttemptResult} from './attempt.js';
import type {Backend} from './backend.js';
import type {CarriedAttempt, CarriedResult, Carriers} from './carriers.js';
import type {Connection} from './connections.js';
import type {Emit} from './events.js';
import {DEFAULT_SERVICE_MS} from './server-cost.js';
import {serverName} from './server-instance.js';
import type {ServerPaths} from './server-paths.js';
import type {WireNames} from './wire.js';

/** Dependencies of sending attempts. */
export interface SendConfig {
  readonly paths: ServerPaths;
  readonly carriers: Carriers;
  readonly names: WireNames;
  readonly clock: Clock;
  readonly emit: Emit;
}

/** What ends an attempt before its time limit. */
export interface AttemptSignals {
  /** Aborted when the request ends, also while a server works on it. */
  readonly signal: CancelSignal;
  /** Aborted when the request must not be sent any more. */
  readonly sendSignal: CancelSignal;
}

/**
 * Time to open a connection before a carrier is asked instead, in ms. Hosts in
 * the same region answer within a few ms.
 */
const CONNECT_BEFORE_CARRY_MS = 150;
/**
 * Without an answer for this many service times, or this time at the least, in
 * ms, it is checked whether the server can still be reached if no other server
 * has answered either.
 */
const SILENT_SERVICE_TIMES = 3;
const MIN_SILENCE_MS = 400;
/** After this multiple of that time it is checked in any case. */
const LONG_SILENCE_FACTOR = 2.5;

/**
 * Sends a request to the server on `connection`. If that can't be opened, or if
 * there is none, another router sends it.
 *
 * @example
 * ```ts
 * const result = await sendAttempt(cfg, backend, connection, spec, req);
 * ```
 */
export async function sendAttempt(
  cfg: SendConfig,
  backend: Backend,
  connection: Connection | null,
  spec: CarriedAttempt,
  signals: AttemptSignals,
): Promise<AttemptResult> {
  const startedAt = cfg.clock.now();
  if (connection === null) return carry(cfg, spec, signals, NO_WAY);
  const result = await sendDirectly(cfg, backend, connection, spec, signals);
  const isUnsent =
    result.kind === 'lost' && !result.isWritten && !signals.sendSignal.aborted;
  const leftMs = spec.withinMs - (cfg.clock.now() - startedAt);
  if (!isUnsent || leftMs <= 0 || !cfg.carriers.isAvailable()) return result;
  return carry(cfg, {...spec, withinMs: leftMs}, signals, result);
}

/** Sends a request to the server on an own connection, and releases that. */
export async function sendDirectly(
  cfg: SendConfig,
  backend: Backend,
  connection: Connection,
  spec: CarriedAttempt,
  {signal, sendSignal}: AttemptSignals,
): Promise<AttemptResult> {
  const {clock, names, paths, carriers} = cfg;
  const sentAt = clock.now();
  const attempt = startAttempt(connection, names, clock, {
    ...spec,
    headers: withAttemptHeaders(names, backend, spec),
    ...(carriers.isAvailable() && {connectWithinMs: CONNECT_BEFORE_CARRY_MS}),
  });
  const cancel = (): void => attempt.abort('cancelled');
  signal.addEventListener('abort', cancel);
  sendSignal.addEventListener('abort', attempt.abortUnwritten);
  const verify = async (): Promise<void> => {
    const isReached = await paths.verify(backend, sentAt);
    // One that can't be repeated waits on: its connection may still work.
    if (!isReached && spec.isRepeatable && carriers.isAvailable())
      attempt.abort('silent');
  };
  const shortMs = silenceMs(backend);
  let cancelWatch = clock.after(shortMs, () => {
    if (!paths.hasReachedSince(sentAt)) return void verify();
    const restMs = shortMs * (LONG_SILENCE_FACTOR - 1);
    cancelWatch = clock.after(restMs, () => void verify());
  });
  const result = await attempt.result;
  cancelWatch();
  signal.removeEventListener('abort', cancel);
  sendSignal.removeEventListener('abort', attempt.abortUnwritten);
  backend.connections.release(connection, result.kind === 'answered');
  if (result.kind === 'answered') paths.noteReached(backend.info.id);
  else if (result.reason === 'not-connected')
    paths.noteFailed(backend, sentAt, result.detail);
  return result;
}

function silenceMs({serviceMs}: Backend): number {
  const expectedMs = serviceMs || DEFAULT_SERVICE_MS;
  return Math.max(MIN_SILENCE_MS, expectedMs * SILENT_SERVICE_TIMES);
}

type Lost = AttemptResult & {readonly kind: 'lost'};

const NO_WAY: Lost = {
  ...{kind: 'lost', reason: 'no-way', isWritten: false},
  detail: 'the server can’t be reached, nor another router to ask',
  fields: new Map(),
};

/** The result of an attempt that another router was asked to send. */
const RESULTS: {
  readonly [K in CarriedResult['kind']]: (
    carried: Extract<CarriedResult, {kind: K}>,
    unsent: Lost,
  ) => AttemptResult;
} = {
  sent: ({result}) => result,
  unreachable: ({by}) => ({
    ...NO_WAY,
    reason: 'not-connected',
    detail: `neither this router nor ${by} can reach the server`,
  }),
  unavailable: (_, unsent) => unsent,
};

/** Lets another router send the request; returns `unsent` if none does. */
async function carry(
  {carriers, paths, clock, emit}: SendConfig,
  spec: CarriedAttempt,
  signals: AttemptSignals,
  unsent: Lost,
): Promise<AttemptResult> {
  const startedAt = clock.now();
  const carried = await carriers.send(spec, signals);
  const carrier = carried.kind === 'unavailable' ? null : carried.by;
  const result = RESULTS[carried.kind](carried as never, unsent);
  if (carried.kind === 'unreachable') paths.noteOtherView(spec.server, false);
  if (result.kind === 'answered') paths.noteOtherView(spec.server, true);
  emit('attempt-carried', {
    ...{id: spec.requestId, server: spec.server, carrier},
    outcome: result.kind === 'lost' ? result.reason : result.kind,
    tookMs: Math.round(clock.now() - startedAt),
  });
  return result;
}

function withAttemptHeaders(
  names: WireNames,
  {info}: Backend,
  {headers, withinMs}: CarriedAttempt,
): readonly string[] {
  return [
    ...headers,
    names.deadlineMs,
    String(Math.floor(withinMs)),
    names.expectedServer,
    serverName(info.id),
  ];
}
