/**
 * Another writer puts an entry into the list of servers that names a service
 * which isn't in the config, and the address of a server. Later that server
 * leaves as planned, without a report: its entry is removed, and it goes on
 * serving. The router takes it for ended and gives its keys away at once.
 */
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearInterval, setInterval} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {startBackend} from '../lib/backend.mjs';
import * as lab from '../lib/lab.mjs';
import {startStore} from '../lib/store.mjs';

const HERE = path.dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
const SERVERS = 6;
const LEAVING = 'i-0';
/** Bounds: a server that leaves serves for `drain` and a little longer. */
const SERVES_ON_MS = 3_500;
/** The rule: the same keys held by two servers for over half a second. */
const MAX_SHARED_MS = 500;
const LAST_KEY = 65_535;
const LOOK_MS = 20;
const PER_SECOND = 40;

const record = lab.createRecord(HERE);
const folder = lab.makeTempFolder();
const store = await startStore();
const backends = [];
const routers = [];
let number = 0;
/** Begun requests by key, as of which both holders count. */
let begunShared = 0;

const startServer = async at => {
  const id = `i-${at}`;
  const backend = await startBackend(store, {
    ...{id, service: 'rounds', isKeyed: true, slots: 4, workMs: 150},
    onRun({request}) {
      const key = Number(request.headers['shard-key']);
      const others = backends.filter(each => each !== backend);
      const isShared = others.some(each => each.holds(key));
      if (isShared) begunShared++;
      record.line(
        `run      ${request.path} key ${key} at ${id}` +
          (isShared ? ', a key that another server holds as well' : ''),
      );
    },
  });
  backend.hooks.onGrant = ({from, to, fence}) =>
    record.line(`grant    ${from}-${to} to ${id}, fence ${fence}`);
  backend.hooks.onArrival = (_connection, {path: at, body}) => {
    if (at === '/-/release') record.line(`release  ${id} ${body}`);
  };
  backends.push(backend);
};

/** Looks at some keys, and keeps since when each has two holders. */
const watchHolders = () => {
  const since = new Map();
  const longest = {ms: 0, key: null, holders: []};
  const timer = setInterval(() => {
    const now = performance.now();
    for (let key = 0; key <= LAST_KEY; key += 257) {
      const holders = backends.filter(each => each.holds(key));
      if (holders.length < 2) {
        since.delete(key);
        continue;
      }
      const startedAt = since.get(key) ?? now;
      since.set(key, startedAt);
      if (now - startedAt <= longest.ms) continue;
      longest.ms = now - startedAt;
      longest.key = key;
      longest.holders = holders.map(({id}) => id);
    }
  }, LOOK_MS);
  return {longest, stop: () => clearInterval(timer)};
};

const send = async () => {
  const attempt = `q${number++}`;
  const {front} = routers[number % routers.length];
  const answer = await lab.ask(front, {
    url: `/report/${attempt}`,
    headers: {
      ...{Host: lab.HOST, 'Attempt-Id': attempt},
      'Shard-Key': String(Math.floor(Math.random() * 65536)),
      'Request-Deadline-Ms': '5000',
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
      [{name: 'rounds', maxConnections: 110, sharded: true}],
      [lab.makeRoute('report', 'safe', 'rounds', 2_500)],
    ),
  );
  for (let at = 0; at < SERVERS; at++) await startServer(at);
  for (let at = 0; at < 3; at++)
    routers.push(await lab.startRouter(store, {name: `front-${at}`, folder}));
  if (!(await lab.untilReady(routers))) throw new Error('routers not ready');
  const isServing = async () => (await send()).status === 200;
  if (!(await lab.until(isServing, 20_000)))
    throw new Error('keys are not served');
  const pending = [];
  const flow = setInterval(() => pending.push(send()), 1_000 / PER_SECOND);
  await lab.sleep(3_000);
  const {longest, stop} = watchHolders();
  const leaving = backends.find(({id}) => id === LEAVING);
  if (hasTrouble) {
    record.line(`entry    agent-7 at ${leaving.address}, of another service`);
    store.put('keyed.servers', 'agent-7', {
      address: leaving.address,
      info: {service: 'disk-agent', version: 'v1', zone: 'a', slots: 1},
      status: {state: 'ready', sequence: 1, coldRemaining: '0ms'},
    });
  }
  await lab.sleep(3_000);
  record.line(`leaves   ${LEAVING}: its entry is removed`);
  leaving.removeEntry();
  await lab.sleep(SERVES_ON_MS);
  record.line(`ends     ${LEAVING}`);
  leaving.close();
  await lab.sleep(1_000);
  clearInterval(flow);
  const answers = await Promise.all(pending);
  stop();
  const sharedMs = Math.round(longest.ms);
  const isBroken = sharedMs > MAX_SHARED_MS;
  if (isBroken)
    record.line(
      `BROKEN   OWNER ${longest.holders.join(' and ')} both hold key ` +
        `${longest.key} for ${sharedMs} ms`,
    );
  const served = answers.filter(({status}) => status === 200).length;
  const summary =
    `sent ${answers.length}, served ${served}, longest time with two ` +
    `holders of a key ${sharedMs} ms, requests begun on such keys ` +
    `${begunShared}`;
  record.line(summary);
  process.stdout.write(`${summary}\n`);
  exitCode = isBroken ? 1 : served > answers.length / 2 ? 0 : 2;
} catch (err) {
  record.line(String(err.stack));
  process.stdout.write(`${err.stack}\n`);
} finally {
  record.write();
  await lab.endAll(routers, [...backends, store], folder);
}
process.exit(exitCode);
