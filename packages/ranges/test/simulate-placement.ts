import type {LatencyProfile} from '@banyandrum/ranges/late-answers.js';
import {findRange, KEY_COUNT} from '@banyandrum/ranges/table.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';
import {createHarness, type Harness, type TestLeader} from './harness.js';

/** Kind of request. */
interface RequestKind {
  readonly share: number;
  readonly workMs: number;
  readonly targetMs: number;
  /** Time after which a caller gives up, in ms. */
  readonly limitMs: number;
}

/** Load on a service, and the servers that carry it. */
export interface PlacementLoad {
  readonly seed: number;
  /** Part of all slots' capacity that is requested, from 0 to 1. */
  readonly utilization: number;
  /** Duration before and during the measurement, in ms. */
  readonly warmUpMs: number;
  readonly measuredMs: number;
  /** Whether keys are placed by latency. */
  readonly byLatency: boolean;
  readonly servers?: number;
  /** Part by which the demand of each quarter of the keys swings, 0 to 1. */
  readonly swing?: number;
  /** Called in each step, with the time since the measurement began, in ms. */
  onStep?(state: PlacementState, measuredMs: number): void;
}

/** What `onStep` may look at and change. */
export interface PlacementState {
  readonly harness: Harness;
  readonly leader: TestLeader;
  readonly servers: readonly SimulatedServer[];
  /** Adds a request for a key. */
  request(key: number): void;
}

/** Results of the measured time. */
export interface PlacementOutcome {
  readonly requests: number;
  /** Answered after the target latency, or given up by the caller. */
  readonly late: number;
  /** Keys that changed their server for load, as a share of all keys. */
  readonly movedKeys: number;
  /** The same before the measurement. */
  readonly movedKeysBefore: number;
  readonly moves: number;
  /** Ranges at the end. */
  readonly ranges: number;
  /** Late requests in each half second. */
  readonly lateByHalfSecond: readonly number[];
  readonly violations: readonly string[];
}

interface SimulatedRequest {
  readonly key: number;
  readonly kind: RequestKind;
  readonly arrivedAt: number;
  /** Work that is left, in ms at a server of normal speed. */
  leftMs: number;
}

/** A server with its queue at the leader. */
export interface SimulatedServer {
  readonly id: string;
  readonly slowness: number;
  /** Slowdown by other work on its machine. */
  noise: number;
  noiseEndsAt: number;
  isUp: boolean;
  running: SimulatedRequest[];
  waiting: SimulatedRequest[];
}

const KINDS: readonly RequestKind[] = [
  {share: 0.73, workMs: 160, targetMs: 500, limitMs: 3_000},
  {share: 0.27, workMs: 210, targetMs: 800, limitMs: 5_000},
];
export const SLOTS = 3;
export const SLOWNESS = [0.7, 0.7, 1.6] as const;
const DEFAULT_SERVERS = 36;
/** Other work on the servers' machines: share of the time, factor, period. */
const NOISE_SHARE = 0.2;
const NOISE_FACTOR = 3;
const NOISE_MS = 400;
const SWING_MS = 13_000;
const KEYS = 4_000;
/** Popularity of the key of this rank, relative to the first. */
const POPULARITY_EXPONENT = 0.5;
/** Part of the keys that lie close together. */
const CLUSTERED_SHARE = 0.4;
const CLUSTERS = 6;
const CLUSTER_KEYS = 1_200;
const TICK_MS = 50;
const STEP_MS = 10;
const HALF_SECOND_MS = 500;
const MEAN_WORK_MS = KINDS.reduce(
  (sum, {share, workMs}) => sum + share * workMs,
  0,
);
const SPREAD = measureSpread();
const MEAN_SPREAD = SPREAD.reduce((sum, each) => sum + each, 0) / SPREAD.length;

/** Usual time of a mean request at the server, in ms. */
function usualMs(slowness: number): number {
  return MEAN_WORK_MS * slowness * MEAN_SPREAD;
}

/** What an estimate of the request times would find. */
export const PROFILE: LatencyProfile = {
  kinds: KINDS.map(({share, workMs, targetMs}) => ({
    ...{share, targetMs},
    relativeWork: workMs / MEAN_WORK_MS,
  })),
  spread: SPREAD.map(each => each / MEAN_SPREAD),
};

