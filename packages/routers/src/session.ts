import grpc from '@grpc/grpc-js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Logger} from '@banyandrum/base/logger.js';
import {receiveBatch, type FrameReceivers, type HelloFrame} from './frames.js';
import {createWatch} from './heartbeat.js';
import {WINDOW_BYTES, type Timing} from './limits.js';
import {toIncarnation} from './notes.js';
import type {ControlKinds, PeerServerOptions} from './peers.js';
import {createSender, LANES} from './sender.js';
import {createServedControls} from './served-controls.js';
import {createServedRequests, type ServedRequests} from './served-requests.js';
import {acceptWire, type ServerCall, type WireEnd} from './wire.js';

/** One stream from another router, from the answering side. */
export interface Session {
  /** Requests in flight. */
  count(): number;
  /** Ends it once what was answered has been written. */
  finish(): Promise<void>;
  /** Ends it at once; its requests are given up. */
  cut(reason: string): void;
}

export interface SessionOptions<M extends ControlKinds> {
  readonly call: ServerCall;
  readonly server: PeerServerOptions<M>;
  readonly clock: Clock;
  readonly log: Logger;
  readonly timing: Timing;
  readonly maxRequests: number;
  readonly isStopping: () => boolean;
  readonly onIdle: () => void;
  readonly onEnd: (session: Session) => void;
}

/**
 * An asker that has been silent for this many times its own limit is gone:
 * it has long since moved to another stream.
 */
const SILENT_TERMS = 4;

/** Serves one stream until it ends. */
export function startSession<M extends ControlKinds>(
  options: SessionOptions<M>,
): Session {
  const {call, server, clock, log, timing} = options;
  let open = true;
  let requests: ServedRequests | null = null;
  let receivers: FrameReceivers = {hello: (_, hello) => onHello(hello)};

  const end = (reason?: WireEnd): void => {
    if (!open) return;
    open = false;
    watch.stop();
    sender.close();
    requests?.end();
    wire.close(reason);
    options.onEnd(session);
  };

  const cut = (detail: string): void =>
    end({code: grpc.status.ABORTED, detail});

  const onHello = (hello: HelloFrame): void => {
    const from = toIncarnation(hello.self);
    const self = server.self();
    const answer = {self, windowBytes: WINDOW_BYTES};
    sender.push(LANES.control, {id: 0, hello: answer});
    if (hello.expected && hello.expected.boot !== self.boot) {
      receivers = {};
      void session.finish();
      return;
    }
    requests = createServedRequests({
      ...options,
      sender,
      handleRequest: server.handleRequest,
      peerWindowBytes: hello.windowBytes,
    });
    receivers = {
      ...requests.receivers,
      ...createServedControls({...server, from, sender}),
      heartbeat: () =>
        sender.push(LANES.control, {id: 0, heartbeat: {reply: true}}),
    };
  };

  const onMessage = (bytes: Buffer): void => {
    watch.heard();
    try {
      receiveBatch(bytes, receivers);
    } catch (err) {
      const detail = `bad message: ${String(err)}`;
      log.error('closed a stream', {peer: call.getPeer(), detail});
      end({code: grpc.status.INVALID_ARGUMENT, detail});
    }
  };

  const onWireEnd = ({detail}: WireEnd): void => {
    if (open) log.debug('stream ended', {peer: call.getPeer(), detail});
    cut(detail);
  };

  const wire = acceptWire(call, {onMessage, onEnd: onWireEnd});
  const {maxBatchFrames} = server;
  const sender = createSender({
    clock,
    write: wire.write,
    ...(maxBatchFrames === undefined ? {} : {maxBatchFrames}),
  });
  const watch = createWatch({
    clock,
    heartbeatMs: timing.heartbeatMs,
    silentMs: timing.silentMs * SILENT_TERMS,
    onBeat: () => {},
    onSilent: () => {
      log.warn('closed a silent stream', {peer: call.getPeer()});
      cut('silent');
    },
  });
  const session: Session = {
    count: () => requests?.count() ?? 0,
    async finish() {
      await sender.flushed();
      end();
    },
    cut,
  };
  return session;
}
