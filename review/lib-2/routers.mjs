/* Starts the project's store stand-in and router processes on loopback. */
/* global performance */
import {spawn} from 'node:child_process';
import {closeSync, mkdtempSync, openSync, rmSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {startStore} from '../../target/review-2/store-standin.mjs';

export {sleep, startStore};

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
/** The command of deploy/system.toml, without the path of the settings. */
const COMMAND = [
  '--max-old-space-size=200',
  '--max-semi-space-size=2',
  '--liftoff-only',
  '--wasm-lazy-compilation',
  'target/banyandrum-router.cjs',
];
/** Memory of a machine, in MB, as on the users' smaller sites. */
export const MEMORY_MB = 350;

const folder = mkdtempSync(join(tmpdir(), 'review-2-'));
const running = new Set();
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
  rmSync(folder, {recursive: true, force: true});
});
for (const signal of ['SIGTERM', 'SIGINT'])
  process.on(signal, () => process.exit(2));

/** Below the ports that the kernel gives to outgoing connections. */
const FIRST_PORT = 12_000;
const PORTS = 18_000;

const isFree = port =>
  new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

const taken = new Set();

/** Returns free ports, none of them twice. */
export async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (taken.has(port) || !(await isFree(port))) continue;
    taken.add(port);
    ports.push(port);
  }
  return ports;
}

/** A router whose process can be started again; `exits` has its own ends. */
export async function createRouter(name, zone, storeAddress) {
  const ports = await freePorts(4);
  const [callers, readiness, peers, metrics] = ports.map(
    port => `127.0.0.1:${port}`,
  );
  const settingsPath = join(folder, `${name}.conf`);
  const logPath = join(folder, `${name}.log`);
  const router = {
    ...{name, callers, readiness, logPath},
    pid: null,
    exits: [],
    starts: 0,
    start() {
      writeFileSync(
        settingsPath,
        `[host]
name = "${name}"
data_centre = "${zone}"
processor_share = 0.54
processor_speed = 1
link_mbps = 1000.0
memory_mb = ${MEMORY_MB}

[listen]
callers = "${callers}"
readiness = "${readiness}"
peers = "${peers}"
metrics = "${metrics}"

[platform]
address = "${storeAddress}"
${router.starts === 0 ? 'first_start = true\n' : ''}contracts = "base,drain,config,cost,retry,recover,own,platform"
silence_min = "1000ms"

[configuration]
apply_within = "2000ms"

[servers]
leave_within = "2000ms"
hold_max = "10000ms"

[stop]
grace = "6s"

[retries]
ratio = 0.2
slack = 58
window = "10s"

[regions]
a = "north"
b = "north"
`,
      );
      const log = openSync(logPath, 'a');
      const child = spawn('node', [...COMMAND, settingsPath], {
        cwd: ROOT,
        stdio: ['ignore', log, log],
        env: {PATH: process.env.PATH, HOME: process.env.HOME},
      });
      closeSync(log);
      running.add(child);
      router.starts++;
      router.pid = child.pid;
      child.once('exit', (code, signal) => {
        running.delete(child);
        router.pid = null;
        router.exits.push({code, signal});
      });
    },
  };
  return router;
}

/** Resolves with whether the router says in time that it is ready. */
export async function isReadyWithin(router, ms) {
  const [host, port] = router.readiness.split(':');
  const ask = () =>
    new Promise(resolve => {
      const req = get({host, port, agent: false, timeout: 500}, res => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(false));
    });
  const end = performance.now() + ms;
  while (performance.now() < end) {
    if (await ask()) return true;
    await sleep(50);
  }
  return false;
}

/** Writes a configuration as the operator does. */
export function putConfig(store, version, services, routes, limits = {}) {
  const config = {
    version: version.toString(16).padStart(8, '0'),
    services: services.map(each => ({
      ...{healthPath: '/health', maxConnections: 110},
      ...each,
    })),
    limits: {
      ...{maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864},
      ...{headerTimeout: '3000ms', idleTimeout: '15000ms'},
      ...limits,
    },
    hosts: [
      {
        host: 'entry.example',
        paths: routes.map(each => ({
          ...{timeout: '8000ms', targetLatency: '2000ms'},
          ...{priority: 1, maxAttempts: 2},
          ...each,
        })),
      },
    ],
  };
  store.put('keyed.op', 'config', JSON.stringify(config));
}
