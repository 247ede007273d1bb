import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import tap from 'tap';
import {createClock} from '@banyandrum/base/clock.js';
import {createBodyBuffer} from '@banyandrum/dispatch/body-buffer.js';
import {createAnswerLimits} from '@banyandrum/dispatch/answer-limits.js';
import {startAttempt} from '@banyandrum/dispatch/attempt.js';
import {createServerConnections} from '@banyandrum/dispatch/connections.js';
import {listenRaw, NAMES} from './raw-server.js';

const MIB = 1024 ** 2;
const SIZES = {maxBytes: 16 * MIB, totalBytes: 32 * MIB};
const SENT_BYTES = 12 * MIB;
/** Memory that may be used for an answer of 2 MiB at the most. */
const MAX_GROWTH_BYTES = 6 * MIB;
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function usedBytes(): number {
  collectGarbage();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Memory in use once nothing more is read or freed. */
async function settledBytes(): Promise<number> {
  let least = Infinity;
  for (let at = 0; at < 5; at++) {
    await sleep(100);
    least = Math.min(least, usedBytes());
  }
  return least;
}

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

const CASES = [
  {name: 'chunks of one byte', part: '1\r\nx\r\n'.repeat(1_000)},
  {
    name: 'chunk extensions',
    part: `1;${'e'.repeat(60 * 1024)}\r\nx\r\n`,
  },
] as const;

for (const {name, part} of CASES) {
  // Guards against an answer within the size limits taking many times its size.
  void tap.test(`memory of an answer: ${name}`, async t => {
    let isSent = false;
    const server = await listenRaw(socket => {
      socket.write(CHUNKED);
      const write = (): void => {
        while (socket.bytesWritten < SENT_BYTES && !socket.destroyed) {
          if (!socket.write(part)) return void socket.once('drain', write);
        }
        isSent = true;
      };
      socket.once('close', () => (isSent = true));
      write();
    });
    t.teardown(() => server.close());
    const answers = createAnswerLimits(SIZES);
    const connections = createServerConnections(server.origin, 1, answers);
    const connection = connections.acquire('r1')!;
    const before = await settledBytes();
    const attempt = startAttempt(connection, NAMES, createClock(), {
      ...{method: 'GET', path: '/', headers: [], body: null, requestId: 'r1'},
      withinMs: 20_000,
    });
    while (!isSent) await sleep(50);
    const growth = (await settledBytes()) - before;
    attempt.abort('cancelled');
    t.equal((await attempt.result).kind, 'lost');
    connections.release(connection, false);
    t.ok(
      growth < MAX_GROWTH_BYTES,
      `${(growth / MIB).toFixed(1)} MiB for ${SENT_BYTES / MIB} MiB received`,
    );
  });
}

// Guards against bytes that are lost or out of order where chunks are copied.
void tap.test('a body is the bytes of its chunks in order', async t => {
  const sizes = [1, 3, 70_000, 1, 5_000, 64, 1, 300_000, 2, 2, 4_096, 4_095];
  const slab = Buffer.alloc(400_000);
  for (let at = 0; at < slab.length; at++) slab[at] = (at * 7) % 251;
  const body = createBodyBuffer();
  const chunks = [...sizes, ...sizes].map((size, at) =>
    at % 2 === 0
      ? slab.subarray(at, at + size)
      : Buffer.from(slab.subarray(at, at + size)),
  );
  for (const chunk of chunks) body.append(chunk);
  t.ok(body.toBuffer().equals(Buffer.concat(chunks)));
  body.clear();
  t.equal(body.toBuffer().length, 0);
  body.append(chunks[1]!);
  t.ok(body.toBuffer().equals(chunks[1]!));
});
