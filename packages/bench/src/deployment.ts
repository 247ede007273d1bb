import {randomBytes} from 'node:crypto';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createId} from '@banyandrum/base/ids.js';
import {
  createOperatorsClient,
  type OperatorsClient,
} from '@banyandrum/operators/client.js';
import {request} from 'undici';
import {z} from 'zod';
import {startChild, type Child} from './child.js';
import {inventoryToml, settingsToml} from './deployment-files.js';
import {createRelays, type Relays} from './relays.js';

/** A service of the deployment and its stand-in servers. */
export interface ServiceSpec {
  readonly name: string;
  readonly servers: number;
  readonly slots: number;
  readonly connections: number;
  readonly shards: number;
  readonly cells: number;
  readonly checksFences: boolean;
  /** Mean service time, in ms. */
  readonly serviceMs: number;
}

export interface DeploymentSpec {
  readonly routers: number;
  /** Names of data centres; hosts and servers go round them. */
  readonly dataCentres: readonly string[];
  readonly services: readonly ServiceSpec[];
  readonly rulesToml: string;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  readonly onLog?: (router: string, line: string) => void;
  /** Whether connections pass through relays that can be cut. */
  readonly relays?: boolean;
}

export interface ServerAddress {
  readonly name: string;
  readonly service: string;
  readonly address: string;
}

export interface RouterProcess {
  readonly host: string;
  readonly dataCentre: string;
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
  readonly peersListen: string;
  readonly child: Child;
}

/** Stand-ins and routers as separate processes on loopback. */
export interface Deployment {
  /** Addresses at which the stand-ins' faults are set. */
  readonly logControl: string;
  readonly hostListControl: string;
  readonly servers: readonly ServerAddress[];
  /** Routers that run now, by host. */
  readonly routers: ReadonlyMap<string, RouterProcess>;
  readonly token: string;
  readonly relays: Relays;
  /** A client of one router's operators' interface. */
  operatorsOf(host: string): OperatorsClient;
  /** Starts a router on a host, once more if it ran before. */
  startRouter(host: string): Promise<RouterProcess>;
  /** Ends a router by a signal; SIGTERM is a planned stop. */
  endRouter(host: string, signal: NodeJS.Signals): Promise<void>;
  /** Publishes the first inventory and rules. */
  publish(): Promise<void>;
  /** Resolves when a router says that it is ready. */
  ready(host: string, timeoutMs: number): Promise<void>;
  /** Resolves when every shard has an owner. */
  settled(timeoutMs: number): Promise<void>;
  stop(): Promise<void>;
}

const RUN_LOG = scriptPath('@banyandrum/standins/run-log.js');
const RUN_HOST_LIST = scriptPath('@banyandrum/standins/run-host-list.js');
const RUN_SERVERS = scriptPath('@banyandrum/standins/run-servers.js');
const RUN_ROUTER = fileURLToPath(
  new URL('../../router/bin/banyandrum-router.js', import.meta.url),
);

const addressHello = z.object({
  address: z.string(),
  controlAddress: z.string(),
});
const serversHello = z.object({
  servers: z.array(
    z.object({name: z.string(), service: z.string(), address: z.string()}),
  ),
});
const routerHello = z.object({
  callers: z.string(),
  operators: z.string(),
  peers: z.string(),
  peersListen: z.string(),
});

const POLL_MS = 50;

/**
 * Starts stand-ins of the log, the host list and all servers, and the
 * routers, each on a free port of loopback.
 *
 * @example
 * ```ts
 * const deployment = await startDeployment(spec);
 * await deployment.publish();
 * await deployment.settled(10_000);
 * await deployment.stop();
 * ```
 */
