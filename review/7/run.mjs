/* Machines stop in turn while clients pipeline and read slowly; see claim.txt. */
/* global performance */
import {Buffer} from 'node:buffer';
import {writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import process from 'node:process';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {
  createRouter,
  isReadyWithin,
  putConfig,
  sleep,
  startStore,
} from '../lib-2/routers.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ROUTERS = 3;
const SERVERS = 12;
/** Clients of each router. */
const CLIENTS = 4;
const BEAT_MS = 870;
const HOST = 'entry.example';
const WORK_MS = 75;
const ANSWER_BYTES = 30_000;
/**
 * A client sends so many requests at once, at this interval, in ms, unless
 * twice as many are unanswered.
 */
const BATCH = 12;
const BATCH_MS = 700;
/** How fast a client reads, in bytes per second. */
const READ_RATE = 300_000;
const LIMIT_MS = 5_000;
const GRACE_MS = 6_000;

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

/** When a server had written its whole answer, by request. */
const answeredAt = new Map();

/** A sound server. */
async function startServer(id, store) {
  let sequence = 0;
  const body = Buffer.alloc(ANSWER_BYTES, 97);
  const server = createServer((req, res) => {
    const attempt = req.headers['attempt-id'] ?? '';
    if (req.headers['expect-instance'] !== id) {
      res.writeHead(421, {'instance-id': id, 'not-executed': '1'}).end();
      return;
    }
    res.on('finish', () => answeredAt.set(attempt, performance.now()));
    setTimeout(() => {
      const fields = {'attempt-id': attempt, 'response-seal': `seal-${id}`};
      res.writeHead(200, {...fields, 'content-length': body.length}).end(body);
    }, WORK_MS);
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

const statuses = new Map();
/** Requests that a server answered, and whose answer didn't arrive whole. */
const lost = [];
/** When each router got SIGTERM. */
const stoppedAt = new Map();
let isOver = false;

/** Pipelines requests on one connection until the router closes it. */
function runClient(router, name) {
  const [host, port] = router.callers.split(':');
  const socket = connect({host, port: Number(port)});
  const waiting = [];
  let bytes = Buffer.alloc(0);
  let count = 0;
  let isTold = false;

  const sendBatch = () => {
    if (waiting.length > BATCH || isTold || isOver) return;
    let text = '';
    for (let at = 0; at < BATCH; at++) {
      const id = `${name}-${++count}`;
      waiting.push({id, sentAt: performance.now()});
      text +=
        `GET /looks/${count} HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${id}\r\n` +
        `Request-Deadline-Ms: ${LIMIT_MS}\r\n\r\n`;
    }
    socket.write(text);
  };

  const readAnswers = () => {
    for (;;) {
      const headEnd = bytes.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const head = bytes.subarray(0, headEnd).toString('latin1');
      const length = /content-length: *(\d+)/i.exec(head);
      const end = headEnd + 4 + Number(length?.[1] ?? 0);
      if (bytes.length < end) return;
      bytes = bytes.subarray(end);
      waiting.shift();
      const status = head.slice(9, 12);
      statuses.set(status, (statuses.get(status) ?? 0) + 1);
      isTold ||= /^connection: *close/im.test(head);
    }
  };

  // What the kernel has received is read in any case, also after a reset.
  socket.on('data', chunk => {
    bytes = Buffer.concat([bytes, chunk]);
    socket.pause();
    const ms = (chunk.length / READ_RATE) * 1000;
    setTimeout(() => {
      readAnswers();
      socket.resume();
    }, ms);
  });
  socket.on('error', err => note(`${name}: ${err.code}`));
  socket.on('close', () => {
    clearInterval(timer);
    readAnswers();
    if (isOver) return;
    const now = performance.now();
    const stopAt = stoppedAt.get(router) ?? Infinity;
    note(
      `${name}: ${router.name} has closed the connection, ` +
        `${isTold ? 'as it said' : 'without saying so'}`,
    );
    for (const {id, sentAt} of waiting) {
      const answerAt = answeredAt.get(id);
      const isInTime = now - sentAt < LIMIT_MS;
      const isPlanned = now > stopAt && now < stopAt + GRACE_MS + 1_000;
      const afterMs = Math.round(now - answerAt);
      if (answerAt === undefined || !isInTime || !isPlanned) continue;
      lost.push(id);
      note(`  ${id}: its server had answered whole ${afterMs} ms before`);
    }
  });
  socket.once('connect', sendBatch);
  const timer = setInterval(sendBatch, BATCH_MS);
}

const store = await startStore();
putConfig(
  store,
  1,
  [{name: 'desks'}],
  [{name: 'looks', pathPrefix: '/looks/', kind: 'safe', service: 'desks'}],
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
  for (let at = 1; at <= CLIENTS; at++)
    runClient(router, `${router.name}-client-${at}`);
}
await sleep(3_000);
for (const router of routers) {
  if (HAS_TROUBLE) {
    note(`${router.name} gets SIGTERM`);
    stoppedAt.set(router, performance.now());
    process.kill(router.pid, 'SIGTERM');
  }
  await sleep(GRACE_MS + 1_500);
  if (!HAS_TROUBLE) continue;
  if (router.pid !== null) finish(2, `${router.name} has not ended`);
  router.start();
  if (!(await isReadyWithin(router, 10_000)))
    finish(2, `${router.name} is not ready again`);
}
isOver = true;
const counts = [...statuses].map(([status, count]) => `${count} x ${status}`);
note(`answers that arrived whole: ${counts.join(', ')}`);
finish(
  lost.length > 0 ? 1 : 0,
  `${lost.length > 0 ? 'broken' : 'held'}: ${lost.length} answers of servers ` +
    'were cut off by a machine that stopped',
);
