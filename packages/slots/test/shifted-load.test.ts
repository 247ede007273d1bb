import tap from 'tap';
import {createRandom} from '@banyandrum/standins/seeded-random.js';
import {simulateLoad, type CallerKind, type Load} from './simulate-load.js';

/** Two kinds of long requests at servers with two slots. */
const HISTORY: CallerKind = {
  ...{name: 'history', perSecond: 0, priority: 2, workMs: 550},
  ...{targetMs: 1_503, limitMs: 6_013, lateValue: 0.5},
};
const ROYALTY: CallerKind = {
  ...{name: 'royalty', perSecond: 0, priority: 2, workMs: 879},
  ...{targetMs: 2_503, limitMs: 10_013, lateValue: 0.5},
};
const HISTORY_SHARE = 0.46;
const SLOTS = 2;
const SERVERS = 40;
const SPEEDS = [0.5, 1, 1, 1.5];
/** Other work on the hosts slows servers down. */
const NOISE = {share: 0.2, factor: 3, everyMs: 400};
const NOISE_MEAN = 1.4;
/** How unevenly keys meet servers: half as much or half as much again. */
const IMBALANCE = 0.25;
const SEEDS = [1, 2];

/** Requests of both kinds at `share` of the servers' capacity. */
function createLoad(seed: number, share: number): Load {
  const random = createRandom(seed * 7_919);
  const slowness = Array.from(
    {length: SERVERS},
    (_, at) => SPEEDS[at % SPEEDS.length]!,
  );
  const spread = (): number => random() + random() + random() - 1.5;
  const ownerLoads = slowness.map(() => Math.exp(2 * IMBALANCE * spread()));
  const capacity =
    slowness.reduce((sum, each) => sum + SLOTS / each, 0) / NOISE_MEAN;
  const workMs =
    HISTORY.workMs * HISTORY_SHARE + ROYALTY.workMs * (1 - HISTORY_SHARE);
  const perSecond = (share * capacity * 1_000) / workMs;
  const kinds = [
    {...HISTORY, perSecond: perSecond * HISTORY_SHARE},
    {...ROYALTY, perSecond: perSecond * (1 - HISTORY_SHARE)},
  ];
  return {
    ...{seed, seconds: 15, slots: SLOTS, slowness, isKeyed: true},
    ...{ownerLoads, noise: NOISE, kinds},
  };
}

/** Share of all callers that were not served. */
async function simulateUnserved(share: number): Promise<number> {
  let [requests, unserved] = [0, 0];
  for (const seed of SEEDS) {
    const outcomes = await simulateLoad(createLoad(seed, share));
    for (const outcome of outcomes.values()) {
      requests += outcome.requests;
      unserved += outcome.unserved;
    }
  }
  return unserved / requests;
}

// Guards against refusing callers of owners with few, uneven slots as soon as
// both are in use, although these are idle again a moment later.
void tap.test('owners with few slots, three quarters busy', async t => {
  const unserved = await simulateUnserved(0.75);
  t.ok(unserved <= 0.05, `not served: ${unserved.toFixed(3)}`);
});
