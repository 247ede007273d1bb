import {
  credentials,
  makeGenericClientConstructor,
  type Client,
  type ClientUnaryCall,
  type ServiceError,
} from '@grpc/grpc-js';
import type {CarryReply, CarryRequest} from './carry-messages.js';
import {
  LINK_SERVICE,
  MAX_LINK_MESSAGE_BYTES,
  type Offer,
  type OfferReply,
} from './link-messages.js';
import type {LinkStream} from './link-session.js';
import type {TermEndQuestion} from './term-end.js';

/** Calls to another router. */
export interface LinkStub extends Client {
  follow(): LinkStream;
  lead(offer: Offer, onReply: OnReply<OfferReply>): ClientUnaryCall;
  termEnd(
    question: TermEndQuestion,
    onReply: OnReply<unknown>,
  ): ClientUnaryCall;
  carry(req: CarryRequest, onReply: OnReply<CarryReply>): ClientUnaryCall;
}

type OnReply<T> = (err: ServiceError | null, reply?: T) => void;

const LinkClientConstructor = makeGenericClientConstructor(
  LINK_SERVICE,
  'Link',
);

/**
 * Creates a client of the router at `address` with a connection of its own.
 *
 * @example
 * ```ts
 * const stub = createStub('10.1.0.18:7520');
 * ```
 */
export function createStub(address: string): LinkStub {
  return new LinkClientConstructor(address, credentials.createInsecure(), {
    'grpc.use_local_subchannel_pool': 1,
    'grpc.enable_http_proxy': 0,
    'grpc.max_receive_message_length': MAX_LINK_MESSAGE_BYTES,
  }) as unknown as LinkStub;
}
