/**
 * Servers leave, and some send the answer to an order a second time, at the
 * point where the answer to the next order is expected.
 */
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {startBackend} from '../lib/backend.mjs';
import * as lab from '../lib/lab.mjs';
import {startStore} from '../lib/store.mjs';

const HERE = path.dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
/** Doses of the site file: `garble` "extra late", `scale_in`, `scale_out`. */
const EXTRA = {share: 0.03, servers: 0.6, ms: 5_000};
const SERVERS = 80;
const LEAVING = 20;
const DRAIN_MS = 2_000;
const ROUNDS = 10;
const ROUND_MS = 8_000;
const PER_SECOND = 190;
const WORK_MS = 1_000;

const record = lab.createRecord(HERE);
const folder = lab.makeTempFolder();
const store = await startStore();
const routers = [];
let backends = [];
const ended = [];
let isExtra = false;
let extras = 0;
let releases = 0;
let number = 0;
let started = 0;
const broken = [];

/**
 * The rule: a server is given a key on which another is still at work, before
 * that one's hold would have run out.
 */
const checkGrant = (taker, {from, to, fence}) => {
  const now = performance.now();
  for (const other of backends) {
    if (other.id === taker) continue;
    const key = other.runningKeys.find(each => from <= each && each <= to);
    if (key === undefined || other.wouldHoldUntil(key) <= now) continue;
    const leftMs = Math.round(other.wouldHoldUntil(key) - now);
    broken.push(key);
    record.line(
      `BROKEN   ${taker} is granted ${from}-${to} (fence ${fence}), while ` +
        `${other.id} is at work on ${key}, whose hold has ${leftMs} ms left`,
    );
  }
};

/** The second answer comes as the next order arrives, before its own answer. */
const writeEarly = (id, connection, request) => {
  const late = connection.extra;
  if (!late) return;
  connection.extra = null;
  extras++;
  record.line(`extra    ${id} answers ${late.path} again, to ${request.path}`);
  connection.socket.write(late.bytes);
};

const write = isFaulty => (connection, bytes, request) => {
  if (isExtra && isFaulty && Math.random() < EXTRA.share)
    connection.extra = {path: request.path, bytes};
  connection.socket.write(bytes);
};

const addServer = async () => {
  const id = `i-${started++}`;
  const isFaulty = started % 5 < 5 * EXTRA.servers;
  const backend = await startBackend(store, {
    ...{id, service: 'ledgerroom', isKeyed: true, slots: 4, workMs: WORK_MS},
    onRun: ({request}) => record.line(`run      ${request.path} at ${id}`),
  });
  backend.hooks.onGrant = grant => checkGrant(id, grant);
  backend.hooks.onArrival = (connection, request) => {
    if (request.path === '/-/release') {
      releases++;
      record.line(`release  ${id} is asked for ${request.body}`);
    }
    writeEarly(id, connection, request);
  };
  backend.hooks.write = write(isFaulty);
  backends.push(Object.assign(backend, {isFaulty}));
};

let exitCode = 2;
try {
  store.put(
    'keyed.op',
    'config',
    lab.makeConfig(
      1,
      [{name: 'ledgerroom', maxConnections: 110, sharded: true}],
      [lab.makeRoute('history', 'safe', 'ledgerroom', 4_000)],
    ),
  );
  while (backends.length < SERVERS) await addServer();
  for (let at = 0; at < 3; at++)
    routers.push(await lab.startRouter(store, {name: `front-${at}`, folder}));
  const areReady = await lab.until(async () => {
    for (const router of routers) if (!(await router.isReady())) return false;
    return true;
  }, 20_000);
  if (!areReady) throw new Error('routers are not ready');
  const send = async () => {
    const id = `l${number++}`;
    const key = Math.floor(Math.random() * 65536);
    const answer = await lab.ask(routers[number % routers.length].front, {
      ...{url: `/history/${id}`, timeoutMs: 8_000},
      headers: {
        ...{Host: lab.HOST, 'Attempt-Id': id, 'Shard-Key': String(key)},
        'Request-Deadline-Ms': '8000',
      },
    });
    record.line(`answered ${id} with ${answer.status} ${answer.error ?? ''}`);
    return answer;
  };
  const isServing = await lab.until(
    async () => (await send()).status === 200,
    20_000,
  );
  if (!isServing) throw new Error('keys are not served');
  const pending = [];
  const traffic = {isOn: true};
  const flow = (async () => {
    while (traffic.isOn) {
      pending.push(send());
      await lab.sleep(1000 / PER_SECOND);
    }
  })();
  await lab.sleep(5_000);
  for (let round = 0; round < ROUNDS; round++) {
    record.line(`round ${round}`);
    const startedAt = performance.now();
    isExtra = hasTrouble;
    await lab.sleep(2_500);
    const leaving = backends.filter(({isFaulty}) => isFaulty).slice(0, LEAVING);
    for (const backend of leaving) {
      record.line(`leaving  ${backend.id}`);
      backend.setState('draining');
    }
    await lab.sleep(EXTRA.ms - 2_500);
    isExtra = false;
    await lab.sleep(DRAIN_MS);
    for (const backend of leaving) {
      record.line(`ends     ${backend.id}`);
      backend.close();
      store.put('keyed.servers', backend.id, null);
    }
    ended.push(...leaving);
    backends = backends.filter(each => !leaving.includes(each));
    while (backends.length < SERVERS) await addServer();
    await lab.sleep(ROUND_MS - (performance.now() - startedAt));
  }
  traffic.isOn = false;
  await flow;
  const answers = await Promise.all(pending);
  const served = answers.filter(({status}) => status === 200).length;
  const summary =
    `sent ${answers.length}, served ${served}, releases ${releases}, ` +
    `extra ${extras}, keys given while another was at work ${broken.length}`;
  record.line(summary);
  process.stdout.write(`${summary}\n`);
  const isSound = served > answers.length / 2;
  exitCode = broken.length > 0 ? 1 : isSound ? 0 : 2;
} catch (err) {
  record.line(String(err.stack));
  process.stdout.write(`${err.stack}\n`);
} finally {
  record.write();
  await lab.endAll(routers, [...backends, ...ended, store], folder);
}
process.exit(exitCode);
