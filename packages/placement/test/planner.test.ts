import tap from 'tap';
import type {
  Candidate,
  Move,
  PlacedShard,
  PlanInput,
} from '@banyandrum/placement/plan.js';
import {planMoves} from '@banyandrum/placement/plan-moves.js';
import {createPlanner, SUSTAIN_MS} from '@banyandrum/placement/planner.js';
import {createSmoothedLoads} from '@banyandrum/placement/smooth-loads.js';

const SERVERS = ['a', 'b', 'c', 'd'];
const PER_SERVER = 16;
const SLOTS = 4;
const PLAN_MS = 2000;
/** The leader's meter averages over 10 s before loads are smoothed. */
const METER_SHARE = 1 - Math.exp(-PLAN_MS / 10_000);
const WEIGHTS = {imbalance: 1, churn: 1, unavailable: 1};

/** Slots that each server's shards keep busy in one period of 2 s. */
type BusySlots = (server: string, now: number) => number;

interface Scenario {
  readonly name: string;
  readonly busy: BusySlots;
  readonly seconds: number;
  readonly servers?: readonly string[];
  readonly serviceMs?: number;
  /** Whether anything is to move. */
  readonly expected: 'none' | 'some';
  /** Whether plans without memory would move something. */
  readonly expectedWithoutMemory: 'none' | 'some';
}

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/** What a random number of requests of random length kept busy. */
function drawBusy(mean: number, serviceMs: number, random: () => number) {
  let ms = 0;
  const draw = (): number => -Math.log(1 - random());
  for (let at = draw(); at < (mean * PLAN_MS) / serviceMs; at += draw()) {
    ms += draw() * serviceMs;
  }
  return ms / PLAN_MS;
}

/** Plans every 2 s as a leader does, with and without memory. */
function simulate(
  {busy, seconds, servers = SERVERS, serviceMs = 100}: Scenario,
  seed: number,
): {readonly moves: readonly Move[]; readonly movesWithoutMemory: number} {
  const random = createRandom(seed);
  const planner = createPlanner();
  const loads = createSmoothedLoads();
  const metered = new Map<string, number>();
  const owners = new Map(
    SERVERS.flatMap(server =>
      Array.from({length: PER_SERVER}, (_, i) => [`${server}${i}`, server]),
    ),
  );
  const calm: Move[] = [];
  let restless = 0;
  for (let now = 0; now < seconds * 1000; now += PLAN_MS) {
    const drawn = [...owners].map(([shard, server]): [string, number] => {
      const mean = busy(server, now) / PER_SERVER;
      const last = metered.get(shard) ?? mean;
      const drawn = drawBusy(mean, serviceMs, random);
      metered.set(shard, last + (drawn - last) * METER_SHARE);
      return [shard, metered.get(shard)!];
    });
    loads.update(new Map(drawn), PLAN_MS);
    const shards = [...owners].map(([shard, server]): PlacedShard => ({
      shard,
      server,
      load: loads.get(shard),
      movedAt: -Infinity,
    }));
    const candidates = servers.map((name): Candidate => {
      const sizes = {slots: SLOTS, capacity: SLOTS, readiness: 1};
      return {name, ...sizes, busy: 0, serviceMs};
    });
    const input: PlanInput = {now, candidates, shards, weights: WEIGHTS};
    restless += planMoves(input).length;
    for (const move of planner.plan(input)) {
      calm.push(move);
      owners.set(move.shard, move.to);
    }
  }
  return {moves: calm, movesWithoutMemory: restless};
}

