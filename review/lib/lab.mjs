/**
 * Starts routers as processes, by the command of the deploy file, with settings
 * made from its template.
 */
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import net from 'node:net';

export const ROOT = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../..',
);

export function sleep(ms) {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}

/** Resolves with true once the condition holds, with false after `ms`. */
export async function until(condition, ms) {
  const end = performance.now() + ms;
  for (;;) {
    if (await condition()) return true;
    if (performance.now() > end) return false;
    await sleep(50);
  }
}

/** Resolves with true once all routers are ready. */
export function untilReady(routers) {
  return until(async () => {
    for (const router of routers) if (!(await router.isReady())) return false;
    return true;
  }, 20_000);
}

/** Fills in a template as DEPLOY.md describes it. */
export function fill(template, fields) {
  const lookUp = (name, scopes) => {
    if (name === '.') return scopes[0].value;
    if (name === '@') return scopes[0].key;
    for (const {value} of scopes) {
      let found = value;
      for (const part of name.split('.')) found = found?.[part];
      if (found !== undefined) return found;
    }
    return undefined;
  };
  const isEmpty = value =>
    value === undefined || value === null || value === false || value === '';
  const render = (text, scopes) => {
    const section = /\{\{#([^}]+)\}\}([\s\S]*?)\{\{\/\1\}\}/;
    const found = section.exec(text);
    if (found) {
      const value = lookUp(found[1], scopes);
      let inner = '';
      if (!isEmpty(value)) {
        const isTable = typeof value === 'object';
        const entries = isTable ? Object.entries(value) : [['', value]];
        inner = entries
          .map(([key, each]) =>
            render(found[2], [{key, value: each}, ...scopes]),
          )
          .join('');
      }
      const before = text.slice(0, found.index);
      const after = text.slice(found.index + found[0].length);
      return render(before, scopes) + inner + render(after, scopes);
    }
    return text.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, name, json) => {
      const value = lookUp(name, scopes);
      if (json) return JSON.stringify(value ?? null);
      if (isEmpty(value)) return '';
      return typeof value === 'object' ? Object.values(value).join(',') : value;
    });
  };
  return render(template, [{key: '', value: fields}]);
}

