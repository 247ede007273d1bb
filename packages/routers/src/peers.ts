import {setMaxListeners} from 'node:events';
import grpc, {
  type ChannelCredentials,
  type ServerCredentials,
} from '@grpc/grpc-js';
import {createClock, type Clock} from '@banyandrum/base/clock.js';
import {failure, type Failure} from '@banyandrum/base/failure.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {createLogger, type Logger} from '@banyandrum/base/logger.js';
import type {
  RequestHandler,
  ServiceAnswer,
  ServiceRequest,
} from '@banyandrum/base/request.js';
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import {refuse} from './asked-requests.js';
import {DEFAULT_TIMING, RETRY_AFTER_MS, type Timing} from './limits.js';
import {openLink, type LinkOptions} from './link.js';
import {createPeer, withinTime, type Peer} from './peer.js';

/** One kind of control message: what is asked and what is answered. */
export interface ControlKind {
  readonly ask: unknown;
  readonly answer: unknown;
}

/** All kinds of control messages, by name. */
export type ControlKinds = Readonly<Record<string, ControlKind>>;

/** Handlers of control messages, one for each kind. */
export type ControlHandlers<M extends ControlKinds> = {
  readonly [K in keyof M]: (
    from: Incarnation,
    ask: M[K]['ask'],
  ) => Promise<M[K]['answer']>;
};

/** Checks of what arrives, one pair for each kind; they throw on bad data. */
export type ControlSchemas<M extends ControlKinds> = {
  readonly [K in keyof M]: {
    readonly ask: {parse(data: unknown): M[K]['ask']};
    readonly answer: {parse(data: unknown): M[K]['answer']};
  };
};

/**
 * - `unreachable`: proved not delivered.
 * - `silent`: written, no answer in time; it may have been acted on.
 * - `other-incarnation`: another run of the process answers there, which
 *   proves that the one asked for is gone; `found` names it.
 * - `invalid`: the peer refused or answered nonsense.
 */
export type PeerErrorKind =
  'unreachable' | 'silent' | 'other-incarnation' | 'invalid';

export interface PeerError {
  readonly kind: PeerErrorKind;
  readonly detail: string;
  readonly found?: Incarnation;
}

/** The way to the other routers: one stream to each that is talked to. */
export interface Peers<M extends ControlKinds> {
  /** Carries a caller's request to another router. */
  send(
    to: Incarnation,
    req: ServiceRequest,
  ): Promise<Result<ServiceAnswer, Failure>>;
  /** Asks a control question, ahead of the requests' bytes. */
  ask<K extends keyof M & string>(
    to: Incarnation,
    kind: K,
    ask: M[K]['ask'],
    timeoutMs: number,
  ): Promise<Result<M[K]['answer'], PeerError>>;
  /** Opens a new connection and asks who answers there. */
  probe(
    address: string,
    timeoutMs: number,
  ): Promise<Result<Incarnation, PeerError>>;
  close(): Promise<void>;
}

export interface PeersOptions<M extends ControlKinds> {
  readonly self: () => Incarnation;
  readonly schemas: ControlSchemas<M>;
  /** The process's clock by default. */
  readonly clock?: Clock;
  readonly log?: Logger;
  /** Insecure by default. */
  readonly credentials?: ChannelCredentials;
  readonly timing?: Partial<Timing>;
  /** Frames in one message; 1 turns batching off. */
  readonly maxBatchFrames?: number;
}

export interface PeerServerOptions<M extends ControlKinds> {
  /** `ip:port`; port 0 takes a free one. */
  readonly listen: string;
  readonly self: () => Incarnation;
  readonly handleRequest: RequestHandler;
  readonly handlers: ControlHandlers<M>;
  readonly schemas: ControlSchemas<M>;
  /** The process's clock by default. */
  readonly clock?: Clock;
  readonly log?: Logger;
  /** Insecure by default. */
  readonly credentials?: ServerCredentials;
  readonly timing?: Partial<Timing>;
  readonly limits?: Partial<ServerLimits>;
  /** Frames in one message; 1 turns batching off. */
  readonly maxBatchFrames?: number;
}

