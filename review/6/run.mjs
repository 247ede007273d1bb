/* Clients upload bodies in small chunks; see claim.txt. */
/* global performance */
import {Buffer} from 'node:buffer';
import {readFileSync, writeFileSync} from 'node:fs';
import {Agent, createServer, request} from 'node:http';
import {connect} from 'node:net';
import process from 'node:process';
import {setInterval, setTimeout} from 'node:timers';
import {
  createRouter,
  isReadyWithin,
  MEMORY_MB,
  putConfig,
  sleep,
  startStore,
} from '../lib-2/routers.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Bytes of body in a chunk: a record each, or a buffer as a library fills it. */
const CHUNK_BYTES = HAS_TROUBLE ? 16 : 65_536;
/** A body; a tenth of what `maxBodyBytes` allows. */
const BODY_BYTES = 6 * 1024 ** 2;
/** Clients that upload to a router at a time. */
const UPLOADS = 4;
/** Routers to which they upload, and how often; the rule says three times. */
const UPLOAD_ROUTERS = 2;
const ROUNDS = 3;
const ROUTERS = 3;
const SERVERS = 6;
const BEAT_MS = 870;
/** Clients with small requests at each router. */
const LOOKERS = 6;
const HOST = 'entry.example';

const startedAt = performance.now();
const lines = [];
const note = text => {
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(2);
  lines.push(`${seconds.padStart(7)} s  ${text}`);
};
const finish = (code, verdict) => {
  note(verdict);
  writeFileSync('record.txt', `${lines.join('\n')}\n`);
  process.stdout.write(`${verdict}\n`);
  process.exit(code);
};

/** A sound server; it counts bytes and keeps none. */
async function startServer(id, store) {
  let sequence = 0;
  const server = createServer((req, res) => {
    let bytes = 0;
    req.on('data', chunk => (bytes += chunk.length));
    req.on('end', () => {
      const attempt = req.headers['attempt-id'] ?? '';
      if (req.headers['expect-instance'] !== id) {
        res.writeHead(421, {'instance-id': id, 'not-executed': '1'}).end();
        return;
      }
      ran.set(attempt, (ran.get(attempt) ?? 0) + 1);
      if (bytes > 0) note(`server ${id} runs ${attempt} with ${bytes} bytes`);
      setTimeout(() => {
        const fields = {'attempt-id': attempt, 'response-seal': `seal-${id}`};
        res.writeHead(200, {...fields, 'content-length': 2}).end('ok');
      }, 150);
    });
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  const beat = () =>
    store.put(
      'keyed.servers',
      id,
      JSON.stringify({
        address: `127.0.0.1:${server.address().port}`,
        info: {service: 'desks', version: 'v1', zone: 'a', slots: 4},
        status: {state: 'ready', sequence: ++sequence, coldRemaining: '0ms'},
      }),
    );
  beat();
  setInterval(beat, BEAT_MS);
}

const ran = new Map();
/** Small requests on kept connections that ended without an answer. */
const lost = [];
let answered = 0;

/** Asks one small thing after the other on a kept connection. */
async function lookUp(router, client) {
  const [host, port] = router.callers.split(':');
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  for (let at = 1; ; at++) {
    const id = `${router.name}-look-${client}-${at}`;
    const headers = {host: HOST, 'attempt-id': id};
    const fields = {...headers, 'request-deadline-ms': '5000'};
    await new Promise(resolve => {
      const opts = {host, port, agent, path: `/looks/${at}`, headers: fields};
      const req = request(opts, res => {
        res.resume();
        res.on('end', () => {
          answered++;
          resolve();
        });
        res.on('error', resolve);
      });
      req.on('error', () => {
        if (req.reusedSocket && ran.has(id)) lost.push(id);
        resolve();
      });
      req.end();
    });
    await sleep(20);
  }
}

/** Sends a body in chunks; resolves with the status, or how it ended. */
function upload(router, id) {
  const [host, port] = router.callers.split(':');
  const size = CHUNK_BYTES.toString(16);
  const data = 'r'.repeat(CHUNK_BYTES);
  const perBlock = 65_536 / CHUNK_BYTES;
  const block = Buffer.from(`${size}\r\n${data}\r\n`.repeat(perBlock));
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port)});
    let text = '';
    socket.on('data', bytes => {
      text += bytes.toString('latin1');
      if (text.includes('\r\n\r\n')) {
        resolve(`status ${text.slice(9, 12)}`);
        socket.destroy();
      }
    });
    socket.on('error', err => resolve(err.code));
    socket.on('close', () => resolve('closed without an answer'));
    socket.write(
      `POST /uploads/${id} HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${id}\r\n` +
        'Request-Deadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n',
    );
    let sent = 0;
    const writeMore = () => {
      while (sent < BODY_BYTES && !socket.destroyed) {
        sent += 65_536;
        if (!socket.write(block)) return;
      }
      socket.off('drain', writeMore);
      socket.write('0\r\n\r\n');
    };
    socket.on('drain', writeMore);
    socket.once('connect', writeMore);
  });
}

