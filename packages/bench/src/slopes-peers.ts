import {fileURLToPath} from 'node:url';
import {createId, type Incarnation} from '@banyandrum/base/ids.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import type {Result} from '@banyandrum/base/result.js';
import {createPeers, type Peers} from '@banyandrum/routers/peers.js';
import {startChild} from './child.js';
import type {Series} from './slopes-fit.js';
import {cellAt} from './slopes-fixture.js';
import {type PeerControl, peerSchemas} from './slopes-peer-control.js';
import {atRate, pause, readOwn, sweep, type Work} from './slopes-sweep.js';

const HOST = fileURLToPath(new URL('./slopes-peer-host.js', import.meta.url));
const SIDES = ['asker ', 'answerer '];
const ASKS = 300;
const STATE_ASKS = 10;
const IDLE_S = 3;
const LOAD_S = 1.5;
const ASK_MS = 5_000;
const SERVERS = 8;

/** Messages, requests and streams between two routers. */
export async function measurePeers(): Promise<readonly Series[]> {
  const own = readOwn();
  const args = ['--expose-gc', HOST];
  const child = await startChild({name: 'peer', args});
  const host = child.hello as Incarnation;
  const newPeers = (): Peers<PeerControl> => {
    const self = {...host, host: createId(), boot: createId()};
    const log = createSilentLogger();
    return createPeers<PeerControl>({
      self: () => self,
      schemas: peerSchemas,
      log,
    });
  };
  const askUsage = async (from: Peers<PeerControl>) =>
    unwrap(await from.ask(host, 'usage', {}, ASK_MS));
  const peers = newPeers();
  const read = async () => [own(), await askUsage(peers)];
  const repeat = (asks: number, ask: () => Promise<Result<unknown, unknown>>) =>
    ({
      async run() {
        for (let i = 0; i < asks; i++) unwrap(await ask());
      },
    }) satisfies Work;
  const streams: Peers<PeerControl>[] = [];
  const sweeps = [
    {
      name: 'streams',
      of: 'streams',
      sizes: [10, 50, 200],
      per: IDLE_S,
      unit: '/s',
      memory: true,
      async open(size: number) {
        while (streams.length < size) {
          streams.push(newPeers());
          await askUsage(streams.at(-1)!);
        }
        return {run: () => pause(IDLE_S * 1_000)};
      },
    },
    {
      name: 'consent',
      of: 'cells',
      sizes: [1, 16, 64, 256],
      per: ASKS,
      async open(size: number) {
        for (const stream of streams.splice(0)) await stream.close();
        const cells = Array.from({length: size}, (_, i) => ({
          cell: cellAt(i),
          epoch: 1_000_000 + i,
        }));
        const ask = () => peers.ask(host, 'consent', {cells}, ASK_MS);
        return repeat(ASKS, ask);
      },
    },
    {
      name: 'table',
      of: 'shards',
      sizes: [64, 256, 1_024],
      per: ASKS,
      open(size: number) {
        const table = tableOf(size);
        return repeat(ASKS, () => peers.ask(host, 'table', {table}, ASK_MS));
      },
    },
    {
      name: 'state',
      of: 'kB',
      sizes: [10, 100, 500],
      per: STATE_ASKS,
      open(size: number) {
        const ask = {next: size * 1_000};
        return repeat(STATE_ASKS, () => peers.ask(host, 'state', ask, ASK_MS));
      },
    },
    {
      name: 'hop',
      of: 'requests/s',
      sizes: [500, 1_000, 2_000],
      per: LOAD_S,
      unit: '/s',
      open: (size: number) => ({
        run: () => atRate(size, LOAD_S * 1_000, () => sendOne(peers, host)),
      }),
    },
  ];
  const all: Series[] = [];
  for (const one of sweeps) all.push(...(await sweep(read, SIDES, one)));
  await peers.close();
  child.signal('SIGTERM');
  await child.exited;
  return all;
}

function tableOf(shards: number) {
  return {
    cell: cellAt(0),
    epoch: 1_000_000,
    version: 1,
    entries: Array.from({length: shards}, (_, i) => ({
      shard: String(i),
      state: 'held' as const,
      server: `server-${i % SERVERS}`,
      next: null,
    })),
    fences: Array.from({length: SERVERS}, (_, i) => ({
      server: `server-${i}`,
      epoch: 1_000_000,
      sequence: i,
    })),
  };
}

async function sendOne(
  peers: Peers<PeerControl>,
  host: Incarnation,
): Promise<void> {
  const answer = await peers.send(host, {
    id: createId(),
    service: 'holds',
    key: 'ward-7',
    method: 'POST',
    path: '',
    headers: [{name: 'content-type', value: 'application/json'}],
    body: Buffer.alloc(128),
    deadline: performance.now() + ASK_MS,
    once: true,
    precedence: 0,
    caller: 'bench',
    signal: new AbortController().signal,
  });
  unwrap(answer);
}

function unwrap<Value>(result: Result<Value, unknown>): Value {
  if (result.err) throw new Error(JSON.stringify(result.val));
  return result.val;
}
