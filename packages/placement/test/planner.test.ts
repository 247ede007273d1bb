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

/** Slots that a server's shards keep busy on average in a period of 2 s. */
type BusySlots = (server: string, now: number) => number;

interface Scenario {
  readonly name: string;
  readonly busy: BusySlots;
  readonly seconds: number;
  readonly servers?: readonly string[];
  readonly serviceMs?: number;
  /** Whether the planner should move any shards. */
  readonly expected: 'none' | 'some';
  /** Whether plans without state between them would move any shards. */
  readonly expectedWithoutState: 'none' | 'some';
}

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Slots kept busy by a random number of requests of random duration. */
function drawBusy(mean: number, serviceMs: number, random: () => number) {
  let ms = 0;
  const draw = (): number => -Math.log(1 - random());
  for (let at = draw(); at < (mean * PLAN_MS) / serviceMs; at += draw()) {
    ms += draw() * serviceMs;
  }
  return ms / PLAN_MS;
}

/** Plans every 2 s as a leader does, with and without state between plans. */
function simulate(
  {busy, seconds, servers = SERVERS, serviceMs = 100}: Scenario,
  seed: number,
): {readonly moves: readonly Move[]; readonly movesWithoutState: number} {
  const random = createRandom(seed);
  const planner = createPlanner();
  const loads = createSmoothedLoads();
  const metered = new Map<string, number>();
  const owners = new Map(
    SERVERS.flatMap(server =>
      Array.from({length: PER_SERVER}, (_, i) => [`${server}${i}`, server]),
    ),
  );
  const moves: Move[] = [];
  let movesWithoutState = 0;
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
    movesWithoutState += planMoves(input).length;
    for (const move of planner.plan(input)) {
      moves.push(move);
      owners.set(move.shard, move.to);
    }
  }
  return {moves, movesWithoutState};
}

// Loads are noisy: a service is rarely used, or runs on a busy machine where
// processes stall for a moment, or the leader is new and has measured for a
// second only. A leader that treats noise as load moves shards back and forth
// indefinitely, and each move makes callers wait for no benefit.
const SCENARIOS: readonly Scenario[] = [
  {
    name: 'idle',
    busy: () => 0,
    seconds: 120,
    expected: 'none',
    expectedWithoutState: 'none',
  },
  {
    name: 'rarely used',
    busy: () => 0.2,
    seconds: 600,
    expected: 'none',
    expectedWithoutState: 'some',
  },
  {
    name: 'busy, loads differ only by chance',
    busy: () => 2,
    serviceMs: 400,
    seconds: 600,
    expected: 'none',
    expectedWithoutState: 'some',
  },
  {
    name: 'few, long requests',
    busy: () => 1.5,
    serviceMs: 2000,
    seconds: 300,
    expected: 'none',
    expectedWithoutState: 'some',
  },
  {
    // All its requests end at once, and count as busy for the whole stall.
    name: 'one server stalls for 4 s',
    busy: (server, now) => (server === 'a' && now === 60_000 ? 8 : 1),
    seconds: 120,
    expected: 'none',
    expectedWithoutState: 'some',
  },
  {
    name: 'a new leader, before its loads are reliable',
    busy: server => (server === 'a' ? 3.8 : 1),
    seconds: SUSTAIN_MS / 2000,
    expected: 'none',
    expectedWithoutState: 'some',
  },
  {
    name: 'one server is significantly busier for long',
    busy: server => (server === 'a' ? 3.8 : 1),
    seconds: 60,
    expected: 'some',
    expectedWithoutState: 'some',
  },
  {
    name: 'a server joins later',
    busy: () => 0.2,
    servers: [...SERVERS, 'e'],
    seconds: 20,
    expected: 'some',
    expectedWithoutState: 'some',
  },
];

for (const scenario of SCENARIOS) {
  void tap.test(
    `${scenario.name}: ${scenario.expected} of the shards move`,
    t => {
      let moved = 0;
      for (let seed = 1; seed <= 3; seed++) {
        const {moves, movesWithoutState} = simulate(scenario, seed);
        t.equal(
          moves.length > 0 ? 'some' : 'none',
          scenario.expected,
          `seed ${seed}`,
        );
        moved += movesWithoutState;
      }
      t.equal(
        moved > 0 ? 'some' : 'none',
        scenario.expectedWithoutState,
        'without state',
      );
      t.end();
    },
  );
}

void tap.test('only the necessary shards move', t => {
  const joined = SCENARIOS.find(({name}) => name === 'a server joins later')!;
  const {moves} = simulate({...joined, seconds: 300}, 1);
  const half = (SERVERS.length * PER_SERVER) / 5 / 2;
  t.ok(moves.every(({to}) => to === 'e'));
  t.equal(moves.length, Math.ceil(half), 'half of its share while idle');

  const lost: Scenario = {...joined, servers: ['a', 'b', 'c'], seconds: 2};
  const forced = simulate(lost, 1).moves;
  t.equal(forced.length, PER_SERVER, 'shards of a lost server move at once');
  t.ok(forced.every(({from}) => from === 'd'));
  t.end();
});

// All servers stalled and lost their leases. The first one to return got every
// shard, and the others returned seconds later. If these shards stayed for half
// a minute because they had just moved, three quarters of the capacity would be
// idle while the first server refused most requests.
void tap.test('too many shards on one server spread at once', t => {
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
