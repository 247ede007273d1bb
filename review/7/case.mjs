/**
 * Servers of a service with keys go down and up by turns. Each start is a new
 * life under the same id, with another `born`. The leader's next renewal, which
 * was meant for the life before, gives the new life its keys with the fence
 * number that the life before had.
 */
import path from 'node:path';
import process from 'node:process';
import {clearInterval, setInterval} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {startBackend} from '../lib/backend.mjs';
import * as lab from '../lib/lab.mjs';
import {startStore} from '../lib/store.mjs';

const HERE = path.dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
/** `srv_flap` of the site file: one server in ten, down and up for 1.4 s each. */
const FLAP = {servers: 1, gapMs: 1_400, turns: 2};
const SERVERS = 12;
const ROUNDS = 4;
const ROUND_MS = 9_000;
const PER_SECOND = 40;

const record = lab.createRecord(HERE);
const folder = lab.makeTempFolder();
const store = await startStore();
/** The running life of each server, by id. */
const backends = new Map();
const routers = [];
/** All grants that servers took: keys, fence and the life that took it. */
const taken = [];
const breaches = [];
let restarts = 0;
let runsUnderOldFence = 0;
let number = 0;

/** The rule is broken if another life had one of the keys with this fence. */
const checkGrant = (life, {from, to, fence}) => {
  const other = taken.find(
    each =>
      each.life !== life &&
      each.from <= to &&
      from <= each.to &&
      each.fence >= fence,
  );
  taken.push({life, from, to, fence});
  if (other === undefined) return false;
  const text =
    `${life} takes ${from}-${to} with fence ${fence}; ${other.life} had ` +
    `${other.from}-${other.to} with fence ${other.fence}`;
  breaches.push(text);
  record.line(`BROKEN   OWNER ${text}`);
  return true;
};

const startServer = async (id, port = 0) => {
  const born = Date.now();
  const life = `${id} born ${born}`;
  let isUnderOldFence = false;
  const backend = await startBackend(store, {
    ...{id, port, born, service: 'dispatch', isKeyed: true, workMs: 100},
    onRun({request}) {
      if (isUnderOldFence) runsUnderOldFence++;
      const attempt = request.headers['attempt-id'];
      record.line(`run      ${attempt} at ${life}`);
    },
  });
  backend.hooks.onGrant = grant => {
    const {from, to, fence} = grant;
    record.line(`grant    ${from}-${to} to ${life}, fence ${fence}`);
    isUnderOldFence = checkGrant(life, grant);
  };
  backends.set(id, backend);
  record.line(`starts   ${life} at ${backend.address}`);
};

const flap = async id => {
  const port = Number(backends.get(id).address.split(':')[1]);
  for (let turn = 0; turn < FLAP.turns; turn++) {
    record.line(`ends     ${id}`);
    backends.get(id).close();
    await lab.sleep(FLAP.gapMs);
    await startServer(id, port);
    restarts++;
    await lab.sleep(FLAP.gapMs);
  }
};

const send = async () => {
  const attempt = `q${number++}`;
  const {front} = routers[number % routers.length];
  const key = Math.floor(Math.random() * 65536);
  record.line(`sent     ${attempt} key ${key}`);
  const answer = await lab.ask(front, {
    ...{method: 'PUT', url: `/confirm/${attempt}`, body: 'x'.repeat(300)},
    headers: {
      ...{Host: lab.HOST, 'Attempt-Id': attempt},
      ...{'Shard-Key': String(key), 'Request-Deadline-Ms': '5000'},
    },
  });
  record.line(`answered ${attempt} with ${answer.status}`);
  return answer;
};

let exitCode = 2;
try {
  store.put(
    'keyed.op',
    'config',
    lab.makeConfig(
      1,
      [{name: 'dispatch', maxConnections: 610, sharded: true}],
      [lab.makeRoute('confirm', 'unsafe', 'dispatch', 2_500)],
    ),
  );
  for (let at = 0; at < SERVERS; at++) await startServer(`i-${at}`);
  for (let at = 0; at < 3; at++)
    routers.push(await lab.startRouter(store, {name: `front-${at}`, folder}));
  if (!(await lab.untilReady(routers))) throw new Error('routers not ready');
  const isServing = async () => (await send()).status === 200;
  if (!(await lab.until(isServing, 15_000)))
    throw new Error('keys are not served');
  await lab.sleep(2_000);
  const pending = [];
  const flow = setInterval(() => pending.push(send()), 1_000 / PER_SECOND);
  for (let round = 0; round < ROUNDS; round++) {
    await lab.sleep(1_000);
    if (hasTrouble) await flap(`i-${round}`);
    await lab.sleep(ROUND_MS - 1_000 - FLAP.turns * 2 * FLAP.gapMs);
  }
  clearInterval(flow);
  const answers = await Promise.all(pending);
  const served = answers.filter(({status}) => status === 200).length;
  const summary =
    `sent ${answers.length}, served ${served}, restarts ${restarts}, keys ` +
    `taken with a fence that an earlier life had ${breaches.length}, orders ` +
    `begun under such a fence ${runsUnderOldFence}`;
  record.line(summary);
  process.stdout.write(`${summary}\n`);
  const isSound = served > answers.length / 2;
  exitCode = breaches.length > 0 ? 1 : isSound ? 0 : 2;
} catch (err) {
  record.line(String(err.stack));
  process.stdout.write(`${err.stack}\n`);
} finally {
  record.write();
  await lab.endAll(routers, [...backends.values(), store], folder);
}
process.exit(exitCode);
