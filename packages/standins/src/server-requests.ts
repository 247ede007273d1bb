import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import type {Stamp} from '@banyandrum/servers/client.js';
import {answerJson, refuse} from './server-answer.js';
import type {Exchange} from './server-answer.js';
import type {FaultSwitch} from './server-faults.js';
import {parseHead} from './server-head.js';
import type {RequestHead} from './server-head.js';
import type {ServerLeases, Tenure} from './server-lease.js';
import type {ExecutionRecord} from './server-record.js';
import type {ServerSlots} from './server-slots.js';
import type {ServerState} from './server-work.js';
import {workOf} from './server-work.js';

/** What one run of a server serves requests with. */
export interface RequestParts {
  readonly service: string;
  readonly clock: Clock;
  /** The rate of the server's own clock against `clock`. */
  readonly clockRate: number;
  readonly stamp: () => Stamp;
  readonly leases: ServerLeases;
  readonly slots: ServerSlots;
  readonly record: ExecutionRecord;
  readonly faults: FaultSwitch;
  readonly state: ServerState;
  /** Draws the next service time, in ms. */
  readonly serviceMs: () => number;
}

const SHED_RETRY_MS = 50;
const MAX_BODY_BYTES = 16 * 1024 * 1024;

interface Refusal {
  readonly status: number;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/**
 * Serves one request: refuses it, or runs it in a slot.
 *
 * @example
 * ```ts
 * const server = createServer((req, res) => {
 *   void serveRequest(parts, {req, res});
 * });
 * ```
 */
export async function serveRequest(
  parts: RequestParts,
  exchange: Exchange,
): Promise<void> {
  const head = parseHead(exchange.req);
  if (head === null) return refuse(exchange, 400, 'malformed head');
  const early = isLate(parts, head.startBy)
    ? {status: 408, detail: 'arrived too late'}
    : refusalOf(parts, head);
  if (early) return refuseWith(exchange, early);
  const entry = await parts.slots.enter(() => closedSignal(exchange.res));
  if (entry === 'closed') return;
  if (entry === 'shed') {
    return refuse(exchange, 503, 'all slots taken', SHED_RETRY_MS);
  }
  try {
    // The lease or the deadline may have ended while it waited.
    const late = refusalOf(parts, head);
    if (late) return refuseWith(exchange, late);
    await execute(parts, exchange, head);
  } finally {
    parts.slots.leave();
  }
}

function refusalOf(parts: RequestParts, head: RequestHead): Refusal | null {
  if (isLate(parts, head.deadline)) {
    return {status: 408, detail: 'deadline passed'};
  }
  if (
    head.service !== parts.service ||
    !parts.leases.holds(head.cell, head.shard, head.fence)
  ) {
    return {status: 421, detail: 'not the owner'};
  }
  if (!parts.faults.current().refuse) return null;
  return {status: 503, detail: 'refusing', retryAfterMs: SHED_RETRY_MS};
}

function isLate(parts: RequestParts, limit: Stamp): boolean {
  const now = parts.stamp();
  return limit.boot !== now.boot || now.ms >= limit.ms;
}

function refuseWith(exchange: Exchange, refusal: Refusal): void {
  refuse(exchange, refusal.status, refusal.detail, refusal.retryAfterMs);
}

async function execute(
  parts: RequestParts,
  exchange: Exchange,
  head: RequestHead,
): Promise<void> {
  const end = parts.record.start(startOf(head));
  const stopper = new AbortController();
  const stop = (): void => stopper.abort();
  const {cell, shard, key} = head;
  const tenure = parts.leases.begin({cell, shard, key, stop});
  const leftMs = (head.deadline.ms - parts.stamp().ms) / parts.clockRate;
  const cancel = parts.clock.after(leftMs, stop);
  const unwatch = watchTenure(parts, tenure, stop);
  try {
    end(await run(parts, exchange, head, {tenure, signal: stopper.signal}));
  } catch {
    end('stopped');
    exchange.res.destroy();
  } finally {
    cancel();
    unwatch();
  }
}

/** Stops the run at the end of the lease. */
function watchTenure(
  {clock, clockRate}: RequestParts,
  tenure: Tenure,
  stop: () => void,
): () => void {
  let cancel = (): void => {};
  const check = (): void => {
    const leftMs = tenure.leftMs();
    if (leftMs <= 0) stop();
    else if (leftMs < Infinity) cancel = clock.after(leftMs / clockRate, check);
  };
  check();
  return () => {
    cancel();
    tenure.end();
  };
}

interface RunLimits {
  readonly tenure: Tenure;
  /** Aborted at the deadline, and when the server loses the shard. */
  readonly signal: AbortSignal;
}

async function run(
  parts: RequestParts,
  exchange: Exchange,
  head: RequestHead,
  {tenure, signal}: RunLimits,
): Promise<'done' | 'stopped'> {
  const {run, needsBody} = workOf(head);
  const body = needsBody ? await readBody(exchange.req, signal) : EMPTY;
  const ms = parts.serviceMs();
  if (ms > 0) await sleep(parts.clock, ms, signal);
  if (parts.faults.current().frozen) await parts.faults.thawed();
  if (tenure.leftMs() <= 0) throw new Error('the shard was lost');
  // Asked of the clock, not of the timer: after a pause the timer may be
  // late, and the work would take effect beside the next owner's.
  if (parts.stamp().ms >= head.deadline.ms) {
    answerJson(exchange, 504, {detail: 'stopped at the deadline'});
    return 'stopped';
  }
  const {state, faults} = parts;
  await run({exchange, head, body, state, faults, signal});
  return 'done';
}

const EMPTY = new Uint8Array(0);

/** The whole body; throws where it is cut, too long or late. */
async function readBody(
  req: IncomingMessage,
  signal: AbortSignal,
): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  const stop = (): void => void req.destroy();
  signal.addEventListener('abort', stop, {once: true});
  try {
    for await (const chunk of req as AsyncIterable<Uint8Array>) {
      length += chunk.byteLength;
      if (length > MAX_BODY_BYTES) throw new Error('body too long');
      chunks.push(chunk);
    }
  } finally {
    signal.removeEventListener('abort', stop);
  }
  return Buffer.concat(chunks);
}

function startOf(head: RequestHead): Parameters<ExecutionRecord['start']>[0] {
  const {requestId, method, key, shard, cell, fence, once} = head;
  return {requestId, method, key, shard, cell, fence, once};
}

/** Aborted when the connection closes before the answer is through. */
function closedSignal(res: ServerResponse): AbortSignal {
  const closed = new AbortController();
  res.once('close', () => {
    if (!res.writableFinished) closed.abort();
  });
  return closed.signal;
}
