import tap from 'tap';
import {KEY_COUNT, rangeSize} from '@banyandrum/ranges/table.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';
import {createHarness, countUnserved, type TestLeader, type Harness} from './harness.js';

const SERVERS = 59;
/** Servers that the leader hears of in each read of their list. */
const LISTED_PER_READ = 8;
const READ_INTERVAL_MS = 400;
const FIRST_LISTED = 5;

const IDS = Array.from({length: SERVERS}, (_, at) => `s${at}`);

/** The largest part of all keys at a server, with 1 for an even part. */
function largestShare({serviceLeader: lead}: TestLeader): number {
  const sizes = new Map<string | null, number>();
  for (const range of lead.served()) {
    const {server} = range;
    sizes.set(server, (sizes.get(server) ?? 0) + rangeSize(range));
  }
  return (Math.max(...sizes.values()) * SERVERS) / KEY_COUNT;
}

/** Servers come to be known some at a time, as at the start of everything. */
async function listServersGradually(): Promise<{scene: Harness; leader: TestLeader}> {
  const scene = createHarness(1, IDS);
  for (const id of IDS.slice(FIRST_LISTED)) scene.unlisted.add(id);
  scene.listSettledAt = Infinity;
  const leader = await scene.startLeader();
  for (let heard = FIRST_LISTED; heard < SERVERS; heard += LISTED_PER_READ) {
    await scene.advance(READ_INTERVAL_MS);
    for (const id of IDS.slice(0, heard + LISTED_PER_READ)) scene.unlisted.delete(id);
  }
  return {scene, leader};
}

// All hosts and servers start at once, and the leader hears of eight servers
// in each read of their list. When callers come, every server must have its
// part: cut for the first five that were heard of, all requests went to those,
// and moves took many seconds to mend it while callers were refused.
void tap.test('a first cut is for all servers that start', async t => {
  const {scene, leader} = await listServersGradually();
  t.equal(leader.serviceLeader.served().length, 0, 'it waits for the rest');
  scene.listSettledAt = 0;
  await scene.advance(1_000);
  t.equal(countUnserved(leader), 0);
  const largest = largestShare(leader);
  t.ok(largest < 1.3, `largest part ${largest.toFixed(2)} times an even one`);
});

// A caller comes before the list has settled. It isn't made to wait for that.
void tap.test('the first request ends the wait', async t => {
  const {scene, leader} = await listServersGradually();
  leader.serviceLeader.load.add(4_711, 1);
  await scene.advance(300);
  t.equal(countUnserved(leader), 0);
  t.ok(leader.serviceLeader.served().length > 0);
});

// A service's load lies on a fifth of its keys, on 59 servers that take part in
// one move each at a time. Callers are refused until it is spread: moves must
// go on side by side, in number as the servers do.
void tap.test('load is spread by many moves at once', async t => {
  const scene = createHarness(2, IDS);
  const {serviceLeader: lead} = await scene.startLeader();
  await scene.advance(1_000);
  const rateOf = (): number[] => {
    const rates = new Map<string | null, number>();
    for (const range of lead.served()) {
      const {server} = range;
      const rate = lead.load.rateOf(range);
      rates.set(server, (rates.get(server) ?? 0) + rate);
    }
    return IDS.map(id => rates.get(id) ?? 0);
  };
  let tookMs = 0;
  for (; tookMs < 20_000; tookMs += 200) {
    for (let key = 20_000; key < 33_000; key += 65) lead.load.add(key, 0.12);
    await scene.advance(200);
    const rates = rateOf();
    const mean = rates.reduce((sum, rate) => sum + rate) / SERVERS;
    if (tookMs > 400 && Math.max(...rates) < 1.6 * mean) break;
  }
  t.ok(tookMs <= 1_500, `even after ${tookMs} ms`);
});

const MANY_SERVERS = 200;
const SLOTS = 2;
const SERVICE_MS = 400;
/** Requests a second that all servers take together, and those that come. */
const CAPACITY = (MANY_SERVERS * SLOTS * 1_000) / SERVICE_MS;
const RATE = CAPACITY * 0.7;
const HOT_FROM = 20_000;
const HOT_KEYS = 200;
const HOT_SHARE = 0.39;
const STEP_MS = 50;

/** The share of all requests that go where there is no room for them. */
function unservedShare({serviceLeader: lead}: TestLeader): number {
  const rates = new Map<string | null, number>();
  for (const {from, to, server} of lead.served()) {
    const first = Math.max(from, HOT_FROM);
    const last = Math.min(to, HOT_FROM + HOT_KEYS - 1);
    const hot = Math.max(0, last - first + 1) / HOT_KEYS;
    const usual = (to - from + 1) / KEY_COUNT;
    const rate = RATE * (HOT_SHARE * hot + (1 - HOT_SHARE) * usual);
    rates.set(server, (rates.get(server) ?? 0) + rate);
  }
  let unserved = 0;
  for (const [server, rate] of rates) {
    const room = server === null ? 0 : CAPACITY / MANY_SERVERS;
    unserved += Math.max(0, rate - room);
  }
  return unserved / RATE;
}

// On 200 servers at seven tenths of what they can do, two fifths of all
// requests go to 200 neighbouring keys from one moment on: each is asked for
// once or twice a second, and a single server holds them. Callers are refused
// until they lie on half of all servers. No key by itself was asked for often
// enough to be noticed, and one look in 0.4 s halved the stretch: 37 % were
// refused after 0.8 s, 26 % after 2 s, 9 % after 4.8 s.
void tap.test('a busy stretch of keys is spread at once', async t => {
  const random = createRandom(3);
  const ids = Array.from({length: MANY_SERVERS}, (_, at) => `s${at}`);
  const scene = createHarness(2, ids);
  const leader = await scene.startLeader();
  const ask = (hotShare: number): void => {
    for (let left = (RATE * STEP_MS) / 1_000; left > 0; left--) {
      const isHot = random() < hotShare;
      const key = isHot
        ? HOT_FROM + Math.floor(random() * HOT_KEYS)
        : Math.floor(random() * KEY_COUNT);
      leader.serviceLeader.load.add(key, 1);
    }
  };
  const pass = async (ms: number, hotShare: number): Promise<number> => {
    let sum = 0;
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      ask(hotShare);
      await scene.advance(STEP_MS);
      sum += unservedShare(leader);
    }
    return (sum * STEP_MS) / ms;
  };
  await pass(6_000, 0);
  const first = await pass(2_000, HOT_SHARE);
  const later = await pass(2_000, HOT_SHARE);
  t.comment(`refused: ${first.toFixed(3)}, then ${later.toFixed(3)}`);
  t.ok(first < 0.24, 'half as many in two seconds');
  t.ok(later < 0.07, 'hardly any after that');
});
