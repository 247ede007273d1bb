import {fileURLToPath} from 'node:url';
import {createClock} from '@banyandrum/base/clock.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import {encodeRecord} from '@banyandrum/config/codec.js';
import {createStateStore} from '@banyandrum/config/log-store.js';
import type {StateStore} from '@banyandrum/config/store.js';
import {createLogClient} from '@banyandrum/log/http-client.js';
import type {LogClient} from '@banyandrum/log/client.js';
import {startChild} from './child.js';
import {fitSeries, type Series} from './slopes-fit.js';
import {claimAt, routerAt} from './slopes-fixture.js';
import {costOf, countBytes, ownUsage, pause} from './slopes-probe.js';

const RUN_LOG = fileURLToPath(
  import.meta.resolve('@banyandrum/standins/run-log.js'),
);
const WAITS_MS = [250, 100, 50];
const RECORDS = [1_000, 2_000, 4_000];
const APPENDS_AT_ONCE = 32;
const REPEATS = 2;
const PERIOD_MS = 4_000;

const clock = createClock();
const log = createSilentLogger();

/** Reading the log: polls at its end, and records that come by. */
export async function measureLog(): Promise<readonly Series[]> {
  const bytes = countBytes();
  const child = await startChild({name: 'log', args: [RUN_LOG]});
  const {address} = child.hello as {readonly address: string};
  const newClient = (stream: string): LogClient =>
    createLogClient({
      address,
      stream,
      timeoutMs: 1_000,
      maxRecordBytes: 1 << 20,
      clock,
    });
  try {
    return [
      ...(await measurePolls(newClient, bytes)),
      ...(await measureRecords(newClient, bytes)),
    ];
  } finally {
    child.signal('SIGTERM');
    await child.exited;
  }
}

type NewClient = (stream: string) => LogClient;

async function measurePolls(
  newClient: NewClient,
  bytes: () => number,
): Promise<readonly Series[]> {
  const rows: {x: number; cpuUs: number; bytes: number}[] = [];
  for (const waitMs of WAITS_MS) {
    const client = newClient('empty');
    const store = createStateStore({client, clock, log, waitMs});
    await pause(500);
    for (let i = 0; i < REPEATS; i++) {
      const before = ownUsage(bytes);
      await pause(PERIOD_MS);
      const after = ownUsage(bytes);
      const cost = costOf(before, after, PERIOD_MS / 1_000);
      rows.push({x: 1_000 / waitMs, ...cost});
    }
    await store.close();
    await client.close();
  }
  return [
    fitSeries('poll cpu', 'polls/s', 'us/s', pick(rows, 'cpuUs')),
    fitSeries('poll bytes', 'polls/s', 'B/s', pick(rows, 'bytes')),
  ];
}

async function measureRecords(
  newClient: NewClient,
  bytes: () => number,
): Promise<readonly Series[]> {
  const rows: {x: number; cpuUs: number; bytes: number}[] = [];
  for (const records of RECORDS) {
    const stream = `records-${records}`;
    const client = newClient(stream);
    await fill(client, records);
    for (let i = 0; i < REPEATS; i++) {
      const before = ownUsage(bytes);
      const store = createStateStore({client, clock, log});
      await caughtUp(store, records);
      const after = ownUsage(bytes);
      rows.push({x: records, ...costOf(before, after, 1)});
      await store.close();
    }
    await client.close();
  }
  return [
    fitSeries('record cpu', 'records', 'us', pick(rows, 'cpuUs')),
    fitSeries('record bytes', 'records', 'B', pick(rows, 'bytes')),
  ];
}

function pick(
  rows: readonly {
    readonly x: number;
    readonly cpuUs: number;
    readonly bytes: number;
  }[],
  key: 'cpuUs' | 'bytes',
): readonly {readonly x: number; readonly y: number}[] {
  return rows.map(row => ({x: row.x, y: row[key]}));
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

async function caughtUp(store: StateStore, records: number): Promise<void> {
  while (store.current().next <= records) await pause(20);
}
