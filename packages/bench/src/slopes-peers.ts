import {fileURLToPath} from 'node:url';
import {createClock} from '@banyandrum/base/clock.js';
import {createId, type Incarnation} from '@banyandrum/base/ids.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import type {Result} from '@banyandrum/base/result.js';
import {createPeers, type Peers} from '@banyandrum/routers/peers.js';
import {startChild} from './child.js';
import {fitSeries, type Point, type Series} from './slopes-fit.js';
import {cellAt} from './slopes-fixture.js';
import {
  type PeerControl,
  peerSchemas,
  type PeerHostHello,
} from './slopes-peer-control.js';
import {
  costOf,
  countBytes,
  ownUsage,
  pause,
  type Cost,
  type Usage,
} from './slopes-probe.js';

const HOST = fileURLToPath(new URL('./slopes-peer-host.js', import.meta.url));

const CONSENT_CELLS = [1, 16, 64, 256];
const TABLE_SHARDS = [64, 256, 1_024];
const STATE_KILOBYTES = [10, 100, 500];
const REQUEST_RATES = [500, 1_000, 2_000];
const STREAMS = [10, 50, 200];
const REPEATS = 2;
const ASKS = 300;
const STATE_ASKS = 10;
const LOAD_MS = 1_500;
const IDLE_MS = 4_000;
const ASK_MS = 5_000;
const WARM_UP = 1_000;

const clock = createClock();
const log = createSilentLogger();

/** Both ends of a stream between two routers, each in its own process. */
interface Pair {
  readonly host: Incarnation;
  readonly peers: Peers<PeerControl>;
  newPeers(): Peers<PeerControl>;
  /** What this side and the other one have used. */
  usage(): Promise<{readonly own: Usage; readonly other: Usage}>;
}

/** Messages, requests and streams between two routers. */
export async function measurePeers(): Promise<readonly Series[]> {
  const bytes = countBytes();
  const child = await startChild({
    name: 'peer',
    args: ['--expose-gc', HOST],
  });
  const host = child.hello as PeerHostHello;
  const newPeers = (): Peers<PeerControl> => {
    const self: Incarnation = {...host, host: createId(), boot: createId()};
    return createPeers<PeerControl>({
      self: () => self,
      schemas: peerSchemas,
      log,
    });
  };
  const peers = newPeers();
  const usage: Pair['usage'] = async () => {
    const asked = await peers.ask(host, 'usage', {}, ASK_MS);
    return {own: ownUsage(bytes), other: unwrap(asked)};
  };
  const pair = {host, peers, newPeers, usage};
  try {
    return [
      ...(await measureStreams(pair)),
      ...(await measureConsent(pair)),
      ...(await measureTable(pair)),
      ...(await measureState(pair)),
      ...(await measureRequests(pair)),
    ];
  } finally {
    await peers.close();
    child.signal('SIGTERM');
    await child.exited;
  }
}

async function measureStreams(pair: Pair): Promise<readonly Series[]> {
  const open: Peers<PeerControl>[] = [];
  const rows: {
    readonly x: number;
    readonly own: Cost;
    readonly other: Cost;
    readonly ownRss: number;
    readonly otherRss: number;
  }[] = [];
  for (const x of STREAMS) {
    while (open.length < x) {
      const peers = pair.newPeers();
      open.push(peers);
      unwrap(await peers.ask(pair.host, 'usage', {}, ASK_MS));
    }
    for (let i = 0; i < REPEATS; i++) {
      const before = await pair.usage();
      await pause(IDLE_MS);
      const after = await pair.usage();
      const seconds = IDLE_MS / 1_000;
      rows.push({
        x,
        own: costOf(before.own, after.own, seconds),
        other: costOf(before.other, after.other, seconds),
        ownRss: after.own.rssBytes,
        otherRss: after.other.rssBytes,
      });
    }
  }
  for (const peers of open) await peers.close();
  const series = (name: string, unit: string, y: (row: Row) => number) =>
    fitSeries(
      `streams ${name}`,
      'streams',
      unit,
      rows.map(row => ({x: row.x, y: y(row)})),
    );
  type Row = (typeof rows)[number];
  return [
    series('asker cpu', 'us/s', ({own}) => own.cpuUs),
    series('answerer cpu', 'us/s', ({other}) => other.cpuUs),
    series('bytes', 'B/s', ({own}) => own.bytes),
    series('asker memory', 'B', ({ownRss}) => ownRss),
    series('answerer memory', 'B', ({otherRss}) => otherRss),
  ];
}

