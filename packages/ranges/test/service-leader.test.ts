import tap from 'tap';
import {AUTHORITY_MS} from '@banyandrum/ranges/lease-timing.js';
import {findRange, MAX_KEY} from '@banyandrum/ranges/table.js';
import {knownRed} from '@banyandrum/standins/known-red.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';
import {isTwoHolders, type FakeServer} from './fake-cluster.js';
import {
  createHarness,
  countUnserved,
  type Harness,
  type TestLeader,
} from './harness.js';

void tap.test('every key has one lease holder', async t => {
  const {cluster, startLeader, advance} = createHarness(1, ['a', 'b', 'c']);
  const leader = await startLeader();
  await advance(500);
  t.equal(countUnserved(leader), 0);
  for (let key = 0; key <= MAX_KEY; key += 997) {
    const server = findRange(leader.serviceLeader.served(), key)?.server;
    t.same(cluster.holdersOf(key), [server]);
  }
  await advance(10_000);
  t.equal(cluster.holdersOf(4_711).length, 1, 'leases are renewed');
});

// During a planned shutdown, a server's leases are released and granted to
// other servers at once, so callers only wait for running requests.
void tap.test('keys of a leaving server move at once', async t => {
  const {cluster, unlisted, startLeader, advance} = createHarness(2, [
    'a',
    'b',
    'c',
  ]);
  const leader = await startLeader();
  await advance(1_000);
  unlisted.add('a');
  await advance(300);
  t.equal(countUnserved(leader), 0);
  t.same(
    leader.serviceLeader.served().filter(({server}) => server === 'a'),
    [],
  );
  t.same(cluster.violations, []);
});

// An unreachable server may continue to serve its keys, so they must stay
// unserved until its leases have certainly expired, and be served soon after.
void tap.test('keys of an unreachable server wait for the expiry', async t => {
  const {cluster, unlisted, startLeader, advance} = createHarness(3, [
    'a',
    'b',
    'c',
  ]);
  const leader = await startLeader();
  await advance(2_000);
  cluster.servers[0]!.unreachableBy.add(0);
  unlisted.add('a');
  await advance(2_000);
  t.ok(countUnserved(leader) > 0);
  await advance(4_000);
  t.equal(countUnserved(leader), 0);
  t.same(cluster.violations, []);
});

// A suspended leader resumes after another has taken over and moved keys. The
// calls that it then makes must have no effect at the servers.
void tap.test('a leader that resumes changes nothing', async t => {
  const {cluster, unlisted, startLeader, advance} = createHarness(4, [
    'a',
    'b',
    'c',
  ]);
  const old = await startLeader();
  await advance(1_500);
  old.isFrozen = true;
  const next = await startLeader();
  await advance(500);
  unlisted.add('a');
  await advance(1_000);
  old.isFrozen = false;
  await advance(5_000);
  t.equal(countUnserved(next), 0);
  t.equal(old.isReplaced, true, 'the previous leader has been fenced off');
  t.same(cluster.violations, []);
});

void tap.test('busy keys are balanced over the servers', async t => {
  const {startLeader, advance} = createHarness(5, ['a', 'b', 'c', 'd']);
  const {serviceLeader} = await startLeader();
  const rates = new Map<string | null, number>();
  for (let round = 0; round < 200; round++) {
    for (let key = 26_000; key < 26_012; key++)
      serviceLeader.load.add(key, 0.05);
    await advance(50);
  }
  for (let key = 26_000; key < 26_012; key++) {
    const {server} = findRange(serviceLeader.served(), key)!;
    rates.set(server, (rates.get(server) ?? 0) + 1);
  }
  t.ok(rates.size >= 3, JSON.stringify([...rates]));
});

