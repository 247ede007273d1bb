import {cellOfKey} from '@banyandrum/base/hash.js';
import type {Result} from '@banyandrum/base/result.js';
import {createId} from '@banyandrum/base/ids.js';
import type {OperatorsClient} from '@banyandrum/operators/client.js';
import {Agent, request} from 'undici';
import {startChild} from './child.js';
import {startDeployment, type Deployment} from './deployment.js';
import {fitSeries, type Point, type Series} from './slopes-fit.js';
import {atRate, pause, readChild, sweep} from './slopes-sweep.js';

const SERVICE = 'load';
const ROUTERS = 6;
const SHARDS = 96;
const SETTLE_MS = 20_000;
const IDLE_S = 5;
const LOAD_S = 2.5;
const LOSSES = 3;
const LOSS_MS = 5_000;
const KEYS = 2_000;
/** More refused requests than this would make the figures worthless. */
const MAX_REFUSED_SHARE = 0.01;

/** Whole router processes: idle, under load, and after a loss. */
export async function measureProcesses(): Promise<readonly Series[]> {
  const bare = await measureBare();
  const deployment = await startDeployment({
    routers: ROUTERS,
    dataCentres: ['centre-1', 'centre-2', 'centre-3'],
    services: [
      {
        name: SERVICE,
        servers: 12,
        slots: 16,
        connections: 110,
        shards: SHARDS,
        cells: ROUTERS,
        checksFences: true,
        serviceMs: 1,
      },
    ],
    rulesToml: '',
    logLevel: 'error',
  });
  try {
    await deployment.publish();
    await deployment.settled(SETTLE_MS);
    return [
      ...bare,
      ...(await measureIdle(deployment)),
      ...(await measureLoad(deployment)),
      await measureLosses(deployment),
    ];
  } finally {
    await deployment.stop();
  }
}

async function measureBare(): Promise<readonly Series[]> {
  const args = ['-e', 'console.log("{}"); setInterval(() => {}, 1e6)'];
  const child = await startChild({name: 'bare', args});
  const series = await sweep(async () => [readChild(child.pid)], [''], {
    ...{
      name: 'bare runtime',
      of: 'processes',
      sizes: [1],
      per: 1,
      memory: true,
    },
    open: () => ({run: () => pause(500)}),
  });
  child.signal('SIGTERM');
  await child.exited;
  return series;
}

function measureIdle(deployment: Deployment): Promise<readonly Series[]> {
  const routers = [...deployment.routers.values()];
  const read = async () => routers.map(({child}) => readChild(child.pid));
  const sides = routers.map((_, i) => (i === 0 ? '' : `${i + 1} `));
  return sweep(read, sides, {
    ...{
      name: 'idle router',
      of: 'processes',
      sizes: [1],
      unit: '/s',
      memory: true,
    },
    per: IDLE_S,
    open: () => ({run: () => pause(IDLE_S * 1_000)}),
  });
}

/** Requests that enter at one router for cells that another leads. */
async function measureLoad(deployment: Deployment): Promise<readonly Series[]> {
  const {cells} = await ask(deployment, client => client.status());
  const {leader, standby} = cells[0]!;
  const led = new Set(cells.filter(c => c.leader === leader).map(c => c.cell));
  const entry = [...deployment.routers.values()].find(
    ({host}) => host !== leader && host !== standby,
  )!;
  const keys = Array.from({length: KEYS}, () => createId()).filter(key =>
    led.has(cellOfKey(SERVICE, key, SHARDS, ROUTERS)),
  );
  const sides = [entry, deployment.routers.get(leader!)!];
  const read = async () => sides.map(({child}) => readChild(child.pid));
  return sweep(read, ['entry ', 'leader '], {
    name: 'request',
    of: 'requests/s',
    // Few requests share no wake-ups, so the cost of one falls with the rate.
    sizes: [500, 1_000, 2_000, 3_000],
    per: LOAD_S,
    unit: '/s',
    open(rate) {
      const agent = new Agent({connections: 64, pipelining: 1});
      const send = async (index: number): Promise<number> => {
        const path = `v1/${SERVICE}/${keys[index % keys.length]!}/echo`;
        const res = await request(`http://${entry.callers}/${path}`, {
          dispatcher: agent,
          method: 'PUT',
          body: 'x'.repeat(128),
        });
        await res.body.dump();
        return res.statusCode;
      };
      return {
        async run() {
          const statuses = await atRate(rate, LOAD_S * 1_000, send);
          const refused = statuses.filter(status => status !== 200).length;
          if (refused > statuses.length * MAX_REFUSED_SHARE) {
            throw new Error(`${refused} of ${statuses.length} refused`);
          }
        },
        close: () => agent.close(),
      };
    },
  });
}

/** Records that losing a router brings into the log, by its roles. */
async function measureLosses(deployment: Deployment): Promise<Series> {
  const points: Point[] = [];
  const next = async (): Promise<number> =>
    (await ask(deployment, client => client.state())).next;
  for (let i = 0; i < LOSSES; i++) {
    const host = [...deployment.routers.keys()].at(-1)!;
    const {cells} = await ask(deployment, client => client.status());
    const roles = cells.filter(
      ({leader, standby}) => leader === host || standby === host,
    );
    const before = await next();
    await deployment.endRouter(host, 'SIGKILL');
    await pause(LOSS_MS);
    points.push({x: roles.length, y: (await next()) - before});
  }
  return fitSeries('loss appends', 'roles', 'records', points);
}

async function ask<Value, Problem>(
  deployment: Deployment,
  question: (client: OperatorsClient) => Promise<Result<Value, Problem>>,
): Promise<Value> {
  const [host] = deployment.routers.keys();
  const client = deployment.operatorsOf(host!);
  const answer = await question(client);
  await client.close();
  if (answer.err) throw new Error(JSON.stringify(answer.val));
  return answer.val;
}
