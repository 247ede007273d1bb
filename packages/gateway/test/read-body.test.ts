import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import tap from 'tap';
import {createCanceller, STOPPING} from '@banyandrum/base/cancel.js';
import {createBodyMemory} from '@banyandrum/gateway/body-memory.js';
import {readBody, type HeldBody} from '@banyandrum/gateway/read-body.js';

/** Reads a body of which a part comes after the signal was aborted. */
async function readAcrossAbort(
  isEarly: boolean,
  reason?: string,
): Promise<HeldBody> {
  const stream = new PassThrough();
  const headers = {'content-length': '2'};
  const req = Object.assign(stream, {headers}) as unknown as IncomingMessage;
  const canceller = createCanceller();
  if (isEarly) canceller.abort(reason);
  const memory = createBodyMemory(1_024);
  const reading = readBody(req, 1_024, memory, canceller.signal);
  stream.write('o');
  canceller.abort(reason);
  stream.end('k');
  return reading;
}

// Guards against a body that is awaited for good, since its request was
// cancelled for another reason than a stop.
void tap.test('only a stop ends the reading of a body', async t => {
  for (const isEarly of [true, false]) {
    const name = isEarly ? 'before' : 'during';
    const stopped = await readAcrossAbort(isEarly, STOPPING);
    t.equal(stopped.result.kind, 'stopping', name);
    const cancelled = await readAcrossAbort(isEarly);
    t.equal(cancelled.result.kind, 'read', name);
  }
});
