import tap from 'tap';
import {simulateLoad, totalValue, type Load} from './simulate-load.js';

const NOISE = {share: 0.2, factor: 3, everyMs: 400};
const SPEEDS = [0.7, 0.7, 1.6];
const SEEDS = [1, 2, 3, 4];

/**
 * Requests without keys on uneven servers, of two kinds of unlike work at
 * 0.7 of the servers' capacity, with targets of two to three times the work.
 */
const UNKEYED: Load = {
  ...{seed: 0, seconds: 15, slots: 3, isKeyed: false, noise: NOISE},
  slowness: Array.from({length: 12}, (_, at) => SPEEDS[at % 3]!),
  kinds: [
    {
      ...{name: 'match-check', perSecond: 48, priority: 0, workMs: 75},
      ...{targetMs: 200, limitMs: 3_000, lateValue: 0.1},
    },
    {
      ...{name: 'glossary-pull', perSecond: 38, priority: 0, workMs: 470},
      ...{targetMs: 1_000, limitMs: 6_000, lateValue: 0.1},
    },
  ],
};

/** Requests for keys of uneven servers, close to their capacity. */
const KEYED: Load = {
  ...{seed: 0, seconds: 15, slots: 3, isKeyed: true, noise: NOISE},
  slowness: Array.from({length: 12}, (_, at) => SPEEDS[at % 3]!),
  ownerLoads: Array.from({length: 12}, () => 1),
  kinds: [
    {
      ...{name: 'slot-check', perSecond: 90, priority: 0, workMs: 160},
      ...{targetMs: 500, limitMs: 3_000, lateValue: 0.1},
    },
    {
      ...{name: 'handover-confirm', perSecond: 33, priority: 0, workMs: 210},
      ...{targetMs: 800, limitMs: 5_000, lateValue: 0.1},
    },
  ],
};

interface Totals {
  value: number;
  late: number;
  requests: number;
}

/** Mean results over the seeds. */
async function run(load: Load): Promise<Totals> {
  const totals = {value: 0, late: 0, requests: 0};
  for (const seed of SEEDS) {
    const outcomes = await simulateLoad({...load, seed});
    totals.value += totalValue(load, outcomes) / SEEDS.length;
    for (const {late, requests} of outcomes.values()) {
      totals.late += late;
      totals.requests += requests;
    }
  }
  return totals;
}

// Guards against requests that are sent to the server that is free first, or was
// fast on average, while its machine is busy with other work.
void tap.test('requests go where they are answered soonest', async t => {
  const before = await run(UNKEYED);
  const after = await run({...UNKEYED, timesByKind: true});
  t.comment(JSON.stringify({before, after}));
  t.ok(after.late <= before.late * 0.75, `${after.late} of ${before.late}`);
});

// Guards against requests for keys that are refused, or queued too long, as the
// time at their owner is estimated worse than by the mean of the service.
void tap.test('requests for keys', async t => {
  const before = await run(KEYED);
  const after = await run({...KEYED, timesByKind: true});
  t.comment(JSON.stringify({before, after}));
  t.ok(after.value >= before.value - 0.01, `${after.value}, ${before.value}`);
});
