import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from 'node:timers/promises';
import tap, {type Test} from 'tap';
import {listen} from '@banyandrum/base/listen.js';
import {
  createPacedConnections,
  type PacedConnections,
} from '@banyandrum/gateway/paced-connections.js';

interface Rig {
  readonly paced: PacedConnections;
  readonly caller: Socket;
  readonly connection: Duplex;
  /** Sizes of the parts that were parsed. */
  readonly parts: number[];
  parsedText(): string;
}

/** Connects a caller, of whose bytes `allowance` may be parsed in a turn. */
async function startRig(
  t: Test,
  allowance: () => number,
  maxHeldBytes = 1024 ** 2,
  clock = {now: () => performance.now()},
  isReceiving = false,
): Promise<Rig> {
  const paced = createPacedConnections({
    ...{clock, allowance, maxHeldBytes, isReceiving: () => isReceiving},
  });
  const server = createServer({allowHalfOpen: true});
  await listen(server, {ip: '127.0.0.1', port: 0, backlog: 8});
  const {port} = server.address() as {port: number};
  const caller = connect(port, '127.0.0.1');
  const [socket] = (await once(server, 'connection')) as [Socket];
  const connection = paced.wrap(socket);
  const parts: number[] = [];
  let text = '';
  connection.on('data', (part: Buffer) => {
    parts.push(part.length);
    text += part.toString('latin1');
  });
  connection.on('error', () => undefined);
  t.teardown(() => {
    caller.destroy();
    connection.destroy();
    server.close();
  });
  return {paced, caller, connection, parts, parsedText: () => text};
}

const TEXT = Array.from({length: 3_000}, (_, at) => `${at};`).join('');

// Guards against a read that is parsed at once, so that thousands of requests
// exist before the first is answered.
void tap.test('bytes are parsed as allowed in each turn, in order', async t => {
  const {caller, parts, parsedText, paced} = await startRig(t, () => 1_000);
  caller.write(TEXT);
  while (parts.length === 0) await nextTurn();
  t.ok(parts.reduce((sum, part) => sum + part) <= 2_000, parts.join());
  t.ok(paced.heldBytes() > 0);
  while (parsedText().length < TEXT.length) await nextTurn();
  t.equal(parsedText(), TEXT);
  t.ok(Math.max(...parts) <= 1_000);
  t.equal(paced.heldBytes(), 0);
});

/** The most parts that are parsed in a turn, if each takes 2 ms. */
async function mostPartsPerTurn(
  t: Test,
  isReceiving: boolean,
): Promise<number> {
  const bytes = 64 * 1024;
  let now = 0;
  const {caller, parts, connection} = await startRig(
    ...([t, () => bytes, 2 * bytes, {now: () => now}, isReceiving] as const),
  );
  connection.on('data', () => {
    now += 2;
  });
  caller.write(Buffer.alloc(bytes));
  let most = 0;
  while (parts.reduce((sum, part) => sum + part, 0) < bytes) {
    const before = parts.length;
    await nextTurn();
    most = Math.max(most, parts.length - before);
  }
  return most;
}

// Guards against callers with bodies in chunks of one byte, which take so long to
// parse that others' requests are refused for the lag of the event loop.
void tap.test('bodies that are slow to parse wait for a turn', async t => {
  const ofBodies = await mostPartsPerTurn(t, true);
  // Three in 5 ms, and it may look between two turns.
  t.ok(ofBodies <= 6, `${ofBodies} parts of bodies`);
  const ofRequests = await mostPartsPerTurn(t, false);
  t.ok(ofRequests > 6, `${ofRequests} parts of new requests, which don't wait`);
});

// Guards against a connection whose requests are never parsed, once it had none
// allowed.
void tap.test('a connection waits until it is resumed', async t => {
  let allowed = 0;
  const {caller, parts, connection, paced} = await startRig(t, () => allowed);
  caller.write('request');
  await sleep(50);
  t.same(parts, []);
  allowed = 1_000;
  paced.resume(connection);
  t.same(parts, [7]);
});

// Guards against servers that work on for callers that have left while their
// requests wait.
void tap.test('a close is noticed while bytes wait', async t => {
  const {caller, connection, paced} = await startRig(t, () => 0);
  const closed = once(connection, 'close');
  caller.end('request');
  await closed;
  t.equal(paced.heldBytes(), 0);
});

// Guards against servers that work on for callers that have left while answers
// wait in a pipeline, for which the HTTP server stops reading.
void tap.test('a close is noticed while reading is paused', async t => {
  const {caller, connection} = await startRig(t, () => 1_000);
  connection.pause();
  const closed = once(connection, 'close');
  caller.end();
  await closed;
  t.ok(connection.destroyed);
});

// Guards against the unparsed bytes of many connections that exhaust the memory.
void tap.test('no more is read than may be held', async t => {
  const {caller, paced} = await startRig(t, () => 0);
  caller.on('error', () => undefined);
  for (let sent = 0; sent < 64; sent++) caller.write(Buffer.alloc(64 * 1024));
  await sleep(100);
  const held = paced.heldBytes();
  t.ok(held > 0 && held <= 80 * 1024, `${held} bytes`);
});

void tap.test('beyond the limit of all, stalled ones are closed', async t => {
  const {caller, connection, paced} = await startRig(t, () => 0, 10);
  const closed = once(connection, 'close');
  caller.on('error', () => undefined);
  caller.write('few');
  await sleep(600);
  t.equal(paced.heldBytes(), 3);
  caller.write('many more bytes');
  await closed;
  t.equal(paced.heldBytes(), 0);
});
