import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@banyandrum/base/clock.js';

const LINGER_MS = 1000;
const LINGER_BYTES = 1024 * 1024;

/**
 * Ends a response that was written before its request was read completely.
 *
 * Closing a connection while the caller still sends resets it, and the caller's
 * system may then discard the response: the caller sees a connection error
 * instead of the verdict. So the rest of the request is read and discarded
 * first, up to a limit of time and bytes.
 */
export function endAfterRequest(
  req: IncomingMessage,
  res: ServerResponse,
  clock: Clock,
): void {
  if (req.readableEnded || req.destroyed || req.complete) {
    res.end();
    req.resume();
    return;
  }
  let left = LINGER_BYTES;
  const finish = (): void => {
    cancel();
    req.off('data', drop);
    res.end();
  };
  const drop = (chunk: Buffer): void => {
    left -= chunk.length;
    if (left <= 0) finish();
  };
  const cancel = clock.after(LINGER_MS, finish);
  req.on('data', drop);
  req.once('end', finish);
  req.once('close', finish);
}

/** Does the same for a connection without a valid request. */
export function lingerOnSocket(socket: Socket, clock: Clock): void {
  let left = LINGER_BYTES;
  const cancel = clock.after(LINGER_MS, () => socket.destroy());
  socket.once('close', cancel);
  socket.on('data', chunk => {
    left -= chunk.length;
    if (left <= 0) socket.destroy();
  });
}