// A leader that loses the store is replaced, but still reaches a server that
// its successor can't reach, and renews that server's leases. The successor
// must not reassign the keys before the previous leader's authority has ended.
void tap.test('a successor waits for the end of the authority', async t => {
  const {cluster, unlisted, startLeader, advance} = createHarness(6, [
    'a',
    'b',
    'c',
  ]);
  await startLeader();
  await advance(1_500);
  cluster.servers[0]!.unreachableBy.add(1);
  const next = await startLeader();
  unlisted.add('a');
  await advance(AUTHORITY_MS - 1_000);
  t.ok(countUnserved(next) > 0);
  t.same(cluster.violations, []);
  await advance(7_000);
  t.equal(countUnserved(next), 0);
  t.same(cluster.violations, []);
});

// Calls carried out seconds late or not answered, failed writes, unreachable
// servers, servers that restart under their names, and suspended leaders that are
// replaced: in any sequence of these faults, no key has two lease holders, and
// fences increase.
const SEEDS = [
  ...Array.from({length: 40}, (_, at) => at + 1),
  // These seeds once produced two lease holders: an earlier leader's grant was
  // carried out after its successor's release.
  ...[53, 67, 80, 100, 107, 113, 120, 142, 178, 217, 226, 258],
];
const FAULTS = {
  'random faults': () => undefined,
  'random faults and lost leases': loseLeases,
  'random faults and restarted servers': restartServer,
  'random faults and copied answers': copyAnswers,
} as const;
const CASES = Object.entries(FAULTS).flatMap(([faults, disturb]) =>
  SEEDS.map(seed => ({seed, faults, disturb})),
);
for (const {seed, faults, disturb} of CASES) {
  void tap.test(`${faults}, seed ${seed}`, async t => {
    const todo = knownRed(t.name) ?? false;
    const random = createRandom(seed * 7_919);
    const harness = createHarness(seed, ['a', 'b', 'c', 'd']);
    const {cluster, unlisted, startLeader, advance} = harness;
    let leader = await startLeader();
    for (let round = 0; round < 40; round++) {
      cluster.faultRates.late = random() < 0.4 ? 0.3 : 0;
      cluster.faultRates.unanswered = random() < 0.4 ? 0.3 : 0;
      cluster.faultRates.unsaved = random() < 0.3 ? 0.5 : 0;
      const server = cluster.servers[Math.floor(random() * 4)]!;
      const draw = random();
      const anyLeader = Math.floor(random() * 6);
      if (draw < 0.2) toggleNumber(server.unreachableBy, anyLeader);
      else if (draw < 0.3) toggle(unlisted, server.id);
      else if (draw < 0.4) leader.isFrozen = !leader.isFrozen;
      else if (draw < 0.5) leader = await startLeader();
      for (let hot = 0; hot < 20; hot++) {
        leader.serviceLeader.load.add(Math.floor(random() * 3_000) + 20_000, 1);
      }
      disturb({server, leader, random, harness});
      await advance(200 + random() * 1_500);
    }
    t.same(cluster.violations, [], 'one holder, rising fences', {todo});
    unlisted.clear();
    for (const {unreachableBy} of cluster.servers) unreachableBy.clear();
    const noFaults = {late: 0, unanswered: 0, unsaved: 0, copied: 0};
    Object.assign(cluster.faultRates, noFaults);
    leader = await startLeader();
    await advance(25_000);
    t.equal(countUnserved(leader), 0, 'all keys are served again');
    t.same(cluster.violations, [], 'and then', {todo});
    t.notOk(cluster.violations.some(isTwoHolders), 'one holder at a time');
  });
}

interface Disturbed {
  readonly server: FakeServer;
  readonly leader: TestLeader;
  readonly random: () => number;
  readonly harness: Harness;
}

/** Starts another process at times, which holds no keys and knows no fence. */
function restartServer(disturbed: Disturbed): void {
  const {server, random, harness} = disturbed;
  if (random() < 0.4) harness.cluster.restart(server);
  if (random() < 0.5) loseLeases(disturbed);
}

/** Sends earlier answers again in place of those to renewals, without ids. */
function copyAnswers({random, harness: {cluster}}: Disturbed): void {
  cluster.returnsIds = false;
  cluster.faultRates.copied = random() < 0.6 ? 0.5 : 0;
}

