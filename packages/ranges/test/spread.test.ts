import tap from 'tap';
import {KEY_COUNT, sizeOf} from '@banyandrum/ranges/table.js';
import {createScene, unserved, type Leader, type Scene} from './scene.js';

const SERVERS = 59;
/** Servers that the leader hears of in each read of their list. */
const HEARD = 8;
const READ_MS = 400;
const FIRST_HEARD = 5;

const IDS = Array.from({length: SERVERS}, (_, at) => `s${at}`);

/** The largest part of all keys at a server, with 1 for an even part. */
function largestPart({lead}: Leader): number {
  const sizes = new Map<string | null, number>();
  for (const range of lead.served()) {
    const {server} = range;
    sizes.set(server, (sizes.get(server) ?? 0) + sizeOf(range));
  }
  return (Math.max(...sizes.values()) * SERVERS) / KEY_COUNT;
}

/** Servers come to be known some at a time, as at the start of everything. */
async function startSlowly(): Promise<{scene: Scene; leader: Leader}> {
  const scene = createScene(1, IDS);
  for (const id of IDS.slice(FIRST_HEARD)) scene.unlisted.add(id);
  scene.listSettledAt = Infinity;
  const leader = await scene.begin();
  for (let heard = FIRST_HEARD; heard < SERVERS; heard += HEARD) {
    await scene.pass(READ_MS);
    for (const id of IDS.slice(0, heard + HEARD)) scene.unlisted.delete(id);
  }
  return {scene, leader};
}

// All hosts and servers start at once, and the leader hears of eight servers
// in each read of their list. When callers come, every server must have its
// part: cut for the first five that were heard of, all requests went to those,
// and moves took many seconds to mend it while callers were refused.
void tap.test('a first cut is for all servers that start', async t => {
  const {scene, leader} = await startSlowly();
  t.equal(leader.lead.served().length, 0, 'it waits for the rest');
  scene.listSettledAt = 0;
  await scene.pass(1_000);
  t.equal(unserved(leader), 0);
  const largest = largestPart(leader);
  t.ok(largest < 1.3, `largest part ${largest.toFixed(2)} times an even one`);
});

// A caller comes before the list has settled. It isn't made to wait for that.
void tap.test('the first request ends the wait', async t => {
  const {scene, leader} = await startSlowly();
  leader.lead.load.add(4_711, 1);
  await scene.pass(300);
  t.equal(unserved(leader), 0);
  t.ok(leader.lead.served().length > 0);
});

// A service's load lies on a fifth of its keys, on 59 servers that take part in
// one move each at a time. Callers are refused until it is spread: moves must
// go on side by side, in number as the servers do.
void tap.test('load is spread by many moves at once', async t => {
  const scene = createScene(2, IDS);
  const {lead} = await scene.begin();
  await scene.pass(1_000);
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
    await scene.pass(200);
    const rates = rateOf();
    const mean = rates.reduce((sum, rate) => sum + rate) / SERVERS;
    if (tookMs > 400 && Math.max(...rates) < 1.6 * mean) break;
  }
  t.ok(tookMs <= 1_500, `even after ${tookMs} ms`);
});