export async function startDeployment(
  spec: DeploymentSpec,
): Promise<Deployment> {
  const folder = await mkdtemp(join(tmpdir(), 'banyandrum-'));
  const token = randomBytes(16).toString('hex');
  const [logChild, listChild, serversChild] = await Promise.all([
    startChild({name: 'log', args: [RUN_LOG]}),
    startChild({name: 'host list', args: [RUN_HOST_LIST]}),
    startServers(folder, spec),
  ]);
  const log = addressHello.parse(logChild.hello);
  const hostList = addressHello.parse(listChild.hello);
  const {servers} = serversHello.parse(serversChild.hello);
  const platform = {hostList: hostList.address, token};
  const routers = new Map<string, RouterProcess>();
  const ports = new Map<string, number>();
  const listed = new Map<string, ListedHost>();
  const relays = createRelays(spec.relays ?? false);
  const inventory = await Promise.all(
    servers.map(async server => ({
      ...server,
      address: await relays.add(relays.servers, server.name, server.address),
    })),
  );
  const list = (): Promise<void> =>
    putHosts(hostList.controlAddress, [...listed.values()]);

  const startRouter = async (host: string): Promise<RouterProcess> => {
    const index = hostIndex(host);
    const dataCentre = spec.dataCentres[index % spec.dataCentres.length]!;
    const settings = join(folder, `${host}.toml`);
    const port = ports.get(host) ?? 0;
    const place = {
      host,
      dataCentre,
      port,
      log: await relays.add(relays.logs, host, log.address),
      advertise: await relays.addLate(
        relays.peers,
        host,
        () => `127.0.0.1:${ports.get(host)}`,
      ),
    };
    await writeFile(settings, settingsToml(spec, platform, place));
    const child = await startChild({
      name: host,
      args: [RUN_ROUTER, '--settings', settings],
      onLog: line => spec.onLog?.(host, line),
    });
    const hello = routerHello.parse(child.hello);
    const router = {host, dataCentre, child, ...hello};
    routers.set(host, router);
    ports.set(host, Number(hello.peersListen.split(':')[1]));
    listed.set(host, {
      name: host,
      role: 'router',
      address: hello.peers,
      dataCentre,
      state: 'live',
    });
    await list();
    return router;
  };

  const operatorsOf = (host: string): OperatorsClient =>
    createOperatorsClient({address: routers.get(host)!.operators, token});

  const anyRouter = (): string => [...routers.keys()][0]!;

  const deployment: Deployment = {
    logControl: log.controlAddress,
    hostListControl: hostList.controlAddress,
    servers,
    routers,
    token,
    relays,
    operatorsOf,
    startRouter,
    async endRouter(host, signal) {
      const router = routers.get(host);
      if (router === undefined) return;
      if (signal === 'SIGTERM') {
        listed.set(host, {...listed.get(host)!, state: 'leaving'});
        await list();
      }
      router.child.signal(signal);
      await router.child.exited;
      routers.delete(host);
    },
    async publish() {
      const client = operatorsOf(anyRouter());
      const published = await client.publish({
        changeId: createId(),
        basedOn: 0,
        reason: 'first publication',
        inventoryToml: inventoryToml(spec, inventory),
        rulesToml: spec.rulesToml,
      });
      await client.close();
      if (published.err) throw new Error(published.val.detail);
    },
    ready: (host, timeoutMs) =>
      poll(timeoutMs, `${host} is not ready`, async () => {
        const url = `http://${routers.get(host)!.callers}/readyz`;
        const res = await request(url);
        await res.body.dump();
        return res.statusCode === 200;
      }),
    settled: timeoutMs =>
      poll(timeoutMs, 'not every shard has an owner', () =>
        isSettled(operatorsOf(anyRouter()), spec),
      ),
    async stop() {
      const children = [...routers.values()].map(({child}) => child);
      await endAll(children);
      await endAll([logChild, listChild, serversChild]);
      await relays.close();
      await rm(folder, {recursive: true});
    },
  };

  const hosts = Array.from({length: spec.routers}, (_, i) => `router-${i + 1}`);
  await Promise.all(hosts.map(startRouter));
  return deployment;
}

async function poll(
  timeoutMs: number,
  failure: string,
  isDone: () => Promise<boolean>,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (performance.now() < end) {
    if (await isDone()) return;
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`${failure} after ${timeoutMs} ms`);
}

interface ListedHost {
  readonly name: string;
  readonly role: 'router';
  readonly address: string;
  readonly dataCentre: string;
  readonly state: 'live' | 'leaving';
}

function scriptPath(name: string): string {
  return fileURLToPath(import.meta.resolve(name));
}

function hostIndex(host: string): number {
  return Number(host.slice(host.lastIndexOf('-') + 1)) - 1;
}

async function startServers(
  folder: string,
  spec: DeploymentSpec,
): Promise<Child> {
  const groups = spec.services.map(service => ({
    service: service.name,
    count: service.servers,
    slots: service.slots,
    checksFences: service.checksFences,
    serviceMs: {kind: 'fixed', ms: service.serviceMs},
  }));
  const path = join(folder, 'servers.json');
  await writeFile(path, JSON.stringify({groups}));
  return startChild({name: 'servers', args: [RUN_SERVERS, path]});
}

async function putHosts(
  hostList: string,
  hosts: readonly ListedHost[],
): Promise<void> {
  const res = await request(`http://${hostList}/standin/hosts`, {
    method: 'PUT',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({hosts}),
  });
  const text = await res.body.text();
  if (res.statusCode >= 300) throw new Error(`host list: ${text}`);
}

async function isSettled(
  client: OperatorsClient,
  spec: DeploymentSpec,
): Promise<boolean> {
  const status = await client.status();
  await client.close();
  if (status.err) return false;
  const wanted = spec.services.reduce((sum, {shards}) => sum + shards, 0);
  const shards = status.val.cells.flatMap(cell => cell.shards);
  const owned = shards.filter(({owner}) => owner !== null);
  return owned.length >= wanted;
}

async function endAll(children: readonly Child[]): Promise<void> {
  for (const child of children) child.signal('SIGTERM');
  await Promise.all(children.map(({exited}) => exited));
}