// A service that is hardly used, and one on a busy machine. The leader counts
// few requests, some of which took long because a process stood still for a
// moment; or the leader is new and has counted for a second. If it takes
// chance for load, shards move to and fro for ever, each time making callers
// wait, though there was nothing to be gained.
const SCENARIOS: readonly Scenario[] = [
  {
    name: 'idle',
    busy: () => 0,
    seconds: 120,
    expected: 'none',
    expectedWithoutMemory: 'none',
  },
  {
    name: 'hardly used',
    busy: () => 0.2,
    seconds: 600,
    expected: 'none',
    expectedWithoutMemory: 'some',
  },
  {
    name: 'well used, loads alike but for chance',
    busy: () => 2,
    serviceMs: 400,
    seconds: 600,
    expected: 'none',
    expectedWithoutMemory: 'some',
  },
  {
    name: 'long requests, few of them',
    busy: () => 1.5,
    serviceMs: 2000,
    seconds: 300,
    expected: 'none',
    expectedWithoutMemory: 'some',
  },
  {
    // All its requests end at once, and count as busy for so long.
    name: 'one server stands still for 4 s',
    busy: (server, now) => (server === 'a' && now === 60_000 ? 8 : 1),
    seconds: 120,
    expected: 'none',
    expectedWithoutMemory: 'some',
  },
  {
    name: 'a new leader, before it knows',
    busy: server => (server === 'a' ? 3.8 : 1),
    seconds: SUSTAIN_MS / 2000,
    expected: 'none',
    expectedWithoutMemory: 'some',
  },
  {
    name: 'one server is clearly and lastingly busier',
    busy: server => (server === 'a' ? 3.8 : 1),
    seconds: 60,
    expected: 'some',
    expectedWithoutMemory: 'some',
  },
  {
    name: 'a server came later',
    busy: () => 0.2,
    servers: [...SERVERS, 'e'],
    seconds: 20,
    expected: 'some',
    expectedWithoutMemory: 'some',
  },
];

for (const one of SCENARIOS) {
  void tap.test(`${one.name}: ${one.expected} of the shards move`, t => {
    let moved = 0;
    for (let seed = 1; seed <= 3; seed++) {
      const {moves: calm, movesWithoutMemory: restless} = simulate(one, seed);
      t.equal(calm.length > 0 ? 'some' : 'none', one.expected, `seed ${seed}`);
      moved += restless;
    }
    t.equal(moved > 0 ? 'some' : 'none', one.expectedWithoutMemory, 'without memory');
    t.end();
  });
}

void tap.test('what moves is what has to', t => {
  const joined = SCENARIOS.find(({name}) => name === 'a server came later')!;
  const {moves: calm} = simulate({...joined, seconds: 300}, 1);
  const half = (SERVERS.length * PER_SERVER) / 5 / 2;
  t.ok(calm.every(({to}) => to === 'e'));
  t.equal(calm.length, Math.ceil(half), 'half of its share, where all is idle');

  const lost: Scenario = {...joined, servers: ['a', 'b', 'c'], seconds: 2};
  const forced = simulate(lost, 1).moves;
  t.equal(forced.length, PER_SERVER, 'the shards of a lost server, at once');
  t.ok(forced.every(({from}) => from === 'd'));
  t.end();
});

// All servers stood still and lost their leases; the first to come back got
// every shard, and the others came seconds later. If shards that were just
// granted stayed for half a minute, three quarters of the capacity would be
// idle while the one server refused most of what callers asked.
void tap.test('shards crowded onto one server spread at once', t => {
  const planner = createPlanner();
  const owners = new Map(
    Array.from({length: 64}, (_, i) => [String(i), 'a'] as const),
  );
  const moved = new Map<string, string>();
  for (let now = 0; now <= 12_000; now += PLAN_MS) {
    const shards = [...owners].map(([shard, server]): PlacedShard => ({
      shard,
      server: moved.get(shard) ?? server,
      load: 0.06,
      movedAt: 0,
    }));
    const candidates = SERVERS.map((name): Candidate => {
      const sizes = {slots: SLOTS, capacity: SLOTS, readiness: 1};
      return {name, ...sizes, busy: 0, serviceMs: 20};
    });
    const input = {now, candidates, shards, weights: WEIGHTS};
    for (const {shard, to} of planner.plan(input)) moved.set(shard, to);
  }
  for (const server of SERVERS.slice(1)) {
    const got = [...moved.values()].filter(to => to === server).length;
    t.ok(got >= PER_SERVER / 2, `${server} got ${got}, half its share`);
  }
  t.end();
});