function memoryOf({pid}) {
  try {
    const text = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Math.round((Number(/VmRSS:\s+(\d+)/.exec(text)[1]) * 1024) / 1e6);
  } catch {
    return 0;
  }
}

/** Uploads to a router; resolves once all have ended, or its process has. */
async function uploadRound(router, round) {
  const ends = router.exits.length;
  let most = 0;
  const ids = Array.from(
    {length: UPLOADS},
    (_, at) => `${router.name}-up-${round}-${at + 1}`,
  );
  let isOver = false;
  const all = Promise.all(
    ids.map(async id => note(`${id}: ${await upload(router, id)}`)),
  ).then(() => (isOver = true));
  const limit = performance.now() + 20_000;
  while (!isOver && performance.now() < limit) {
    most = Math.max(most, memoryOf(router));
    await sleep(50);
  }
  await Promise.race([all, sleep(1_000)]);
  // The process writes its stack before it ends.
  for (let at = 0; HAS_TROUBLE && at < 40; at++) {
    if (router.exits.length > ends) break;
    await sleep(50);
  }
  note(`${router.name}: at most ${most} MB, of ${MEMORY_MB} MB allowed`);
  if (router.exits.length === ends) return;
  const {code, signal} = router.exits.at(-1);
  note(`${router.name} ended by itself: code ${code}, signal ${signal}`);
  await sleep(500);
  router.start();
  if (!(await isReadyWithin(router, 10_000)))
    finish(2, `${router.name} is not ready again`);
}

const store = await startStore();
putConfig(
  store,
  1,
  [{name: 'desks'}],
  [
    {name: 'looks', pathPrefix: '/looks/', kind: 'safe', service: 'desks'},
    {
      name: 'uploads',
      pathPrefix: '/uploads/',
      kind: 'unsafe',
      service: 'desks',
    },
  ],
);
for (let at = 1; at <= SERVERS; at++) await startServer(`i-${at}`, store);
const routers = [];
for (let at = 1; at <= ROUTERS; at++)
  routers.push(await createRouter(`entry-${at}`, 'ab'[at % 2], store.address));
for (const router of routers) router.start();
for (const router of routers) {
  if (!(await isReadyWithin(router, 10_000)))
    finish(2, `${router.name} is not ready`);
}
await sleep(3_000);
for (const router of routers) {
  for (let at = 1; at <= LOOKERS; at++) void lookUp(router, at);
}
await sleep(1_000);
note(
  `${UPLOADS} uploads at a time of ${BODY_BYTES} bytes, ${CHUNK_BYTES} each`,
);
for (let round = 1; round <= ROUNDS; round++) {
  await Promise.all(
    routers.slice(0, UPLOAD_ROUTERS).map(router => uploadRound(router, round)),
  );
}
note(`${answered} small requests answered; lost on kept connections:`);
for (const id of lost) note(`  ${id}, which a server ran`);
const ended = routers.filter(({exits}) => exits.length >= 3);
const counts = routers.map(({name, exits}) => `${name} ${exits.length}`);
const isBroken = ended.length >= 2;
finish(
  isBroken ? 1 : 0,
  `${isBroken ? 'broken' : 'held'}: own ends ${counts.join(', ')}; ` +
    `${lost.length} small requests lost`,
);