/** Quantiles of the time of requests relative to their work. */
function measureSpread(): readonly number[] {
  const random = createRandom(1);
  const ratios = Array.from({length: 4_000}, () => {
    let at = 0;
    let endsAt = NOISE_MS * random();
    let noise = random() < NOISE_SHARE ? NOISE_FACTOR : 1;
    for (
      let leftMs = MEAN_WORK_MS * (0.5 + random());
      leftMs > 0;
      at += STEP_MS
    ) {
      if (at >= endsAt) {
        endsAt += NOISE_MS * (0.5 + random());
        noise = random() < NOISE_SHARE ? NOISE_FACTOR : 1;
      }
      leftMs -= STEP_MS / noise;
    }
    return at / MEAN_WORK_MS;
  }).sort((a, b) => a - b);
  return Array.from({length: 20}, (_, at) => ratios[at * 200 + 100]!);
}

/** Picks keys of uneven popularity, many of them close together. */
function createKeyPicker(
  random: () => number,
): (now: number, swing: number) => number {
  const starts = Array.from({length: CLUSTERS}, () =>
    Math.floor(random() * (KEY_COUNT - CLUSTER_KEYS)),
  );
  const keys = Array.from({length: KEYS}, () =>
    random() < CLUSTERED_SHARE
      ? starts[Math.floor(random() * CLUSTERS)]! +
        Math.floor(random() * CLUSTER_KEYS)
      : Math.floor(random() * KEY_COUNT),
  );
  const sums: number[] = [];
  let sum = 0;
  for (let rank = 0; rank < KEYS; rank++) {
    sum += (rank + 1) ** -POPULARITY_EXPONENT;
    sums.push(sum);
  }
  const pick = (): number => {
    const value = random() * sum;
    let low = 0;
    let high = KEYS - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (sums[middle]! < value) low = middle + 1;
      else high = middle;
    }
    return keys[low]!;
  };
  return (now, swing) => {
    for (;;) {
      const key = pick();
      const phase = now / SWING_MS + Math.floor((key * 4) / KEY_COUNT) / 4;
      const weight = 1 + swing * Math.sin(2 * Math.PI * phase);
      if (random() * (1 + swing) < weight) return key;
    }
  };
}

/** Simulates the requests of a service whose leader places its keys. */
export async function simulatePlacement(
  load: PlacementLoad,
): Promise<PlacementOutcome> {
  const random = createRandom(load.seed);
  const servers = createServers(load.servers ?? DEFAULT_SERVERS);
  const byId = new Map(servers.map(server => [server.id, server]));
  const harness = createHarness(
    load.seed,
    servers.map(({id}) => id),
    {
      slots: SLOTS,
      serviceMsOf: id => usualMs(byId.get(id)!.slowness),
      profile: () => (load.byLatency ? PROFILE : null),
    },
  );
  const {clock, cluster} = harness;
  const leader = await harness.startLeader();
  await harness.advance(1_000);
  const capacity = servers.reduce(
    (sum, {slowness}) => sum + (SLOTS * 1_000) / usualMs(slowness),
    0,
  );
  const perSecond = capacity * load.utilization;
  const pickKey = createKeyPicker(random);
  cluster.releaseMs = ({from, to}) =>
    Math.max(
      0,
      ...servers.flatMap(server =>
        server.running
          .filter(({key}) => from <= key && key <= to)
          .map(({leftMs}) => leftMs * server.slowness * server.noise),
      ),
    );
  let unplaced: SimulatedRequest[] = [];
  const startedAt = clock.now();
  const measureFrom = startedAt + load.warmUpMs;
  const counts = {requests: 0, late: 0};
  const lateByHalfSecond: number[] = [];
  const count = ({arrivedAt, kind}: SimulatedRequest, at: number): void => {
    if (arrivedAt < measureFrom) return;
    counts.requests++;
    if (at - arrivedAt <= kind.targetMs) return;
    counts.late++;
    const slot = Math.floor((arrivedAt - measureFrom) / HALF_SECOND_MS);
    lateByHalfSecond[slot] = (lateByHalfSecond[slot] ?? 0) + 1;
  };
  const arrive = (key: number, now: number): void => {
    const kind = random() < KINDS[0]!.share ? KINDS[0]! : KINDS[1]!;
    leader.serviceLeader.load.add(key, 1);
    unplaced.push({
      key,
      kind,
      arrivedAt: now,
      leftMs: kind.workMs * (0.5 + random()),
    });
  };
  const state: PlacementState = {
    ...{harness, leader, servers},
    request: key => arrive(key, clock.now()),
  };
  let movedBefore = 0;
  let isMeasured = false;
  let due = 0;
  while (clock.now() < measureFrom + load.measuredMs) {
    const now = clock.now();
    if (!isMeasured && now >= measureFrom) {
      isMeasured = true;
      movedBefore = countMoves(harness).keys;
    }
    load.onStep?.(state, now - measureFrom);
    const served = leader.serviceLeader.served();
    for (let at = now; at < now + TICK_MS; at += STEP_MS) {
      due += (perSecond * STEP_MS) / 1_000;
      for (; due > 0; due += Math.log(1 - random()))
        arrive(pickKey(at, load.swing ?? 0), at);
      unplaced = unplaced.filter(req => {
        const {server} = findRange(served, req.key)!;
        if (server === null) return true;
        byId.get(server)!.waiting.push(req);
        return false;
      });
      for (const server of servers) runServer(server, at, random, count);
    }
    // Requests for keys that have left a server wait for the next one.
    for (const server of servers) {
      const left = server.waiting.filter(
        ({key}) => findRange(served, key)!.server !== server.id,
      );
      unplaced.push(...left);
      server.waiting = server.waiting.filter(req => !left.includes(req));
    }
    harness.runningKeys = servers.flatMap(({running}) =>
      running.map(({key}) => key),
    );
    harness.queuedKeys = [
      ...unplaced,
      ...servers.flatMap(({waiting}) => waiting),
    ].map(({key}) => key);
    await harness.advance(TICK_MS);
  }
  const moved = countMoves(harness);
  return {
    ...counts,
    movedKeys: moved.keys - movedBefore,
    movedKeysBefore: movedBefore,
    moves: moved.count,
    ranges: leader.serviceLeader.served().length,
    lateByHalfSecond,
    violations: cluster.violations,
  };
}

