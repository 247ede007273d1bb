import type {IncomingMessage} from 'node:http';
import {sleep} from '@banyandrum/base/clock.js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {LeaseOrder, ServerLoad} from '@banyandrum/servers/client.js';
import {LEASE_PATH, LOAD_PATH} from '@banyandrum/servers/headers.js';
import {leaseOrderSchema} from '@banyandrum/servers/schemas.js';
import {answerJson} from './server-answer.js';
import type {Exchange} from './server-answer.js';
import type {BeliefRecord} from './server-beliefs.js';
import {faultChangeSchema} from './server-faults.js';
import type {FaultChange, FaultSwitch} from './server-faults.js';
import type {ServerLeases} from './server-lease.js';
import type {ExecutionRecord} from './server-record.js';

export interface ControlParts {
  readonly clock: Clock;
  readonly leases: ServerLeases;
  readonly faults: FaultSwitch;
  readonly load: () => ServerLoad;
}

export interface HarnessParts {
  readonly record: ExecutionRecord;
  readonly beliefs: BeliefRecord;
  change(change: FaultChange): Promise<void>;
}

type Route<Parts> = (parts: Parts, exchange: Exchange) => Promise<void> | void;

const CONTROL: Readonly<Record<string, Route<ControlParts>>> = {
  [`POST ${LEASE_PATH}`]: takeOrder,
  [`GET ${LOAD_PATH}`]: ({load}, exchange) => {
    answerJson(exchange, 200, load());
  },
};

const HARNESS: Readonly<Record<string, Route<HarnessParts>>> = {
  'GET /standin/executions': ({record}, exchange) => {
    answerJson(exchange, 200, {executions: record.list()});
  },
  'GET /standin/beliefs': ({beliefs}, exchange) => {
    answerJson(exchange, 200, {beliefs: beliefs.list()});
  },
  'DELETE /standin/executions': ({record}, exchange) => {
    record.clear();
    answerJson(exchange, 200, {});
  },
  'POST /standin/faults': changeFaults,
};

/** The route of the protocol's control part, if the request is for one. */
export function controlRoute(
  req: IncomingMessage,
): Route<ControlParts> | undefined {
  return CONTROL[`${req.method} ${req.url}`];
}

/** The route for tests and tools, which works whatever faults are on. */
export function harnessRoute(
  req: IncomingMessage,
): Route<HarnessParts> | undefined {
  return HARNESS[`${req.method} ${req.url}`];
}

async function takeOrder(
  {clock, leases, faults}: ControlParts,
  exchange: Exchange,
): Promise<void> {
  const order = leaseOrderSchema.safeParse(await readJson(exchange.req));
  if (!order.success) {
    return answerJson(exchange, 400, {detail: order.error.message});
  }
  const {orders, orderDelayMs} = faults.current();
  if (orders === 'lost') return;
  if (orderDelayMs > 0) await sleep(clock, orderDelayMs);
  const result = leases.obey(order.data satisfies LeaseOrder);
  if (orders === 'unanswered') return;
  if (result.kind === 'ack') return answerJson(exchange, 200, result.ack);
  answerJson(exchange, 409, {fence: result.fence});
}

async function changeFaults(
  {change}: HarnessParts,
  exchange: Exchange,
): Promise<void> {
  const parsed = faultChangeSchema.safeParse(await readJson(exchange.req));
  if (!parsed.success) {
    return answerJson(exchange, 400, {detail: parsed.error.message});
  }
  answerJson(exchange, 200, {});
  await change(parsed.data as FaultChange);
}

async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of req as AsyncIterable<Uint8Array>) {
    chunks.push(chunk);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString());
  } catch {
    return undefined;
  }
}
