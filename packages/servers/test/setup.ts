import {createClock} from '@banyandrum/base/clock.js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Body, ServiceRequest} from '@banyandrum/base/request.js';
import {EMPTY_BODY} from '@banyandrum/base/request.js';
import type {Dispatch, LeaseOrder} from '@banyandrum/servers/client.js';
import type {ServerStandin} from '@banyandrum/standins/server.js';

export const CELL = 'holds/0';
export const SHARD = '7';
export const FENCE = {epoch: 17, sequence: 3};
export const LONG_MS = 30_000;

const realClock = createClock();

/** Resolves once `isTrue` returns true; else the test times out. */
export async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise(resolve => setImmediate(resolve));
}

/** An order that grants `SHARD` for `LONG_MS`. */
export function orderFor(
  server: ServerStandin,
  change: Partial<LeaseOrder> = {},
): LeaseOrder {
  return {
    cell: CELL,
    fence: FENCE,
    ttlMs: LONG_MS,
    echo: server.stamp(),
    shards: [SHARD],
    ...change,
  };
}

/** A dispatch of a request that the server will run. */
export function dispatchTo(
  server: Pick<ServerStandin, 'stamp'>,
  req: Partial<ServiceRequest> = {},
  change: Partial<Dispatch> = {},
  clock: Clock = realClock,
): Dispatch {
  const stamp = server.stamp();
  return {
    req: requestWith(req, clock),
    cell: CELL,
    shard: SHARD,
    fence: FENCE,
    serverDeadline: {boot: stamp.boot, ms: stamp.ms + LONG_MS},
    serverStartBy: {boot: stamp.boot, ms: stamp.ms + LONG_MS},
    mayWrite: () => true,
    ...change,
  };
}

export function requestWith(
  change: Partial<ServiceRequest>,
  clock: Clock = realClock,
): ServiceRequest {
  return {
    id: 'r1',
    service: 'holds',
    key: 'ward-7',
    method: 'GET',
    path: '',
    headers: [],
    body: EMPTY_BODY,
    deadline: clock.now() + LONG_MS,
    once: false,
    precedence: 0,
    caller: 'desk',
    signal: new AbortController().signal,
    ...change,
  };
}

/** Reads the whole body; throws if it is truncated. */
export async function readAll(body: Body): Promise<Buffer> {
  if (body instanceof Uint8Array) return Buffer.from(body);
  const pieces: Uint8Array[] = [];
  for await (const piece of body) pieces.push(piece);
  return Buffer.concat(pieces);
}

/** A body of several chunks. */
export async function* inPieces(
  bytes: Uint8Array,
  size: number,
): AsyncGenerator<Uint8Array> {
  for (let at = 0; at < bytes.length; at += size) {
    yield bytes.subarray(at, at + size);
  }
}