/** Routers that run: none outlives its case. */
const children = new Set();
for (const name of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
  process.once(name, () => process.exit(2));
}
process.once('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});

function runCommand() {
  const deploy = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"/m.exec(deploy)[1].split(' ');
}

function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** A free loopback address of its own for each router: its metrics' port is fixed. */
function randomHost() {
  const part = () => 2 + Math.floor(Math.random() * 250);
  return `127.${part()}.${part()}.${part()}`;
}

export function makeTempFolder() {
  return fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
}

/** Starts a router; resolves once it is ready. */
export async function startRouter(store, options) {
  const {name, zone = 'a', folder, bounds = {}, contracts, limits} = options;
  const host = options.host ?? randomHost();
  const ports = options.ports ?? {
    front: await freePort(host),
    ready: await freePort(host),
    internal: await freePort(host),
  };
  const fields = {
    node: name,
    zone,
    ip: host,
    bootstrap: options.bootstrap ?? true,
    contracts: contracts ?? [
      ...['base', 'drain', 'config', 'cost', 'retry', 'recover', 'own'],
      'platform',
    ],
    limits: {
      ...{cpuShare: 1, cpuCores: 1, memoryMb: 350, linkMbps: 1000},
      ...limits,
    },
    listen: {
      front: `${host}:${ports.front}`,
      ready: `${host}:${ports.ready}`,
    },
    internalPorts: [ports.internal, ports.internal],
    network: {zones: {a: 'north', b: 'north'}},
    platform: {address: store.address, ttlMin: '1000ms'},
    bounds: {
      ...{configApply: '2000ms', drain: '2000ms', holdMax: '10000ms'},
      ...{grace: '6s', retryBudgetRatio: 0.2, retryBudgetSlack: 58},
      ...{budgetWindow: '10s'},
      ...bounds,
    },
  };
  const template = fs.readFileSync(
    path.join(ROOT, 'deploy/settings.toml.template'),
    'utf8',
  );
  const settings = path.join(folder, `${name}.toml`);
  fs.writeFileSync(settings, fill(template, fields));
  const [command, ...args] = runCommand().map(word =>
    word === '/etc/banyandrum/settings.conf' ? settings : word,
  );
  const log = fs.openSync(path.join(folder, `${name}.log`), 'a');
  const child = spawn(command, args, {
    cwd: ROOT,
    stdio: ['ignore', log, log],
    env: {PATH: process.env.PATH, HOME: process.env.HOME},
  });
  fs.closeSync(log);
  children.add(child);
  child.once('exit', () => children.delete(child));
  const router = {
    ...{name, host, ports, zone, child, folder},
    front: {host, port: ports.front},
    logFile: path.join(folder, `${name}.log`),
    isReady: () =>
      new Promise(resolve => {
        const req = http.get(
          {host, port: ports.ready, path: '/-/readiness', timeout: 500},
          res => {
            res.resume();
            resolve(res.statusCode === 200);
          },
        );
        req.on('timeout', () => req.destroy());
        req.on('error', () => resolve(false));
      }),
    signal: name => child.kill(name),
    isRunning: () => child.exitCode === null && child.signalCode === null,
  };
  return router;
}

/** Sends one request; resolves with what the client saw. */
export function ask(front, options) {
  const {method = 'GET', url, headers, body, timeoutMs = 5000, agent} = options;
  const sentAt = performance.now();
  return new Promise(resolve => {
    let isDone = false;
    const done = result => {
      if (isDone) return;
      isDone = true;
      resolve({...result, tookMs: performance.now() - sentAt, sentAt});
    };
    const req = http.request(
      {...front, method, path: url, headers, agent: agent ?? false},
      res => {
        const chunks = [];
        res.on('data', chunk => chunks.push(chunk));
        res.on('end', () => {
          const text = chunks.join('');
          const isWhole = res.complete;
          done({status: res.statusCode, headers: res.headers, text, isWhole});
        });
        res.on('error', err => done({status: 0, error: err.message}));
      },
    );
    req.on('error', err => done({status: 0, error: err.message}));
    setTimeout(() => {
      done({status: 0, error: 'no answer'});
      req.destroy();
    }, timeoutMs);
    req.end(body);
  });
}

/** Ends all processes, and closes all stand-ins. */
export async function endAll(routers, closables, folder) {
  for (const {child} of routers) {
    child.kill('SIGCONT');
    child.kill('SIGKILL');
  }
  for (const each of closables) each.close();
  await sleep(100);
  if (process.env.KEEP !== '1')
    fs.rmSync(folder, {recursive: true, force: true});
}

/** A configuration as the operator writes it, with one host. */
export function makeConfig(version, services, paths) {
  return {
    version: version.toString(16).padStart(8, '0'),
    services,
    limits: {
      ...{maxHeaderBytes: 16384, maxBodyBytes: 1048576},
      ...{headerTimeout: '5000ms', idleTimeout: '15000ms'},
    },
    hosts: [{host: HOST, paths}],
  };
}

export const HOST = 'desk.example';

/** A route as the operator writes it. */
export function makeRoute(name, kind, service, timeoutMs, more = {}) {
  return {
    ...{name, pathPrefix: `/${name}/`, kind, service, priority: 1},
    ...{timeout: `${timeoutMs}ms`, targetLatency: `${timeoutMs / 2}ms`},
    ...{maxAttempts: 2, ...more},
  };
}

/** Writes `record.txt` of a case: what was sent, answered and run. */
export function createRecord(folder) {
  const startedAt = performance.now();
  const lines = [];
  return {
    line(text) {
      const at = ((performance.now() - startedAt) / 1000).toFixed(3);
      lines.push(`${at.padStart(8)} ${text}`);
    },
    write() {
      fs.writeFileSync(
        path.join(folder, 'record.txt'),
        lines.join('\n') + '\n',
      );
    },
  };
}