/** What a router takes from the others at most. */
export interface ServerLimits {
  /** Streams open at one time. */
  readonly streams: number;
  /** Requests in flight on one stream; more are refused as `overloaded`. */
  readonly requestsPerStream: number;
}

export interface PeerServer {
  /** The address that it listens on, `ip:port`. */
  readonly address: string;
  /** Refuses new requests, lets those in flight finish, then closes. */
  close(graceMs: number): Promise<void>;
}

/**
 * Makes the way to the other routers. Nothing is opened before first use.
 *
 * - A request that was not written ends `not-run` with `connection-lost`.
 * - One that was written ends `may-have-run` when its stream is lost, or
 *   `ran` with `truncated` thrown by its body when the answer had begun.
 *
 * @example
 * ```ts
 * const peers = createPeers({self, schemas});
 * const answer = await peers.send(leader, req);
 * ```
 */
export function createPeers<M extends ControlKinds>(
  options: PeersOptions<M>,
): Peers<M> {
  const {clock = createClock()} = options;
  const table = new Map<string, Peer<M>>();
  const end = new AbortController();
  // Each stream listens to it, and there is no limit to their number.
  setMaxListeners(0, end.signal);
  const openings = toLinkOptions(options, clock, end.signal);
  const {timing, log} = openings;

  const peerOf = (to: Incarnation): Peer<M> => {
    const name = `${to.host} ${to.boot} ${to.address}`;
    const known = table.get(name);
    if (known !== undefined) return known;
    const {address} = to;
    const peer = createPeer<M>({
      to,
      clock,
      log,
      timing,
      signal: end.signal,
      open: () => openLink({...openings, address, expected: to}),
    });
    table.set(name, peer);
    return peer;
  };

  return {
    async send(to, req) {
      const link = peerOf(to).link();
      if (!(link instanceof Promise)) return link.requests.send(req);
      const ms = req.deadline - clock.now();
      const opened = await withinTime(link, clock, ms, req.signal);
      if (opened.ok) return opened.val.requests.send(req);
      return Err(refuse(req, clock) ?? toSendFailure(opened.val));
    },
    async ask(to, kind, ask, timeoutMs) {
      const link = peerOf(to).link();
      if (!(link instanceof Promise)) {
        return link.controls.ask(kind, ask, timeoutMs);
      }
      const start = clock.now();
      const opened = await withinTime(link, clock, timeoutMs);
      if (opened.err) return Err(toAskError(opened.val));
      const left = timeoutMs - (clock.now() - start);
      return opened.val.controls.ask(kind, ask, left);
    },
    async probe(address, timeoutMs) {
      const opened = await openLink({
        ...openings,
        address,
        expected: null,
        timing: {...timing, openMs: timeoutMs},
      });
      if (opened.err) return opened;
      opened.val.cut('probe done');
      return Ok(opened.val.found);
    },
    close() {
      end.abort();
      return Promise.resolve();
    },
  };
}

type CommonLinkOptions<M extends ControlKinds> = Omit<
  LinkOptions<M>,
  'address' | 'expected'
>;

function toLinkOptions<M extends ControlKinds>(
  options: PeersOptions<M>,
  clock: Clock,
  signal: AbortSignal,
): CommonLinkOptions<M> {
  const {self, schemas, maxBatchFrames} = options;
  return {
    self,
    schemas,
    clock,
    signal,
    log: options.log ?? createLogger('routers'),
    credentials: options.credentials ?? grpc.credentials.createInsecure(),
    timing: {...DEFAULT_TIMING, ...options.timing},
    ...(maxBatchFrames === undefined ? {} : {maxBatchFrames}),
  };
}

function toSendFailure({kind, detail}: PeerError): Failure {
  const why = `${kind}: ${detail}`;
  return failure('not-run', 'connection-lost', why, RETRY_AFTER_MS);
}

/** The question itself was not written yet, whatever the opening met. */
function toAskError(error: PeerError): PeerError {
  return error.kind === 'silent' ? {...error, kind: 'unreachable'} : error;
}
