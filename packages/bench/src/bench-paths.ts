import {startDirect, type DirectServers} from './bench-direct.js';
import {runLoad, type LoadResult, type LoadSpec} from './bench-load.js';
import {formatTable, type Row} from './bench-table.js';
import {readUsage} from './bench-usage.js';
import type {Deployment, RouterProcess, ServiceSpec} from './deployment.js';
import {percentile} from './stats.js';

/** A way for a request to its server, and the routers on it. */
export interface Path {
  readonly name: string;
  readonly addresses: readonly string[];
  readonly prefix: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly routers: readonly RouterProcess[];
}

/** The ways that are compared, with the plain one first. */
export interface Paths {
  readonly all: readonly Path[];
  /** Else the last two paths were not what their names say. */
  isLeaderSame(): Promise<boolean>;
  stop(): Promise<void>;
}

/** The median over rounds; processor time in µs a request, by router. */
export interface Measured {
  readonly path: Path;
  readonly load: LoadResult;
  readonly cpuUs: readonly number[];
}

const KEYS = 500;
const CONCURRENCY = 48;
const RATE_CONCURRENCY = 512;
const ROUNDS = 3;
/** Long enough for the compiler: without it, it is much of what is measured. */
const WARM_MS = 8_000;
const WARM_REQUESTS = 10_000;
const CLOSED_MS = 2_000;
const RATE_MS = 3_000;
const BODY_MS = 1_000;
const MAX_REQUESTS = 40_000;
const BODY_SIZES = [0, 1024, 16 * 1024, 256 * 1024];
const GOAL_PER_SECOND = 5_000;
const GOAL_ADDED_MS = 2;
const US_PER_SECOND = 1e6;

/**
 * Finds an entry that leads the service's cell and one that doesn't, and
 * starts the stand-in server that is asked without a router.
 */
export async function createPaths(
  deployment: Deployment,
  service: ServiceSpec,
): Promise<Paths> {
  const leader = await findLeader(deployment);
  const other = [...deployment.routers.values()].find(
    ({host}) => host !== leader.host,
  )!;
  const direct = await startDirect(service);
  return {
    all: [
      directPath(direct, service),
      routedPath('entry = leader', service, [leader]),
      routedPath('entry, leader', service, [other, leader]),
    ],
    isLeaderSame: async () => (await findLeader(deployment)) === leader,
    stop: () => direct.stop(),
  };
}

/** Prints what the paths bear, and returns what the last of them bears. */
export async function measureSaturation(paths: Paths): Promise<number> {
  const warmUp = {...BASE, durationMs: WARM_MS, maxRequests: WARM_REQUESTS};
  for (const path of paths.all) await send(path, warmUp);
  const measured = await measureAll(paths, BASE);
  print(`${CONCURRENCY} requests in flight, no body`, measured);
  const [, leading, entry] = measured;
  const perProcess = US_PER_SECOND / leading!.cpuUs[0]!;
  say(
    `one router process, by its processor time: ${Math.round(perProcess)} ` +
      'requests/s as entry and leader, ' +
      `${Math.round(US_PER_SECOND / entry!.cpuUs[0]!)} as entry, ` +
      `${Math.round(US_PER_SECOND / entry!.cpuUs[1]!)} as leader; ` +
      `goal ${GOAL_PER_SECOND}`,
  );
  return entry!.load.perSecond;
}

/** Prints what the routers add to the times at half of `perSecond`. */
export async function measureHalf(
  paths: Paths,
  perSecond: number,
): Promise<void> {
  const ratePerSecond = Math.round(perSecond / 2);
  const measured = await measureAll(paths, {
    ...BASE,
    ratePerSecond,
    concurrency: RATE_CONCURRENCY,
    durationMs: RATE_MS,
  });
  print(`${ratePerSecond} requests/s, half of saturation`, measured);
  const added = measured.at(-1)!.load.p99Ms - measured[0]!.load.p99Ms;
  say(`added p99 ${added.toFixed(2)} ms; goal under ${GOAL_ADDED_MS} ms`);
}

/** Prints the cost of bodies, echoed by the server. */
export async function measureBodies(paths: Paths): Promise<void> {
  for (const bodyBytes of BODY_SIZES) {
    const spec = {...BASE, bodyBytes, durationMs: BODY_MS, concurrency: 16};
    const measured: Measured[] = [];
    for (const path of paths.all) {
      measured.push(medianOf(path, [await measure(path, spec)]));
    }
    print(`bodies of ${bodyBytes / 1024} KiB, there and back`, measured);
  }
}

