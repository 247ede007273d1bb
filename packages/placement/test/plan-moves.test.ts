import tap from 'tap';
import type {
  Candidate,
  Move,
  PlacedShard,
  PlanInput,
  Weights,
} from '@banyandrum/placement/plan.js';
import {planMoves} from '@banyandrum/placement/plan-moves.js';

/** Weights of two users: one avoids moves, the other unavailability. */
const COOPERATIVE: Weights = {imbalance: 1, churn: 4, unavailable: 2};
const BOARD: Weights = {imbalance: 1, churn: 1, unavailable: 4};
const USERS = {COOPERATIVE, BOARD};

const NOW = 1e6;

function candidate(name: string, more: Partial<Candidate> = {}): Candidate {
  return {name, slots: 4, readiness: 1, capacity: 4, busy: 0, ...more};
}

function shard(
  id: string,
  server: string | null,
  load = 0,
  movedAt = -Infinity,
): PlacedShard {
  return {shard: id, server, load, movedAt};
}

/** Creates `count` shards with equal load on each of the servers. */
function spread(
  servers: readonly string[],
  count: number,
  load: number,
): readonly PlacedShard[] {
  return servers.flatMap(server =>
    Array.from({length: count}, (_, i) => shard(`${server}${i}`, server, load)),
  );
}

function plan(
  candidates: readonly Candidate[],
  shards: readonly PlacedShard[],
  weights: Weights,
): readonly Move[] {
  const input: PlanInput = {now: NOW, candidates, shards, weights};
  const moves = planMoves(input);
  const reversed = {
    ...input,
    shards: [...shards].reverse(),
    candidates: [...candidates].reverse(),
  };
  const key = (list: readonly Move[]): string[] =>
    list.map(({shard, to}) => `${shard}>${to}`).sort();
  tap.same(key(planMoves(reversed)), key(moves), 'independent of the order');
  return moves;
}

const abc = ['a', 'b', 'c'].map(name => candidate(name));

for (const [user, weights] of Object.entries(USERS)) {
  void tap.test(`${user}: behaviour with any weights`, t => {
    const even = spread(['a', 'b', 'c'], 4, 0.3);

    t.same(plan(abc, even, weights), [], 'balanced: nothing moves');

    const slightly = even.map(s => (s.shard === 'a0' ? {...s, load: 0.5} : s));
    t.same(plan(abc, slightly, weights), [], 'slight imbalance: nothing moves');

    const halved = even.map(s => ({...s, load: s.load / 2}));
    t.same(plan(abc, halved, weights), [], 'low load: nothing moves');

    const lost = even.filter(s => s.server !== 'c');
    const unassigned = even
      .filter(s => s.server === 'c')
      .map(s => ({...s, server: null}));
    const afterLoss = plan(abc.slice(0, 2), [...lost, ...unassigned], weights);
    t.equal(afterLoss.length, 4, 'lost server: only its shards move');
    t.ok(afterLoss.every(({from}) => from === null));
    t.equal(afterLoss.filter(({to}) => to === 'a').length, 2, 'spread evenly');

    const leaving = [...abc.slice(0, 2), candidate('c', {readiness: 0})];
    const emptied = plan(leaving, even, weights);
    t.equal(emptied.length, 4, 'leaving server: all its shards move');
    t.ok(emptied.every(({from, to}) => from === 'c' && to !== 'c'));

    const pinned = even.map(s => ({...s, pinned: true}));
    t.same(plan(leaving, pinned, weights), [], 'pinned shards stay');

    t.same(plan([], unassigned, weights), [], 'no servers: nothing moves');

    const fresh = spread(['x'], 12, 0).map(s => ({...s, server: null}));
    const first = plan(abc, fresh, weights);
    for (const name of ['a', 'b', 'c']) {
      t.equal(first.filter(({to}) => to === name).length, 4, 'first placement');
    }

    const bigger = [candidate('a', {slots: 8, capacity: 8}), candidate('b')];
    const byCapacity = plan(bigger, fresh, weights);
    t.equal(byCapacity.filter(({to}) => to === 'a').length, 8, 'by capacity');
    t.end();
  });

  void tap.test(`${user}: hot spots`, t => {
    // Server a is overloaded by many equal shards: some must move off it.
    const many = [...spread(['a'], 10, 0.35), ...spread(['b', 'c'], 2, 0.1)];
    const relief = plan(abc, many, weights);
    t.ok(relief.length > 0, 'shards move off an overloaded server');
    t.ok(relief.every(({from, to}) => from === 'a' && to !== 'a'));

    const justMoved = many.map(s => ({...s, movedAt: NOW - 1000}));
    t.same(plan(abc, justMoved, weights), [], 'shards that just moved stay');

    // One key takes almost a whole server. Moving it would only move the hot
    // spot, so other shards must move off the server.
    const neighbours = spread(['a'], 6, 0.2);
    const contested = [
      shard('k:claim-9', 'a', 3.5),
      ...neighbours,
      ...spread(['b', 'c'], 6, 0.2),
    ];
    const moves = plan(abc, contested, weights);
    t.ok(moves.length > 0);
    t.notOk(
      moves.some(move => move.shard === 'k:claim-9'),
      'the hot key stays',
    );
    t.end();
  });
}

void tap.test('the weights decide between plans', t => {
  // A hot key shares a server with other shards; another server is nearly idle.
  // The co-operative prefers few moves: only the hot key moves. The Board
  // prefers that a busy ward stays available: the other shards move.
  const servers = ['a', 'b'].map(name => candidate(name));
  const shards = [
    shard('k:ward-7', 'a', 1.2),
    ...spread(['a'], 8, 0.15),
    ...spread(['b'], 2, 0.02),
  ];
  const cooperative = plan(servers, shards, COOPERATIVE);
  t.same(
    cooperative.map(({shard}) => shard),
    ['k:ward-7'],
  );
  const board = plan(servers, shards, BOARD);
  t.ok(board.length > 1);
  t.notOk(board.some(({shard}) => shard === 'k:ward-7'));
  t.end();
});

void tap.test('a server that joins gets its share with slow start', t => {
  const shards = spread(['a', 'b', 'c'], 6, 0.3);
  const sizes = [0.2, 0.5, 1].map(readiness => {
    const joined = [...abc, candidate('d', {readiness})];
    const moves = plan(joined, shards, BOARD);
    t.ok(moves.every(({to}) => to === 'd'));
    return moves.length;
  });
  const [cold = 0, warm = 0, ready = 0] = sizes;
  t.ok(cold < warm && warm < ready, `${cold} < ${warm} < ${ready}`);
  t.ok(ready <= 5, 'no more than its share');
  t.end();
});

// One server takes three times as long per request. All its slots are busy, and
// it refuses further requests. Since its measured load can't exceed its slots,
// it seems only somewhat busier than the mean: with a high weight of churn, its
// shards would stay there and callers would be refused permanently.
void tap.test('shards move off a full server with any weights', t => {
  for (const weights of Object.values(USERS)) {
    const busy = [...spread(['a'], 10, 0.39), ...spread(['b', 'c'], 10, 0.2)];
    const relief = plan(abc, busy, weights);
    t.ok(relief.length > 0, 'some shards move');
    t.ok(relief.every(({from}) => from === 'a'));
    const less = [...spread(['a'], 10, 0.3), ...spread(['b', 'c'], 10, 0.2)];
    t.ok(
      plan(abc, less, weights).length < relief.length,
      'fewer if the server is not full',
    );
  }
  t.end();
});
