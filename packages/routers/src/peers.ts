import type {Incarnation} from '@banyandrum/base/ids.js';
import type {
  RequestHandler,
  ServiceAnswer,
  ServiceRequest,
} from '@banyandrum/base/request.js';
import type {Failure} from '@banyandrum/base/failure.js';
import type {Result} from '@banyandrum/base/result.js';

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

export interface PeerServerOptions<M extends ControlKinds> {
  /** `ip:port`; port 0 takes a free one. */
  readonly listen: string;
  readonly self: () => Incarnation;
  readonly handleRequest: RequestHandler;
  readonly handlers: ControlHandlers<M>;
  readonly schemas: ControlSchemas<M>;
}

export interface PeerServer {
  /** The address that it listens on, `ip:port`. */
  readonly address: string;
  /** Refuses new requests, lets those in flight finish, then closes. */
  close(graceMs: number): Promise<void>;
}
