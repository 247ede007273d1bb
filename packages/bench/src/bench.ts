import {availableParallelism, loadavg} from 'node:os';
import {parseArgs} from 'node:util';
import {
  createPaths,
  measureBodies,
  measureHalf,
  measureSaturation,
} from './bench-paths.js';
import {measurePublish} from './bench-publish.js';
import {formatTable} from './bench-table.js';
import {readUsage} from './bench-usage.js';
import {
  startDeployment,
  type Deployment,
  type DeploymentSpec,
  type ServiceSpec,
} from './deployment.js';
import {specOf} from './specs.js';

/*
 * Measures what routers cost, on loopback, beside the same load straight to a
 * stand-in server. Bounded in count and time, under three minutes.
 *
 *     npm run bench                    everything
 *     npm run bench -- --only paths    paths, idle or publish alone
 *     npm run bench -- --routers 2     processes for paths and idle
 *
 * Processor time holds on a busy machine; times and rates only compare within
 * one run.
 */

const ROUTERS = 4;
const PUBLISH_ROUTERS = 12;
const SETTLE_MS = 30_000;
const IDLE_MS = 10_000;
const MS_PER_SECOND = 1000;
const MIB = 1024 * 1024;

/** Answers at once, so that nothing hides the routers' part. */
const SERVICE: ServiceSpec = {
  name: 'lookups',
  servers: 8,
  slots: 8,
  connections: 110,
  serviceMs: 0,
  shards: 64,
  cells: 1,
  checksFences: true,
};

type Section = 'paths' | 'idle' | 'publish';

async function main(): Promise<void> {
  const {values} = parseArgs({
    options: {
      only: {type: 'string'},
      routers: {type: 'string', default: String(ROUTERS)},
    },
  });
  const isAsked = (section: Section): boolean =>
    values.only === undefined || values.only === section;
  const [load] = loadavg();
  say(`${availableParallelism()} cores, load ${load!.toFixed(1)}`);
  if (isAsked('paths') || isAsked('idle')) {
    await withDeployment(Number(values.routers), async deployment => {
      if (isAsked('idle')) await measureIdle(deployment);
      if (isAsked('paths')) await measurePaths(deployment);
    });
  }
  if (isAsked('publish')) {
    await withDeployment(PUBLISH_ROUTERS, measurePublish);
  }
}

async function withDeployment(
  routers: number,
  measure: (deployment: Deployment) => Promise<void>,
): Promise<void> {
  const common = specOf('board', routers);
  const spec: DeploymentSpec = {
    ...common,
    services: [SERVICE],
    rulesToml: '',
  };
  const deployment = await startDeployment(spec);
  try {
    await deployment.publish();
    await deployment.settled(SETTLE_MS);
    await measure(deployment);
  } finally {
    await deployment.stop();
  }
}

async function measurePaths(deployment: Deployment): Promise<void> {
  const paths = await createPaths(deployment, SERVICE);
  try {
    const perSecond = await measureSaturation(paths);
    await measureHalf(paths, perSecond);
    await measureBodies(paths);
    if (await paths.isLeaderSame()) return;
    say('the leader moved meanwhile: figures of both routed paths are mixed');
  } finally {
    await paths.stop();
  }
}

async function measureIdle({routers}: Deployment): Promise<void> {
  const all = [...routers.values()];
  const before = await Promise.all(all.map(readUsage));
  await new Promise(resolve => setTimeout(resolve, IDLE_MS));
  const after = await Promise.all(all.map(readUsage));
  const rows = all.map(({host}, at) => {
    const used = after[at]!.cpuSeconds - before[at]!.cpuSeconds;
    return {
      router: host,
      'cpu ms/s': (used * MS_PER_SECOND) / (IDLE_MS / MS_PER_SECOND),
      'resident MiB': after[at]!.residentBytes / MIB,
    };
  });
  say(`\nidle for ${IDLE_MS / MS_PER_SECOND} s\n${formatTable(rows)}`);
}

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

await main();
