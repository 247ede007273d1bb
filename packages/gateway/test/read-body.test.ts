import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import tap from 'tap';
import {createCanceller, STOPPING} from '@banyandrum/base/cancel.js';
import {createClock} from '@banyandrum/base/clock.js';
import {createBodyMemory} from '@banyandrum/gateway/body-memory.js';
import {readBody, type HeldBody} from '@banyandrum/gateway/read-body.js';

const CHUNKS = 256 * 1024;
const clock = createClock();
/** Memory for a body of 256 KiB: itself, and as much again when it is whole. */
const MAX_GROWTH_BYTES = 2 * 1024 ** 2;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function usedBytes(): number {
  collectGarbage();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

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
  const memory = createBodyMemory(1_024, clock);
  const {signal} = canceller;
  const reading = readBody(req, {clock, maxBytes: 1_024, memory, signal});
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

// Guards against a body in chunks of one byte that takes hundreds of times its
// size, so that some of them end the process.
void tap.test('small chunks take no more memory than their bytes', async t => {
  const stream = new PassThrough();
  const headers = {'transfer-encoding': 'chunked'};
  const req = Object.assign(stream, {headers}) as unknown as IncomingMessage;
  const before = usedBytes();
  const memory = createBodyMemory(4 * CHUNKS, clock);
  const reading = readBody(req, {clock, maxBytes: 2 * CHUNKS, memory});
  for (let sent = 0; sent < CHUNKS; sent++) {
    if (!stream.write(Buffer.alloc(1, 'x')))
      await new Promise(resolve => stream.once('drain', resolve));
  }
  const growth = usedBytes() - before;
  t.ok(growth <= MAX_GROWTH_BYTES, `${growth} bytes for ${CHUNKS}`);
  stream.end();
  const {result} = await reading;
  t.ok(
    result.kind === 'read' && result.bytes?.equals(Buffer.alloc(CHUNKS, 'x')),
  );
});

// Guards against bodies that stop short of their end and keep their memory, so
// that others are refused for good.
void tap.test('a body that stalls is given up at its deadline', async t => {
  const headers = {'content-length': '10'};
  const stream = new PassThrough();
  const req = Object.assign(stream, {headers}) as unknown as IncomingMessage;
  const memory = createBodyMemory(1_024, clock);
  const deadline = clock.now() + 50;
  const reading = readBody(req, {clock, maxBytes: 1_024, memory, deadline});
  stream.write('short');
  const {result} = await reading;
  t.equal(result.kind, 'late');
  t.equal(memory.heldBytes(), 0);
});