function createServers(count: number): readonly SimulatedServer[] {
  return Array.from({length: count}, (_, at) => ({
    id: `s${at}`,
    slowness: SLOWNESS[at % SLOWNESS.length]!,
    ...{noise: 1, noiseEndsAt: 0, isUp: true, running: [], waiting: []},
  }));
}

/** Runs a server for a step, those with the least time left first. */
function runServer(
  server: SimulatedServer,
  now: number,
  random: () => number,
  count: (req: SimulatedRequest, at: number) => void,
): void {
  if (now >= server.noiseEndsAt) {
    server.noise = random() < NOISE_SHARE ? NOISE_FACTOR : 1;
    server.noiseEndsAt = now + NOISE_MS * (0.5 + random());
  }
  const gone = server.waiting.filter(
    ({arrivedAt, kind}) => now - arrivedAt >= kind.limitMs,
  );
  for (const req of gone) count(req, Infinity);
  server.waiting = server.waiting.filter(req => !gone.includes(req));
  if (!server.isUp) {
    for (const req of server.running) count(req, Infinity);
    server.running = [];
    return;
  }
  server.waiting.sort((a, b) => slackOf(a, now) - slackOf(b, now));
  while (server.running.length < SLOTS && server.waiting.length > 0)
    server.running.push(server.waiting.shift()!);
  for (const req of server.running)
    req.leftMs -= STEP_MS / server.slowness / server.noise;
  const done = server.running.filter(({leftMs}) => leftMs <= 0);
  for (const req of done) count(req, now + STEP_MS);
  server.running = server.running.filter(({leftMs}) => leftMs > 0);
}

/** Time until the target latency; requests that exceed it come last. */
function slackOf({arrivedAt, kind}: SimulatedRequest, now: number): number {
  const slackMs = arrivedAt + kind.targetMs - now;
  return slackMs >= 0 ? slackMs : kind.limitMs - slackMs;
}

/** Moves for load, and the share of all keys that they moved. */
function countMoves({events}: Harness): {
  readonly count: number;
  readonly keys: number;
} {
  const leaving = new Set<unknown>();
  let count = 0;
  let keys = 0;
  for (const {event, fields} of events) {
    if (event === 'range-leaves' && fields.why === 'load')
      leaving.add(fields.from);
    if (event !== 'range-assigned' || !leaving.delete(fields.from)) continue;
    count++;
    keys += (Number(fields.to) - Number(fields.from) + 1) / KEY_COUNT;
  }
  return {count, keys};
}
