import {createHash} from 'node:crypto';
import {request} from 'undici';
import {createId} from '@banyandrum/base/ids.js';
import {parseSettings, type Settings} from '@banyandrum/config/settings.js';
import {createOperatorsClient} from '@banyandrum/operators/client.js';
import {
  createHostListStandin,
  type HostListStandin,
} from '@banyandrum/standins/host-list.js';
import {createLogStandin, type LogStandin} from '@banyandrum/standins/log.js';
import {
  createServerStandin,
  type ServerStandin,
} from '@banyandrum/standins/server.js';

export const TOKEN = 'test-token';

/** Stand-ins of a platform with one service `holds` of two servers. */
export interface Platform {
  readonly log: LogStandin;
  readonly hosts: HostListStandin;
  readonly servers: readonly ServerStandin[];
  /** Puts a router on the host list. */
  list(name: string, address: string): void;
  /** Resolves once the servers have begun to execute so many requests. */
  started(count: number): Promise<void>;
  close(): Promise<void>;
}

export interface PlatformOptions {
  /** Service time of the servers, in ms. */
  readonly slowMs?: number;
}

const LOOK_MS = 2;

export async function startPlatform({
  slowMs = 0,
}: PlatformOptions = {}): Promise<Platform> {
  const log = await createLogStandin();
  const hosts = await createHostListStandin();
  const serviceMs = {kind: 'fixed', ms: slowMs} as const;
  const options = {service: 'holds', slots: 4, checksFences: true, serviceMs};
  const servers = await Promise.all(
    ['holds-1', 'holds-2'].map(name =>
      createServerStandin({...options, name, state: new Map()}),
    ),
  );
  return {
    log,
    hosts,
    servers,
    list(name, address) {
      const host = {name, address, dataCentre: 'vadaj'};
      hosts.set({...host, role: 'router', state: 'live'});
    },
    async started(count) {
      const begun = (): number =>
        servers.flatMap(server => server.executions()).length;
      while (begun() < count) {
        await new Promise(resolve => setTimeout(resolve, LOOK_MS));
      }
    },
    async close() {
      await Promise.all(servers.map(server => server.close()));
      await hosts.close();
      await log.close();
    },
  };
}

/** Settings of a router on free ports, as its file would say them. */
export function settingsToml(platform: Platform, host: string): string {
  const sha256 = createHash('sha256').update(TOKEN).digest('hex');
  return `
router = {host = "${host}", place = "vadaj", data_centre = "vadaj"}
callers = {listen = "127.0.0.1:0"}
peers = {listen = "127.0.0.1:0"}
log = {address = "${platform.log.address}"}
host_list = {address = "${platform.hosts.address}", poll_ms = 50}
logging = {level = "error"}
[operators]
listen = "127.0.0.1:0"
tokens = [{operator = "night desk", role = "publisher", sha256 = "${sha256}"}]
`;
}

export function settingsOf(platform: Platform, host: string): Settings {
  return parseSettings(settingsToml(platform, host)).unwrap();
}

/** Publishes the first inventory through a router. */
export async function publishFirst(
  platform: Platform,
  operators: string,
): Promise<void> {
  const servers = platform.servers.map(
    ({name, address}) => `[[servers]]
name = "${name}"
service = "holds"
place = "vadaj"
address = "${address}"
slots = 4
connections = 16`,
  );
  const client = createOperatorsClient({address: operators, token: TOKEN});
  const published = await client.publish({
    changeId: createId(),
    basedOn: 0,
    reason: 'first',
    inventoryToml: `[[places]]
name = "vadaj"
data_centre = "vadaj"
[[services]]
name = "holds"
shards = 8
cells = 1
checks_fences = true
${servers.join('\n')}`,
    rulesToml: '[[precedence]]\nname = "holds"\nage_after_ms = 5000\n',
  });
  await client.close();
  published.unwrap();
}

/** Resolves once the router says that it is ready. */
export async function untilReady(callers: string): Promise<void> {
  for (;;) {
    const res = await request(`http://${callers}/readyz`);
    await res.body.dump();
    if (res.statusCode === 200) return;
    await new Promise(resolve => setTimeout(resolve, LOOK_MS));
  }
}