function measureConsent(pair: Pair): Promise<readonly Series[]> {
  return overAsks(pair, 'consent', 'cells', CONSENT_CELLS, ASKS, size => {
    const cells = Array.from({length: size}, (_, i) => ({
      cell: cellAt(i),
      epoch: 1_000_000 + i,
    }));
    return () => pair.peers.ask(pair.host, 'consent', {cells}, ASK_MS);
  });
}

function measureTable(pair: Pair): Promise<readonly Series[]> {
  return overAsks(pair, 'table', 'shards', TABLE_SHARDS, ASKS, size => {
    const entries = Array.from({length: size}, (_, i) => ({
      shard: String(i),
      state: 'held' as const,
      server: `server-${i % 8}`,
      next: null,
    }));
    const fences = Array.from({length: 8}, (_, i) => ({
      server: `server-${i}`,
      epoch: 1_000_000,
      sequence: i,
    }));
    const cell = {cell: cellAt(0), epoch: 1_000_000, version: 1};
    const table = {...cell, entries, fences};
    return () => pair.peers.ask(pair.host, 'table', {table}, ASK_MS);
  });
}

function measureState(pair: Pair): Promise<readonly Series[]> {
  const sizes = STATE_KILOBYTES;
  return overAsks(pair, 'state', 'kB', sizes, STATE_ASKS, size => {
    const next = size * 1_000;
    return () => pair.peers.ask(pair.host, 'state', {next}, ASK_MS);
  });
}

async function overAsks(
  pair: Pair,
  name: string,
  of: string,
  sizes: readonly number[],
  asks: number,
  make: (size: number) => () => Promise<Result<unknown, unknown>>,
): Promise<readonly Series[]> {
  const rows: {x: number; own: Cost; other: Cost}[] = [];
  for (let i = 0; i <= REPEATS; i++) {
    for (const x of sizes) {
      const ask = make(x);
      const before = await pair.usage();
      for (let n = 0; n < asks; n++) unwrap(await ask());
      const after = await pair.usage();
      // The first round warms the compiler up.
      if (i === 0) continue;
      const own = costOf(before.own, after.own, asks);
      rows.push({x, own, other: costOf(before.other, after.other, asks)});
    }
  }
  return costSeries(name, of, rows);
}

async function measureRequests(pair: Pair): Promise<readonly Series[]> {
  const rows: {x: number; own: Cost; other: Cost}[] = [];
  await sendMany(pair, WARM_UP, WARM_UP);
  for (let i = 0; i < REPEATS; i++) {
    for (const x of REQUEST_RATES) {
      const before = await pair.usage();
      await sendMany(pair, x, (x * LOAD_MS) / 1_000);
      const after = await pair.usage();
      const seconds = LOAD_MS / 1_000;
      const own = costOf(before.own, after.own, seconds);
      rows.push({x, own, other: costOf(before.other, after.other, seconds)});
    }
  }
  return costSeries('hop', 'requests/s', rows);
}

async function sendMany(
  pair: Pair,
  rate: number,
  count: number,
): Promise<void> {
  const start = clock.now();
  const answers: Promise<unknown>[] = [];
  while (answers.length < count) {
    const due = ((clock.now() - start) * rate) / 1_000;
    while (answers.length < Math.min(due, count)) answers.push(sendOne(pair));
    await pause(2);
  }
  await Promise.all(answers);
}

async function sendOne({peers, host}: Pair): Promise<void> {
  const answer = await peers.send(host, {
    id: createId(),
    service: 'holds',
    key: 'ward-7',
    method: 'POST',
    path: '',
    headers: [{name: 'content-type', value: 'application/json'}],
    body: Buffer.alloc(128),
    deadline: clock.now() + ASK_MS,
    once: true,
    precedence: 0,
    caller: 'bench',
    signal: new AbortController().signal,
  });
  unwrap(answer);
}

function costSeries(
  name: string,
  of: string,
  rows: readonly {
    readonly x: number;
    readonly own: Cost;
    readonly other: Cost;
  }[],
): readonly Series[] {
  const points = (pick: (row: (typeof rows)[number]) => number): Point[] =>
    rows.map(row => ({x: row.x, y: pick(row)}));
  const unit = of === 'requests/s' ? 'us/s' : 'us';
  return [
    fitSeries(
      `${name} asker cpu`,
      of,
      unit,
      points(r => r.own.cpuUs),
    ),
    fitSeries(
      `${name} answerer cpu`,
      of,
      unit,
      points(r => r.other.cpuUs),
    ),
    fitSeries(
      `${name} bytes`,
      of,
      'B',
      points(r => r.own.bytes),
    ),
  ];
}

function unwrap<Value>(result: Result<Value, unknown>): Value {
  if (result.err) throw new Error(JSON.stringify(result.val));
  return result.val;
}
