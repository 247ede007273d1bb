import {fileURLToPath} from 'node:url';
import {createClock} from '@banyandrum/base/clock.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import {encodeRecord} from '@banyandrum/config/codec.js';
import {createStateStore} from '@banyandrum/config/log-store.js';
import {createHostListClient} from '@banyandrum/hosts/http-client.js';
import type {LogClient} from '@banyandrum/log/client.js';
import {createLogClient} from '@banyandrum/log/http-client.js';
import {request} from 'undici';
import {startChild} from './child.js';
import type {Series} from './slopes-fit.js';
import {claimAt, hostOf, routerAt} from './slopes-fixture.js';
import {pause, readOwn, sweep} from './slopes-sweep.js';

const LISTS = 5;
const APPENDS_AT_ONCE = 50;
const IDLE_S = 3;

const clock = createClock();
const log = createSilentLogger();

interface Addresses {
  readonly address: string;
  readonly controlAddress: string;
}

/** Reading the host list and the log. */
export async function measurePlatform(): Promise<readonly Series[]> {
  const own = readOwn();
  const read = async () => [own()];
  const [list, logs] = await Promise.all([
    startChild({name: 'host list', args: [script('run-host-list')]}),
    startChild({name: 'log', args: [script('run-log')]}),
  ]);
  const {address, controlAddress} = list.hello as Addresses;
  const hosts = createHostListClient({address, timeoutMs: 5_000});
  const openLog = (stream: string): LogClient =>
    createLogClient({
      address: (logs.hello as Addresses).address,
      stream,
      timeoutMs: 1_000,
      maxRecordBytes: 1 << 20,
      clock,
    });
  const sweeps = [
    {
      name: 'host list',
      of: 'hosts',
      sizes: [300, 1_000, 2_000, 4_700],
      per: LISTS,
      async open(size: number) {
        await putHosts(controlAddress, size);
        return {
          async run() {
            for (let i = 0; i < LISTS; i++) await hosts.list();
          },
        };
      },
    },
    {
      name: 'poll',
      of: 'polls/s',
      sizes: [4, 10, 20],
      per: IDLE_S,
      unit: '/s',
      open(size: number) {
        const waitMs = 1_000 / size;
        const client = openLog('empty');
        const store = createStateStore({client, clock, log, waitMs});
        return {run: () => pause(IDLE_S * 1_000), close: store.close};
      },
    },
    {
      name: 'records',
      of: 'records',
      sizes: [1_000, 2_000, 4_000],
      per: 1,
      async open(size: number) {
        const client = openLog(`records-${size}`);
        await fill(client, size);
        return {run: () => readAll(client, size)};
      },
    },
  ];
  const all: Series[] = [];
  for (const one of sweeps) all.push(...(await sweep(read, [''], one)));
  await hosts.close();
  for (const child of [list, logs]) child.signal('SIGTERM');
  await Promise.all([list.exited, logs.exited]);
  return all;
}

async function putHosts(address: string, count: number): Promise<void> {
  const hosts = Array.from({length: count}, (_, i) => hostOf(routerAt(i)));
  const res = await request(`http://${address}/standin/hosts`, {
    method: 'PUT',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({hosts}),
  });
  await res.body.dump();
  if (res.statusCode >= 300) throw new Error(`status ${res.statusCode}`);
}

/** Claims of one cell each, none of which finds its cell's epoch. */
async function fill(client: LogClient, records: number): Promise<void> {
  const routers = [routerAt(0), routerAt(1)];
  const claims = [{...claimAt(routers, 0), previous: Number.MAX_SAFE_INTEGER}];
  for (let i = 0; i < records; i += APPENDS_AT_ONCE) {
    const batch = Array.from({length: APPENDS_AT_ONCE}, async () => {
      const data = encodeRecord({kind: 'views', claims});
      const appended = await client.append(data);
      if (appended.err) throw new Error(appended.val.detail);
    });
    await Promise.all(batch);
  }
}

async function readAll(client: LogClient, records: number): Promise<void> {
  const store = createStateStore({client, clock, log});
  while (store.current().next <= records) await pause(5);
  await store.close();
}

function script(name: string): string {
  return fileURLToPath(import.meta.resolve(`@banyandrum/standins/${name}.js`));
}
