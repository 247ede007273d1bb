import {createServer, type Socket} from 'node:net';
import tap, {type Test} from 'tap';
import {listen} from '@banyandrum/base/listen.js';
import {askHealth} from '@banyandrum/dispatch/ask-health.js';
import type {Backend} from '@banyandrum/dispatch/backend.js';
import {NAMES} from './raw-server.js';

/** Asks a server `s1` that answers as `answer` does. */
async function ask(
  t: Test,
  answer: (socket: Socket) => void,
): Promise<ReadonlyMap<string, string> | null> {
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  await listen(server, {ip: '127.0.0.1', port: 0, backlog: 8});
  t.teardown(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  });
  const {port} = server.address() as {port: number};
  const info = {id: 's1', address: `127.0.0.1:${port}`};
  return askHealth(NAMES, {info} as unknown as Backend, '/health');
}

/** Sends part of a header each 50 ms, without an end. */
function drip(socket: Socket): void {
  socket.write('HTTP/1.1 200 OK\r\n');
  const timer = setInterval(() => socket.write('a: b\r\n'), 50);
  socket.on('close', () => clearInterval(timer));
}

void tap.test('a health answer', async t => {
  const head = `HTTP/1.1 200 OK\r\n${NAMES.coldMs}: 2100\r\n`;
  const fields = await ask(t, socket =>
    socket.write(`${head}Content-Length: 9\r\n\r\n`),
  );
  t.equal(fields?.get(NAMES.coldMs), '2100', 'without its body');
  const other = `${head}${NAMES.serverId}: s2\r\n\r\n`;
  t.equal(await ask(t, socket => socket.write(other)), null, 'of another one');
});

// Guards against a check that waits for good, so that no other server is asked.
for (const [name, answer] of [
  ['no answer', () => undefined],
  ['a header without an end', drip],
  ['bytes that are none', (socket: Socket) => void socket.write('\0\r\n\r\n')],
  ['a reset', (socket: Socket) => void socket.resetAndDestroy()],
] as const) {
  void tap.test(`a health question ends: ${name}`, async t => {
    const startedAt = performance.now();
    t.equal(await ask(t, answer), null);
    const tookMs = performance.now() - startedAt;
    t.ok(tookMs < 1_500, `${Math.round(tookMs)} ms`);
  });
}
