import {createClock, type Clock} from '@banyandrum/base/clock.js';
import {failureOf, type Failure} from '@banyandrum/base/failure.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {
  Body,
  RequestHandler,
  ServiceRequest,
} from '@banyandrum/base/request.js';
import {Ok} from '@banyandrum/base/result.js';
import {createPeerServer} from '@banyandrum/routers/peer-server.js';
import {
  createPeers,
  type ControlHandlers,
  type PeerServer,
  type PeerServerOptions,
  type Peers,
  type PeersOptions,
} from '@banyandrum/routers/peers.js';
import {z} from 'zod';

// A type, not an interface: only a type fits the kinds' index signature.
export type Kinds = {
  readonly add: {
    readonly ask: {readonly a: number; readonly b: number};
    readonly answer: {readonly sum: number};
  };
};

export const SCHEMAS = {
  add: {
    ask: z.object({a: z.number(), b: z.number()}),
    answer: z.object({sum: z.number()}),
  },
};

const HANDLERS: ControlHandlers<Kinds> = {
  add: (_, {a, b}) => Promise.resolve({sum: a + b}),
};

export const SELF = createName('asker', '127.0.0.1:1');

export function createName(host: string, address: string): Incarnation {
  return {host, address, boot: `${host}-1`, dataCentre: 'north'};
}

/** Answers with the request's own body. */
export const echo: RequestHandler = req =>
  Promise.resolve(Ok({status: 200, headers: [], body: req.body}));

export interface Pair {
  readonly server: PeerServer;
  readonly peers: Peers<Kinds>;
  readonly to: Incarnation;
  readonly clock: Clock;
  close(): Promise<void>;
}

/** A router that answers and one that asks, on a real connection. */
export async function createPair(
  options: {
    readonly handleRequest?: RequestHandler;
    readonly server?: Partial<PeerServerOptions<Kinds>>;
    readonly peers?: Partial<PeersOptions<Kinds>>;
    readonly clock?: Clock;
  } = {},
): Promise<Pair> {
  const {clock = createClock(), handleRequest = echo} = options;
  const log = createSilentLogger();
  const server: PeerServer = await createPeerServer<Kinds>({
    listen: '127.0.0.1:0',
    self: () => createName('answerer', server.address),
    handleRequest,
    handlers: HANDLERS,
    schemas: SCHEMAS,
    clock,
    log,
    ...options.server,
  });
  const peers = createPeers<Kinds>({
    self: () => SELF,
    schemas: SCHEMAS,
    clock,
    log,
    ...options.peers,
  });
  const to = createName('answerer', server.address);
  const close = async (): Promise<void> => {
    await peers.close();
    await server.close(0);
  };
  return {server, peers, to, clock, close};
}

export function createRequest(
  clock: Clock,
  fields: Partial<ServiceRequest> = {},
): ServiceRequest {
  return {
    id: 'r1',
    service: 'holds',
    key: 'ward-7',
    method: 'POST',
    path: '/beds?free=1',
    headers: [{name: 'accept', value: ''}],
    body: Buffer.from('hello'),
    deadline: clock.now() + 60_000,
    once: false,
    precedence: 0,
    caller: 'ward',
    signal: new AbortController().signal,
    ...fields,
  };
}

export async function readBody(body: Body): Promise<Buffer> {
  if (body instanceof Uint8Array) return Buffer.from(body);
  const pieces: Uint8Array[] = [];
  for await (const piece of body) pieces.push(piece);
  return Buffer.concat(pieces);
}

/** The text of the answer's body, or how the request failed. */
export async function outcome(
  peers: Peers<Kinds>,
  clock: Clock,
  to: Incarnation,
  fields: Partial<ServiceRequest> = {},
): Promise<string | Failure> {
  const answer = await peers.send(to, createRequest(clock, fields));
  if (answer.err) return answer.val;
  try {
    return (await readBody(answer.val.body)).toString();
  } catch (err) {
    return failureOf(err, 'not-run');
  }
}
