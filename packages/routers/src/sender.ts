import type {Clock} from '@banyandrum/base/clock.js';
import {encodeBatch, type Frame} from './frames.js';
import {createQueue} from './queue.js';

/**
 * What goes first when frames wait. Frames of one request keep their order,
 * because a head is in a lane above the chunks that follow it.
 */
export const LANES = {control: 0, heads: 1, chunks: 2} as const;
export type Lane = (typeof LANES)[keyof typeof LANES];

/** A frame handed to the sender. */
export interface Outgoing {
  readonly frame: Frame;
  /** Bytes of its body, for limits. */
  readonly bytes: number;
  /** Monotonic time; the time left is put into a request's head. */
  readonly deadline?: number;
  /**
   * `written` once it may have left this process; `dropped` is set by the
   * owner of a frame still queued, which proves that it never leaves.
   */
  state: 'queued' | 'written' | 'dropped';
}

export interface Sender {
  push(lane: Lane, frame: Frame, bytes?: number, deadline?: number): Outgoing;
  /**
   * Asks for room for a chunk of so many bytes, which is then pushed or
   * released: null where it has room now, else what to wait for. Room is
   * given in the order in which it was asked for, so bodies take turns.
   */
  reserve(bytes: number): Promise<void> | null;
  /** Gives back what was reserved and is not pushed. */
  release(bytes: number): void;
  /** Resolves when all that was pushed has been written, or it is closed. */
  flushed(): Promise<void>;
  /** Drops what is queued; nothing is written from now on. */
  close(): void;
}

export interface SenderOptions {
  readonly clock: Clock;
  /** Writes one message; calls `done` when the next may follow. */
  readonly write: (bytes: Buffer, done: () => void) => void;
  /** 1 turns batching off. */
  readonly maxBatchFrames?: number;
}

const MAX_BATCH_FRAMES = 256;
const MAX_BATCH_BYTES = 64 * 1024;
const FRAME_BYTES = 64;
/** Two: one on its way and one ready, so that control frames wait for few. */
const MAX_MESSAGES_UNDER_WAY = 2;
const MAX_QUEUED_CHUNK_BYTES = 128 * 1024;

/**
 * Collects frames and writes those that are ready in the same turn of the
 * event loop as one message: a gRPC message costs far more than a frame.
 *
 * @example
 * ```ts
 * const sender = createSender({clock, write});
 * sender.push(LANES.control, {id: 0, heartbeat: {reply: false}});
 * ```
 */
export function createSender(options: SenderOptions): Sender {
  const {clock, write} = options;
  const maxFrames = options.maxBatchFrames ?? MAX_BATCH_FRAMES;
  const queues = [
    createQueue<Outgoing>(),
    createQueue<Outgoing>(),
    createQueue<Outgoing>(),
  ] as const;
  let underWay = 0;
  let chunkBytes = 0;
  const waiting = createQueue<Reservation>();
  let scheduled = false;
  let closed = false;
  let flushWaiters: (() => void)[] = [];

  const isIdle = (): boolean =>
    closed || (underWay === 0 && queues.every(queue => queue.size() === 0));

  const schedule = (): void => {
    if (scheduled || underWay >= MAX_MESSAGES_UNDER_WAY) return;
    scheduled = true;
    setImmediate(flush);
  };

  const onWritten = (): void => {
    underWay--;
    if (queues.some(queue => queue.size() > 0)) flush();
    if (isIdle()) flushWaiters = wake(flushWaiters);
  };

  const takeBatch = (): Frame[] => {
    const frames: Frame[] = [];
    let bytes = 0;
    while (frames.length < maxFrames && bytes < MAX_BATCH_BYTES) {
      const out = queues[0].shift() ?? queues[1].shift() ?? queues[2].shift();
      if (out === null) break;
      if (out.frame.chunk) chunkBytes -= out.bytes;
      if (out.state === 'dropped') continue;
      markWritten(out, clock);
      frames.push(out.frame);
      bytes += out.bytes + FRAME_BYTES;
    }
    return frames;
  };

  const giveRoom = (): void => {
    while (closed || chunkBytes < MAX_QUEUED_CHUNK_BYTES) {
      const next = waiting.shift();
      if (next === null) return;
      chunkBytes += next.bytes;
      next.resolve();
    }
  };

  const flush = (): void => {
    scheduled = false;
    while (!closed && underWay < MAX_MESSAGES_UNDER_WAY) {
      const frames = takeBatch();
      if (frames.length === 0) break;
      underWay++;
      write(encodeBatch(frames), onWritten);
    }
    giveRoom();
    if (isIdle()) flushWaiters = wake(flushWaiters);
  };

  return {
    push(lane, frame, bytes = 0, deadline) {
      const out = createOutgoing(frame, bytes, deadline);
      if (closed) {
        out.state = 'dropped';
        return out;
      }
      queues[lane].push(out);
      schedule();
      return out;
    },
    reserve(bytes) {
      if (closed || chunkBytes < MAX_QUEUED_CHUNK_BYTES) {
        chunkBytes += bytes;
        return null;
      }
      return new Promise(resolve => waiting.push({bytes, resolve}));
    },
    release(bytes) {
      chunkBytes -= bytes;
      giveRoom();
    },
    flushed() {
      if (isIdle()) return Promise.resolve();
      return new Promise(resolve => flushWaiters.push(resolve));
    },
    close() {
      closed = true;
      for (const queue of queues) queue.clear();
      giveRoom();
      flushWaiters = wake(flushWaiters);
    },
  };
}

function createOutgoing(
  frame: Frame,
  bytes: number,
  deadline: number | undefined,
): Outgoing {
  if (deadline === undefined) return {frame, bytes, state: 'queued'};
  return {frame, bytes, deadline, state: 'queued'};
}

function markWritten(out: Outgoing, clock: Clock): void {
  out.state = 'written';
  if (out.deadline === undefined || !out.frame.requestHead) return;
  const remaining = out.deadline - clock.now();
  out.frame.requestHead.remainingMs = Math.max(0, remaining);
}

function wake(waiters: readonly (() => void)[]): (() => void)[] {
  for (const waiter of waiters) waiter();
  return [];
}

interface Reservation {
  readonly bytes: number;
  readonly resolve: () => void;
}