/** Ends the server's leases early, and reports some of its keys as not held. */
function loseLeases({server, leader, random, harness}: Disturbed): void {
  const {serviceLeader} = leader;
  const now = harness.clock.now();
  server.leases = [];
  for (let at = 0; at < 10; at++) {
    const key = Math.floor(random() * (MAX_KEY + 1));
    serviceLeader.noteNotHeld(key, server.id, now);
  }
}

function toggleNumber(set: Set<number>, each: number): void {
  if (!set.delete(each)) set.add(each);
}

function toggle(set: Set<string>, id: string): void {
  if (!set.delete(id) && set.size < 3) set.add(id);
}

// Guards against taking a copy of an answer for that of a renewal, which the
// server carries out after it has released the keys: two servers would hold them.
for (const returnsIds of [true, false]) {
  const name = `copied answers to renewals, ${returnsIds ? 'with' : 'without'} ids`;
  void tap.test(name, async t => {
    for (let seed = 1; seed <= 8; seed++) {
      const harness = createHarness(seed, ['a', 'b', 'c']);
      const {cluster, unlisted, startLeader, advance} = harness;
      cluster.returnsIds = returnsIds;
      const leader = await startLeader();
      await advance(1_000);
      cluster.faultRates.copied = 1;
      await advance(1_000);
      cluster.faultRates.copied = 0;
      unlisted.add('a');
      await advance(500);
      const servers = leader.serviceLeader.served().map(({server}) => server);
      t.notOk(servers.includes('a'));
      if (!returnsIds) t.notOk(servers.includes(null), 'moved at once');
      await advance(6_000);
      t.same(cluster.violations, [], `seed ${seed}`);
    }
  });
}

// Guards against releasing a part of a range whose grant wasn't answered: until
// that grant can't take effect any more, no server may get the keys.
void tap.test('a part whose grant is unanswered stays served', async t => {
  const {cluster, startLeader, advance} = createHarness(9, ['a', 'b', 'c']);
  const leader = await startLeader();
  await advance(1_000);
  for (let key = 26_000; key < 26_020; key++)
    leader.serviceLeader.load.add(key, 3);
  const before = leader.serviceLeader.served().length;
  cluster.faultRates.unanswered = 1;
  while (leader.serviceLeader.served().length === before) await advance(50);
  // The grants of the split's parts have arrived; they time out later.
  cluster.faultRates.unanswered = 0;
  await advance(1_500);
  t.equal(countUnserved(leader), 0);
  t.same(cluster.violations, []);
});

// Guards against sending requests to a server that lost its lease early until
// the next renewal, and against grants for each outdated answer.
void tap.test('a range that its server lost is granted anew', async t => {
  const {clock, cluster, startLeader, advance} = createHarness(8, ['a', 'b']);
  const {serviceLeader} = await startLeader();
  await advance(500);
  const [server] = cluster.servers;
  const lost = serviceLeader.served().find(range => range.server === 'a')!;
  const ownerOf = (key: number): string | null =>
    findRange(serviceLeader.served(), key)!.server;
  server!.leases = [];
  serviceLeader.noteNotHeld(lost.from, 'b', clock.now());
  t.equal(ownerOf(lost.from), 'a', 'told of a server that is not its owner');
  serviceLeader.noteNotHeld(lost.from, 'a', clock.now() - 10_000);
  t.equal(ownerOf(lost.from), 'a', 'told of a request before the last grant');
  serviceLeader.noteNotHeld(lost.from, 'a', clock.now());
  t.equal(ownerOf(lost.from), null, 'not served until the grant is accepted');
  await clock.advance(20);
  t.equal(ownerOf(lost.from), 'a');
  t.same(cluster.holdersOf(lost.from), ['a']);
  server!.leases = [];
  serviceLeader.noteNotHeld(lost.from, 'a', clock.now());
  t.equal(ownerOf(lost.from), null, 'requests would be rejected again');
  await advance(100);
  t.same(cluster.holdersOf(lost.from), [], 'granted a moment ago');
  await advance(200);
  t.equal(ownerOf(lost.from), 'a');
  t.same(cluster.holdersOf(lost.from), ['a']);
  t.same(cluster.violations, []);
});