const BASE: Omit<LoadSpec, 'addresses' | 'paths' | 'headers'> = {
  method: 'PUT',
  bodyBytes: 0,
  concurrency: CONCURRENCY,
  ratePerSecond: null,
  durationMs: CLOSED_MS,
  maxRequests: MAX_REQUESTS,
};

type LoadShape = typeof BASE;

async function findLeader({
  routers,
  operatorsOf,
}: Deployment): Promise<RouterProcess> {
  const [host] = routers.keys();
  const client = operatorsOf(host!);
  const status = await client.status();
  await client.close();
  if (status.err) throw new Error(status.val.detail);
  const leader = status.val.cells[0]?.leader;
  const router = routers.get(leader ?? '');
  if (router === undefined) throw new Error('the cell has no leader');
  return router;
}

function directPath(direct: DirectServers, {name}: ServiceSpec): Path {
  const {addresses, headers} = direct;
  const prefix = `/${name}`;
  return {name: 'direct', addresses, prefix, headers, routers: []};
}

function routedPath(
  name: string,
  service: ServiceSpec,
  routers: readonly RouterProcess[],
): Path {
  const addresses = [routers[0]!.callers];
  const prefix = `/v1/${service.name}`;
  return {name, addresses, prefix, headers: {}, routers};
}

/** Takes the paths in turn, so that other work on the machine hits all. */
async function measureAll(
  paths: Paths,
  shape: LoadShape,
): Promise<readonly Measured[]> {
  const rounds: Measured[][] = paths.all.map(() => []);
  for (let round = 0; round < ROUNDS; round++) {
    for (const [at, path] of paths.all.entries()) {
      rounds[at]!.push(await measure(path, shape));
    }
  }
  return paths.all.map((path, at) => medianOf(path, rounds[at]!));
}

async function measure(path: Path, shape: LoadShape): Promise<Measured> {
  const before = await Promise.all(path.routers.map(readUsage));
  const load = await send(path, shape);
  const after = await Promise.all(path.routers.map(readUsage));
  const cpuUs = after.map(({cpuSeconds}, at) => {
    const seconds = cpuSeconds - before[at]!.cpuSeconds;
    return (seconds * US_PER_SECOND) / load.answered;
  });
  return {path, load, cpuUs};
}

function send(path: Path, shape: LoadShape): Promise<LoadResult> {
  const {addresses, headers, prefix} = path;
  const paths = Array.from(
    {length: KEYS},
    (_, key) => `${prefix}/key-${key}/echo`,
  );
  return runLoad({...shape, addresses, paths, headers});
}

function medianOf(path: Path, rounds: readonly Measured[]): Measured {
  const median = (value: (round: Measured) => number): number =>
    percentile(rounds.map(value), 0.5);
  return {
    path,
    load: {
      answered: median(({load}) => load.answered),
      ...failuresOf(rounds.map(({load}) => load)),
      perSecond: median(({load}) => load.perSecond),
      p50Ms: median(({load}) => load.p50Ms),
      p99Ms: median(({load}) => load.p99Ms),
    },
    cpuUs: path.routers.map((_, at) => median(({cpuUs}) => cpuUs[at]!)),
  };
}

/** The failures of all rounds together. */
function failuresOf(
  loads: readonly LoadResult[],
): Pick<LoadResult, 'failed' | 'codes'> {
  const codes: Record<string, number> = {};
  for (const load of loads) {
    for (const [code, times] of Object.entries(load.codes)) {
      codes[code] = (codes[code] ?? 0) + times;
    }
  }
  const failed = loads.reduce((sum, load) => sum + load.failed, 0);
  return {failed, codes};
}

function print(title: string, measured: readonly Measured[]): void {
  const direct = measured[0]!.load;
  const rows = measured.map(({path, load, cpuUs}): Row => {
    const entry = cpuUs[0];
    return {
      path: path.name,
      'requests/s': load.perSecond,
      'of direct': load.perSecond / direct.perSecond,
      'p50 ms': load.p50Ms,
      'p99 ms': load.p99Ms,
      'added p50': load.p50Ms - direct.p50Ms,
      'added p99': load.p99Ms - direct.p99Ms,
      'entry cpu µs': entry ?? '',
      'leader cpu µs': cpuUs.at(-1) ?? '',
      failed: failureText(load),
    };
  });
  say(`\n${title}\n${formatTable(rows)}`);
}

function failureText({failed, codes}: LoadResult): string {
  if (failed === 0) return '0';
  const parts = Object.entries(codes).map(
    ([code, times]) => `${times} ${code}`,
  );
  return parts.join(', ');
}

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}
