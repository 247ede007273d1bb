import type {ChannelCredentials} from '@grpc/grpc-js';
import grpc from '@grpc/grpc-js';
import type {Clock} from '@banyandrum/base/clock.js';
import {isSameIncarnation, type Incarnation} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import {createAskedControls, type AskedControls} from './asked-controls.js';
import {createAskedRequests, type AskedRequests} from './asked-requests.js';
import {receiveBatch, type FrameReceivers, type HelloFrame} from './frames.js';
import {createWatch} from './heartbeat.js';
import {WINDOW_BYTES, type Timing} from './limits.js';
import {toIncarnation} from './notes.js';
import type {ControlKinds, ControlSchemas, PeerError} from './peers.js';
import {createSender, LANES, type Sender} from './sender.js';
import {openWire, type Wire, type WireEnd} from './wire.js';

export type Trouble = 'silent' | 'ended';

/** One open stream to another router, from the asker's side. */
export interface Link<M extends ControlKinds> {
  readonly found: Incarnation;
  readonly requests: Pick<AskedRequests, 'send' | 'count'>;
  readonly controls: Pick<AskedControls<M>, 'ask'>;
  isOpen(): boolean;
  /** Resolves when it is silent or has ended, at once if it is so now. */
  trouble(): Promise<Trouble>;
  /** Whether nothing has been heard on it for `silentMs`. */
  isSilent(): boolean;
  /** Closes it once its requests have ended. */
  retire(): void;
  /** Closes it at once; what is under way ends with this detail. */
  cut(detail: string): void;
}

export interface LinkOptions<M extends ControlKinds> {
  readonly address: string;
  /** Null for a probe: whoever answers. */
  readonly expected: Incarnation | null;
  readonly self: () => Incarnation;
  readonly schemas: ControlSchemas<M>;
  readonly clock: Clock;
  readonly log: Logger;
  readonly credentials: ChannelCredentials;
  readonly timing: Timing;
  readonly maxBatchFrames?: number;
  /** Cuts it, whether open or opening. */
  readonly signal: AbortSignal;
}

/**
 * Opens a connection and a stream, and resolves once the other side has said
 * who it is. No request is written before, so an error here proves that
 * nothing was delivered.
 *
 * @example
 * ```ts
 * const link = await openLink({address, expected, self, ...});
 * if (link.ok) await link.val.requests.send(req);
 * ```
 */
export async function openLink<M extends ControlKinds>(
  options: LinkOptions<M>,
): Promise<Result<Link<M>, PeerError>> {
  try {
    return await greet(options);
  } catch (err) {
    // An address that cannot be parsed is thrown by the channel.
    return Err({kind: 'unreachable', detail: String(err)});
  }
}

function greet<M extends ControlKinds>(
  options: LinkOptions<M>,
): Promise<Result<Link<M>, PeerError>> {
  const {clock, credentials, log, signal, timing} = options;
  return new Promise(resolve => {
    let link: OpenLink<M> | null = null;
    const release = (): void => {
      stopTimer();
      signal.removeEventListener('abort', onAbort);
    };
    const refuse = (error: PeerError): void => {
      resolve(Err(error));
      release();
      sender.close();
      wire.close();
    };
    const onAbort = (): void => refuse({kind: 'unreachable', detail: CLOSED});
    const onHello = (hello: HelloFrame): void => {
      const found = toIncarnation(hello.self);
      if (isOther(options.expected, found)) return refuse(describeOther(found));
      release();
      link = createLink(options, found, hello.windowBytes, wire, sender);
      resolve(Ok(link));
    };
    const onMessage = (bytes: Buffer): void => {
      try {
        receiveBatch(bytes, link?.receivers ?? {hello: (_, h) => onHello(h)});
        link?.heard();
      } catch (err) {
        const detail = `bad message: ${String(err)}`;
        log.error('closed the stream', {address: options.address, detail});
        if (link === null) refuse({kind: 'invalid', detail});
        else link.cut(detail);
      }
    };
    const onEnd = (end: WireEnd): void => {
      if (link === null) return refuse(describeEnd(end));
      const {detail} = end;
      if (link.isOpen()) {
        log.warn('stream lost', {address: options.address, detail});
      }
      link.cut(`stream lost: ${detail}`);
    };
    const wire = openWire(options.address, credentials, {onMessage, onEnd});
    const sender = createSender({
      clock,
      write: wire.write,
      ...pickBatchFrames(options),
    });
    const stopTimer = clock.after(timing.openMs, () =>
      refuse({
        kind: wire.isConnected() ? 'silent' : 'unreachable',
        detail: `nobody answered within ${timing.openMs} ms`,
      }),
    );
    signal.addEventListener('abort', onAbort);
    sender.push(LANES.control, {id: 0, hello: toHello(options)});
  });
}

