/**
 * Unsafe requests with keys while servers shed, and send some refusals a second
 * time, at the point where the next answer on the connection is expected.
 */
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {startBackend} from '../lib/backend.mjs';
import * as lab from '../lib/lab.mjs';
import {startStore} from '../lib/store.mjs';

const HERE = path.dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
/** Doses of the site file: `srv_grey` "shed all", and `garble` "extra late". */
const SHED = {share: 0.45, ms: 6_500};
const EXTRA = {share: 0.03, servers: 0.6, ms: 5_000};
const PER_SECOND = 110;
/** Both come three times, with a pause between. */
const ROUNDS = 3;
const ROUND_MS = 11_000;

const record = lab.createRecord(HERE);
const folder = lab.makeTempFolder();
const store = await startStore();
const routers = [];
const backends = [];
const runs = new Map();
let isShedding = false;
let isExtra = false;
let sheds = 0;
let extras = 0;

const onRun = ({server, request}) => {
  if (request.path === '/health') return;
  const id = request.headers['attempt-id'];
  runs.set(id, [...(runs.get(id) ?? []), server]);
  record.line(`run      ${id} at ${server}`);
};

/** Some answers come again when the next request on the connection is answered. */
const writeWithExtra = (connection, bytes, request, result) => {
  const late = connection.extra;
  connection.extra = null;
  if (late) {
    extras++;
    record.line(
      `extra    ${late.id} again, before the answer to a later request`,
    );
    connection.socket.write(late.bytes);
    // What follows on this connection can't be told from it any more.
  }
  const id = request.headers['attempt-id'];
  if (isExtra && connection.isFaulty && id && Math.random() < EXTRA.share)
    connection.extra = {id, bytes};
  if (result.status !== 200)
    record.line(`refused  ${id} with ${result.status}`);
  connection.socket.write(bytes);
};

let exitCode = 2;
try {
  const service = {name: 'dispatch', maxConnections: 610, sharded: true};
  store.put(
    'keyed.op',
    'config',
    lab.makeConfig(
      1,
      [service],
      [lab.makeRoute('handover', 'unsafe', 'dispatch', 2_500)],
    ),
  );
  for (let at = 0; at < 10; at++) {
    const backend = await startBackend(store, {
      ...{id: `i-${at}`, service: 'dispatch', isKeyed: true, onRun, workMs: 25},
    });
    const isFaulty = at < 10 * EXTRA.servers;
    backend.hooks.before = () => {
      if (!isShedding || Math.random() >= SHED.share) return null;
      sheds++;
      return {status: 503, headers: ['Not-Executed', '1']};
    };
    backend.hooks.write = (connection, ...rest) =>
      writeWithExtra(Object.assign(connection, {isFaulty}), ...rest);
    backends.push(backend);
  }
  for (let at = 0; at < 6; at++) {
    routers.push(
      await lab.startRouter(store, {
        ...{name: `front-${at}`, folder},
        bounds: {retryBudgetSlack: 222, drain: '2500ms', configApply: '2500ms'},
      }),
    );
  }
  const areReady = await lab.until(async () => {
    for (const router of routers) if (!(await router.isReady())) return false;
    return true;
  }, 20_000);
  if (!areReady) throw new Error('routers are not ready');
  const send = async number => {
    const id = `h${number}`;
    const key = (number * 7919) % 65536;
    const answer = await lab.ask(routers[number % routers.length].front, {
      ...{method: 'POST', url: `/handover/${number}`, body: `cart ${number}`},
      headers: {
        ...{Host: lab.HOST, 'Attempt-Id': id, 'Shard-Key': String(key)},
        'Request-Deadline-Ms': '5000',
      },
    });
    record.line(`answered ${id} with ${answer.status} ${answer.error ?? ''}`);
    return {id, ...answer};
  };
  let number = 0;
  const isServing = await lab.until(
    async () => (await send(number++)).status === 200,
    20_000,
  );
  if (!isServing) throw new Error('keys are not served');
  await lab.sleep(3_000);
  const startedAt = Date.now();
  const pending = [];
  while (Date.now() - startedAt < ROUNDS * ROUND_MS) {
    const elapsed = (Date.now() - startedAt) % ROUND_MS;
    isExtra = hasTrouble && elapsed < EXTRA.ms;
    isShedding = hasTrouble && elapsed < SHED.ms;
    pending.push(send(number++));
    await lab.sleep(1000 / PER_SECOND);
  }
  const answers = await Promise.all(pending);
  await lab.sleep(1_000);
  const twice = [...runs].filter(([, servers]) => servers.length > 1);
  const refused = answers.filter(
    ({id, status}) => [408, 421, 429, 503].includes(status) && runs.has(id),
  );
  const served = answers.filter(({status}) => status === 200).length;
  const summary =
    `sent ${answers.length}, served ${served}, shed ${sheds}, extra ${extras}, ` +
    `run twice ${twice.length}, refused and run ${refused.length}`;
  record.line(summary);
  process.stdout.write(`${summary}\n`);
  const isSound = served > answers.length / 4;
  const isBroken = twice.length + refused.length > 0;
  exitCode = isBroken ? 1 : isSound ? 0 : 2;
} catch (err) {
  record.line(String(err.stack));
  process.stdout.write(`${err.stack}\n`);
} finally {
  record.write();
  await lab.endAll(routers, [...backends, store], folder);
}
process.exit(exitCode);
