import grpc from '@grpc/grpc-js';
import {MAX_MESSAGE_BYTES} from './limits.js';

/** How a stream ended. */
export interface WireEnd {
  /** gRPC status code. */
  readonly code: number;
  readonly detail: string;
}

/** One gRPC stream, seen from either side. */
export interface Wire {
  /** Writes one message; `done` is called when it has left the buffer. */
  write(bytes: Buffer, done: () => void): void;
  /** Whether the connection itself stands. */
  isConnected(): boolean;
  /** Ends the stream; with a reason as an error. */
  close(reason?: WireEnd): void;
}

export interface WireListener {
  readonly onMessage: (bytes: Buffer) => void;
  /** Called once, also after `close`. */
  readonly onEnd: (end: WireEnd) => void;
}

export type ServerCall = grpc.ServerDuplexStream<Buffer, Buffer>;

const PATH = '/banyandrum.routers.Peer/Talk';
const same = (bytes: Buffer): Buffer => bytes;

/** The service; messages pass as bytes, decoded by the stream's owner. */
export const PEER_SERVICE: grpc.ServiceDefinition = {
  talk: {
    path: PATH,
    requestStream: true,
    responseStream: true,
    requestSerialize: same,
    requestDeserialize: same,
    responseSerialize: same,
    responseDeserialize: same,
  },
};

const FLOW_CONTROL_BYTES = 4 * 1024 * 1024;
const KEEPALIVE_MS = 10_000;
const KEEPALIVE_TIMEOUT_MS = 5_000;

/**
 * Options of both sides. The keepalive only clears away the remains of a
 * dead connection; silence is told by the heartbeats of the stream.
 */
export const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  'grpc-node.flow_control_window': FLOW_CONTROL_BYTES,
  'grpc.keepalive_time_ms': KEEPALIVE_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
};

const CLIENT_OPTIONS: grpc.ChannelOptions = {
  ...CHANNEL_OPTIONS,
  // Without its own pool a new channel would share the broken connection.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
};

/** Opens a stream on a connection of its own. */
export function openWire(
  address: string,
  credentials: grpc.ChannelCredentials,
  listener: WireListener,
): Wire {
  const client = new grpc.Client(address, credentials, CLIENT_OPTIONS);
  const call = client.makeBidiStreamRequest(PATH, same, same);
  let ended = false;
  const end = (reason: WireEnd): void => {
    if (ended) return;
    ended = true;
    client.close();
    listener.onEnd(reason);
  };
  call.on('data', (bytes: Buffer) => {
    if (!ended) listener.onMessage(bytes);
  });
  // The status follows and says the same; unheard, the error would be thrown.
  call.on('error', () => {});
  call.on('status', status => end({code: status.code, detail: status.details}));
  return {
    write(bytes, done) {
      if (!ended) call.write(bytes, done);
    },
    isConnected: () => isReady(client),
    close(reason) {
      call.cancel();
      end(reason ?? {code: grpc.status.CANCELLED, detail: 'closed here'});
    },
  };
}

/** Takes a stream that another router opened. */
export function acceptWire(call: ServerCall, listener: WireListener): Wire {
  let ended = false;
  const end = (reason: WireEnd): void => {
    if (ended) return;
    ended = true;
    listener.onEnd(reason);
  };
  const lost = (detail: string) => (): void =>
    end({code: grpc.status.CANCELLED, detail});
  call.on('data', (bytes: Buffer) => {
    if (!ended) listener.onMessage(bytes);
  });
  call.on('cancelled', lost('cancelled, or a message too long'));
  call.on('error', (err: Error) =>
    end({code: grpc.status.UNKNOWN, detail: err.message}),
  );
  call.on('close', lost('connection closed'));
  call.on('end', () => {
    call.end();
    end({code: grpc.status.OK, detail: 'ended by the other side'});
  });
  return {
    write(bytes, done) {
      if (!ended) call.write(bytes, done);
    },
    isConnected: () => !ended,
    close(reason) {
      if (ended) return;
      end(reason ?? {code: grpc.status.OK, detail: 'closed here'});
      if (reason === undefined) call.end();
      else call.emit('error', {code: reason.code, details: reason.detail});
    },
  };
}

function isReady(client: grpc.Client): boolean {
  const state = client.getChannel().getConnectivityState(false);
  return state === grpc.connectivityState.READY;
}
