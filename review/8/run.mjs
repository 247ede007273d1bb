/* A server becomes cold again while it is cold; see claim.txt. */
/* global performance */
import {writeFileSync} from 'node:fs';
import {Agent, createServer, request} from 'node:http';
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
/** Servers that are warm all the time. */
const WARM_SERVERS = 2;
const SLOTS = 4;
const BEAT_MS = 870;
const HOST = 'entry.example';
/** Requests per second of all clients. */
const RATE = 240;
/** How long a server works on a request, in ms; twice that while it is cold. */
const WORK_MS = 40;
const COLD_MS = 3_000;
/** When the cold server becomes cold again, after its start, in ms. */
const AGAIN_AT_MS = 2_900;
const COLD_PER_SECOND = 4.2;
/** `coldPerS` x `coldOverrun` + `coldSlack`. */
const ALLOWED = COLD_PER_SECOND * 1.5 + 8;
/** A cold server crashes when it gets more than this in one second. */
const CRASHES_ABOVE = 20;

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

/** When clients sent each attempt. */
const sentAt = new Map();

/** A sound server; `isNew` if it starts during traffic, and so cold. */
async function startServer(id, store, isNew) {
  let sequence = 0;
  let coldUntil = 0;
  /** Times at which the server was cold, and requests that arrived then. */
  const arrivals = [];
  /** Orders at work, and those that the crash has ended. */
  const atWork = new Set();
  const lost = [];
  const sockets = new Set();
  const coldLeft = () => Math.max(0, coldUntil - performance.now());
  const countLastSecond = () => {
    const since = performance.now() - 1_000;
    return arrivals.filter(({at}) => at > since).length;
  };
  const crash = () => {
    note(`${id} crashes with ${atWork.size} orders at work`);
    lost.push(...atWork);
    atWork.clear();
    clearInterval(timer);
    hasCrashed = true;
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
  };
  let hasCrashed = false;
  let timer;
  const server = createServer((req, res) => {
    if (hasCrashed) return;
    const attempt = req.headers['attempt-id'] ?? '';
    if (req.headers['expect-instance'] !== id) {
      res.writeHead(421, {'instance-id': id, 'not-executed': '1'}).end();
      return;
    }
    const isCold = coldLeft() > 0;
    if (isCold) {
      arrivals.push({at: performance.now(), sent: sentAt.get(attempt)});
      note(
        `${id}, cold for ${Math.round(coldLeft())} ms more, gets ${attempt}`,
      );
    }
    atWork.add(attempt);
    if (isCold && countLastSecond() > CRASHES_ABOVE) return crash();
    setTimeout(
      () => {
        if (!atWork.delete(attempt)) return;
        const fields = {'attempt-id': attempt, 'response-seal': `seal-${id}`};
        res.writeHead(200, {...fields, 'content-length': 2}).end('ok');
      },
      isCold ? WORK_MS * 2 : WORK_MS,
    );
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  const beat = () => {
    const left = `${Math.round(coldLeft())}ms`;
    if (isNew) note(`${id} writes coldRemaining ${left}`);
    store.put(
      'keyed.servers',
      id,
      JSON.stringify({
        address: `127.0.0.1:${server.address().port}`,
        info: {service: 'desks', version: 'v1', zone: 'a', slots: SLOTS},
        status: {state: 'ready', sequence: ++sequence, coldRemaining: left},
      }),
    );
  };
  /** Its entry changes at once, and from then on at the usual interval. */
  const write = () => {
    clearInterval(timer);
    beat();
    timer = setInterval(beat, BEAT_MS);
  };
  const becomeCold = () => {
    coldUntil = performance.now() + COLD_MS;
    write();
  };
  if (isNew) becomeCold();
  else write();
  return {becomeCold, arrivals, lost};
}

let answered = 0;
/** What clients were told of each order. */
const statuses = new Map();
let isOver = false;

/** Sends requests to a router at a steady rate, on kept connections. */
async function runClients(router, perSecond) {
  const [host, port] = router.callers.split(':');
  const agent = new Agent({keepAlive: true});
  for (let at = 1; !isOver; at++) {
    const id = `${router.name}-${at}`;
    const headers = {host: HOST, 'attempt-id': id};
    const fields = {...headers, 'request-deadline-ms': '3000'};
    sentAt.set(id, performance.now());
    const opts = {host, port, agent, path: `/orders/${at}`, headers: fields};
    const req = request({...opts, method: 'POST'}, res => {
      res.resume();
      statuses.set(id, res.statusCode);
      if (res.statusCode === 200) answered++;
    });
    req.on('error', () => undefined);
    req.end();
    await sleep(1000 / perSecond);
  }
}

const store = await startStore();
putConfig(
  store,
  1,
  [{name: 'desks', coldStart: '3s', coldPerS: COLD_PER_SECOND}],
  [
    {
      ...{name: 'orders', pathPrefix: '/orders/', kind: 'unsafe'},
      ...{service: 'desks', timeout: '3000ms', targetLatency: '500ms'},
    },
  ],
);
for (let at = 1; at <= WARM_SERVERS; at++)
  await startServer(`i-${at}`, store, false);
const routers = [];
for (let at = 1; at <= ROUTERS; at++)
  routers.push(await createRouter(`entry-${at}`, 'ab'[at % 2], store.address));
for (const router of routers) router.start();
for (const router of routers) {
  if (!(await isReadyWithin(router, 10_000)))
    finish(2, `${router.name} is not ready`);
}
await sleep(3_000);
for (const router of routers) void runClients(router, RATE / ROUTERS);
await sleep(3_000);
const server = await startServer('i-new', store, true);
await sleep(AGAIN_AT_MS);
if (HAS_TROUBLE) {
  note('i-new becomes cold again');
  server.becomeCold();
}
await sleep(COLD_MS + 500);
isOver = true;
await sleep(200);
if (!routers.every(({exits}) => exits.length === 0))
  finish(2, 'a router has ended');

/** The most that were sent and arrived inside one second. */
let most = 0;
for (const {sent: from} of server.arrivals) {
  const inside = server.arrivals.filter(
    ({at, sent}) => sent >= from && at <= from + 1_000,
  );
  most = Math.max(most, inside.length);
}
note(`${answered} orders answered`);
for (const id of server.lost)
  note(`${id} was lost in the crash; its client got ${statuses.get(id)}`);
const isBroken = most > ALLOWED;
finish(
  isBroken ? 1 : 0,
  `${isBroken ? 'broken' : 'held'}: a cold server got ${most} requests in one ` +
    `second, of ${ALLOWED.toFixed(1)} allowed; ${server.lost.length} orders lost`,
);