interface OpenLink<M extends ControlKinds> extends Link<M> {
  readonly receivers: FrameReceivers;
  heard(): void;
}

function createLink<M extends ControlKinds>(
  options: LinkOptions<M>,
  found: Incarnation,
  peerWindowBytes: number,
  wire: Wire,
  sender: Sender,
): OpenLink<M> {
  const {clock, schemas, signal, timing} = options;
  let onTrouble: (trouble: Trouble) => void = () => {};
  let open = true;
  let silent = false;
  let retired = false;

  const cut = (detail: string): void => {
    if (!open) return;
    open = false;
    watch.stop();
    sender.close();
    requests.end(detail);
    controls.end(detail);
    wire.close();
    signal.removeEventListener('abort', onAbort);
    onTrouble('ended');
  };
  const onAbort = (): void => cut(CLOSED);
  const closeIfIdle = (): void => {
    if (!retired || requests.count() + controls.count() > 0) return;
    cut('replaced by a new stream');
  };
  const requests = createAskedRequests({
    clock,
    sender,
    peerWindowBytes,
    onIdle: closeIfIdle,
  });
  const controls = createAskedControls({
    clock,
    sender,
    schemas,
    onIdle: closeIfIdle,
  });
  const watch = createWatch({
    ...timing,
    clock,
    onBeat: () =>
      sender.push(LANES.control, {id: 0, heartbeat: {reply: false}}),
    onSilent: () => {
      silent = true;
      onTrouble('silent');
    },
  });
  signal.addEventListener('abort', onAbort);
  return {
    found,
    requests,
    controls,
    receivers: {
      ...requests.receivers,
      ...controls.receivers,
      heartbeat: () => {},
    },
    heard() {
      silent = false;
      watch.heard();
    },
    isOpen: () => open,
    trouble() {
      if (!open) return Promise.resolve('ended');
      if (silent) return Promise.resolve('silent');
      return new Promise(resolve => (onTrouble = resolve));
    },
    isSilent: () => silent,
    retire() {
      retired = true;
      closeIfIdle();
    },
    cut,
  };
}

const CLOSED = 'closed here';

function pickBatchFrames<M extends ControlKinds>({
  maxBatchFrames,
}: LinkOptions<M>): {readonly maxBatchFrames?: number} {
  return maxBatchFrames === undefined ? {} : {maxBatchFrames};
}

function toHello<M extends ControlKinds>(options: LinkOptions<M>): HelloFrame {
  const {expected, self} = options;
  return {self: self(), expected, windowBytes: WINDOW_BYTES};
}

function isOther(expected: Incarnation | null, found: Incarnation): boolean {
  return expected !== null && !isSameIncarnation(expected, found);
}

function describeOther(found: Incarnation): PeerError {
  const detail = `run ${found.boot} of ${found.host} answers there`;
  return {kind: 'other-incarnation', detail, found};
}

/** A stream that ended before the other side said who it is. */
function describeEnd({code, detail}: WireEnd): PeerError {
  const noSuchService = code === grpc.status.UNIMPLEMENTED;
  return {kind: noSuchService ? 'invalid' : 'unreachable', detail};
}
