/**
 * Servers of a service with keys turn away some orders, and some send an answer
 * a second time, at the point where the next answer is expected. The router
 * sends a refused order again to the same server under the same Attempt-Id, on
 * the same connection, and takes the second copy of the refusal for the answer.
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
/** `garble` "extra late" and `srv_grey` "shed all", at most as in the site file. */
const EXTRA = {share: 0.03, servers: 0.6, ms: 5_000};
const SHED = {share: 0.15, ms: 8_500};
const SERVERS = 10;
const ROUNDS = 8;
const ROUND_MS = 10_000;
const PER_SECOND = 120;
const WORK_MS = 120;
/** Answers that promise that the order has not run and never will. */
const PROMISES = [408, 421, 429, 503];

const record = lab.createRecord(HERE);
const folder = lab.makeTempFolder();
const store = await startStore();
const backends = [];
const routers = [];
const runs = new Map();
const answers = new Map();
const trouble = {isExtra: false, isShedding: false};
const counts = {extra: 0, refused: 0};
let number = 0;

const startServer = async at => {
  const id = `i-${at}`;
  const backend = await startBackend(store, {
    ...{id, service: 'ledger-view', isKeyed: true, slots: 4, workMs: WORK_MS},
    onRun({request}) {
      const attempt = request.headers['attempt-id'];
      runs.set(attempt, [...(runs.get(attempt) ?? []), id]);
      record.line(`run      ${attempt} at ${id}`);
    },
  });
  const isFaulty = at < SERVERS * EXTRA.servers;
  backend.hooks.before = request => {
    if (!trouble.isShedding || Math.random() >= SHED.share) return null;
    counts.refused++;
    record.line(`refused  ${request.headers['attempt-id']} by ${id}`);
    return {status: 503, headers: ['Not-Executed', '1']};
  };
  backend.hooks.write = (connection, bytes, request, {status}) => {
    const attempt = request.headers['attempt-id'];
    const isDue = isFaulty && trouble.isExtra && attempt !== undefined;
    if (isDue && Math.random() < EXTRA.share)
      connection.extra = {bytes, status, of: attempt};
    connection.socket.write(bytes);
  };
  backend.hooks.onArrival = (connection, request) => {
    const {extra} = connection;
    if (!extra) return;
    connection.extra = null;
    counts.extra++;
    const next = request.headers['attempt-id'] ?? request.path;
    record.line(
      `extra    ${id} sends the ${extra.status} of ${extra.of} again, ` +
        `where the answer to ${next} is expected`,
    );
    connection.socket.write(extra.bytes);
  };
  backends.push(backend);
};

const send = async () => {
  const attempt = `q${number++}`;
  const {front} = routers[number % routers.length];
  record.line(`sent     ${attempt}`);
  const answer = await lab.ask(front, {
    ...{method: 'PUT', url: `/settle/${attempt}`, body: 'x'.repeat(300)},
    headers: {
      ...{Host: lab.HOST, 'Attempt-Id': attempt},
      'Shard-Key': String(Math.floor(Math.random() * 65536)),
      'Request-Deadline-Ms': '4000',
    },
  });
  answers.set(attempt, answer.status);
  record.line(`answered ${attempt} with ${answer.status}`);
  return answer;
};

const playRound = async () => {
  trouble.isShedding = hasTrouble;
  await lab.sleep(1_000);
  trouble.isExtra = hasTrouble;
  await lab.sleep(EXTRA.ms);
  trouble.isExtra = false;
  await lab.sleep(SHED.ms - EXTRA.ms - 1_000);
  trouble.isShedding = false;
  await lab.sleep(ROUND_MS - SHED.ms);
};

let exitCode = 2;
try {
  store.put(
    'keyed.op',
    'config',
    lab.makeConfig(
      1,
      [{name: 'ledger-view', maxConnections: 120, sharded: true}],
      [lab.makeRoute('settle', 'unsafe', 'ledger-view', 2_000)],
    ),
  );
  for (let at = 0; at < SERVERS; at++) await startServer(at);
  for (let at = 0; at < 3; at++)
    routers.push(await lab.startRouter(store, {name: `front-${at}`, folder}));
  if (!(await lab.untilReady(routers))) throw new Error('routers not ready');
  const isServing = async () => (await send()).status === 200;
  if (!(await lab.until(isServing, 20_000)))
    throw new Error('keys are not served');
  await lab.sleep(2_000);
  const pending = [];
  const startedAt = performance.now();
  const endAt = startedAt + ROUNDS * ROUND_MS;
  const rounds = (async () => {
    for (let round = 0; round < ROUNDS; round++) await playRound();
  })();
  while (performance.now() < endAt) {
    pending.push(send());
    await lab.sleep(1_000 / PER_SECOND);
  }
  await rounds;
  await Promise.all(pending);
  await lab.sleep(500);
  const twice = [...runs].filter(([, at]) => at.length > 1);
  const denied = [...answers].filter(
    ([attempt, status]) => PROMISES.includes(status) && runs.has(attempt),
  );
  for (const [attempt, at] of twice)
    record.line(`BROKEN   TWICE ${attempt} ran at ${at.join(' and ')}`);
  for (const [attempt, status] of denied)
    record.line(`BROKEN   REFUSED ${attempt} ran, and was told ${status}`);
  const served = [...answers.values()].filter(each => each === 200).length;
  const summary =
    `sent ${answers.size}, served ${served}, refused by servers ` +
    `${counts.refused}, sent again by servers ${counts.extra}, run twice ` +
    `${twice.length}, told "not run" and run ${denied.length}`;
  record.line(summary);
  process.stdout.write(`${summary}\n`);
  const isBroken = twice.length > 0 || denied.length > 0;
  const isSound = served > answers.size / 2;
  exitCode = isBroken ? 1 : isSound ? 0 : 2;
} catch (err) {
  record.line(String(err.stack));
  process.stdout.write(`${err.stack}\n`);
} finally {
  record.write();
  await lab.endAll(routers, [...backends, store], folder);
}
process.exit(exitCode);
