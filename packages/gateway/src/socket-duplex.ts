import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';

/** A stream over a socket, with what the HTTP server uses of one beside. */
export interface SocketDuplex extends Duplex {
  readonly remoteAddress: string | undefined;
  setTimeout(ms: number): unknown;
  /** Closes the stream once all is written and the other side has read it. */
  destroySoon(): void;
  /** Whether all is written, and only the other side's close is awaited. */
  isLingering(): boolean;
}

/** What becomes of the socket's bytes. */
export interface SocketDuplexHandlers {
  /** The reader wants bytes: some are to be pushed, now or later. */
  onWanted(): void;
  onDestroyed(): void;
}

/**
 * How long a written stream waits for the other side to close, in ms. A socket
 * that is closed at once answers what arrives later by a reset, and the other side
 * loses what it had not read.
 */
const LINGER_MS = 5_000;

interface Part {
  readonly chunk: Buffer | string;
  readonly encoding: BufferEncoding;
}

type WriteDone = (err?: Error | null) => void;

/**
 * Creates a stream that writes to the socket, and ends with it. What is read from
 * it is left to the handlers.
 *
 * @example
 * ```ts
 * const stream = createSocketDuplex(socket, {onWanted, onDestroyed});
 * socket.on('data', chunk => stream.push(chunk));
 * ```
 */
export function createSocketDuplex(
  socket: Socket,
  handlers: SocketDuplexHandlers,
): SocketDuplex {
  const stream = new Duplex({
    // Nothing is to be buffered here: the handlers decide what is parsed.
    readableHighWaterMark: 1,
    decodeStrings: false,
    read: handlers.onWanted,
    write(chunk: Buffer | string, encoding, done) {
      writeThrough(socket, [{chunk, encoding}], done);
    },
    writev(chunks, done) {
      writeThrough(socket, chunks, done);
    },
    final(done) {
      socket.end(done);
    },
    destroy(err, done) {
      handlers.onDestroyed();
      socket.destroy();
      done(err);
    },
  });
  socket.on('error', err => stream.destroy(err));
  socket.on('close', () => stream.destroy());
  socket.on('timeout', () => stream.emit('timeout'));
  let isLingering = false;
  const linger = (): void => {
    if (stream.destroyed) return;
    isLingering = true;
    const timer = setTimeout(() => stream.destroy(), LINGER_MS);
    stream.once('close', () => clearTimeout(timer));
    socket.resume();
  };
  return Object.assign(stream, {
    remoteAddress: socket.remoteAddress,
    setTimeout: (ms: number) => socket.setTimeout(ms),
    destroySoon() {
      if (stream.writable) stream.end();
      if (stream.writableFinished) linger();
      else stream.once('finish', linger);
    },
    isLingering: () => isLingering && !stream.destroyed,
  });
}

/**
 * Closes a caller's connection once all is written and the caller has read it; at
 * once if it can't wait for that.
 *
 * @example
 * ```ts
 * closeGracefully(req.socket);
 * ```
 */
export function closeGracefully(
  connection: Duplex & Partial<Pick<SocketDuplex, 'destroySoon'>>,
): void {
  if (connection.destroySoon === undefined) connection.destroy();
  else connection.destroySoon();
}

/**
 * Writes the parts, and calls `done` as soon as the operating system has taken
 * them: mostly at once, sooner than the socket tells.
 */
function writeThrough(
  socket: Socket,
  parts: readonly Part[],
  done: WriteDone,
): void {
  let isDone = false;
  const finish: WriteDone = err => {
    if (isDone) return;
    isDone = true;
    done(err);
  };
  const last = parts.length - 1;
  socket.cork();
  for (const [at, {chunk, encoding}] of parts.entries())
    socket.write(chunk, encoding, at === last ? finish : undefined);
  socket.uncork();
  if (socket.writableLength === 0 && !socket.destroyed) finish();
}
