import tap from 'tap';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import {
  createRetryBudget,
  type RetryBudget,
} from '@banyandrum/dispatch/retry-budget.js';
import {simulateRetries, type RetryScenario} from './simulate-retries.js';

const ALLOWANCE = {ratio: 0.2, slack: 58, windowMs: 10_000};
const KNOWN_BY_ALL = {current: () => 9, ageMs: () => 0};

// Guards against exceeding the deployment's retry allowance. Routers don't
// communicate about retries, so the sum of their budgets must not exceed it.
void tap.test('all routers together stay within the allowance', async t => {
  for (const routers of [1, 9, 12, 300]) {
    const clock = createManualClock();
    const total = {current: () => routers, ageMs: () => 0};
    const budgets = Array.from({length: routers}, () =>
      createRetryBudget(ALLOWANCE, {
        ...{clock, routers: total, random: Math.random},
      }),
    );
    await clock.advance(ALLOWANCE.windowMs);
    const requests = 3_000;
    let retries = 0;
    for (const budget of budgets) {
      const ownRequests = Math.floor(requests / routers);
      for (let sent = 0; sent < ownRequests; sent++) {
        budget.deposit('holds');
        while (budget.tryWithdraw('holds')) retries++;
      }
    }
    const allowed = ALLOWANCE.ratio * requests + ALLOWANCE.slack;
    t.ok(retries <= allowed, `${routers} routers: ${retries} of ${allowed}`);
    t.ok(retries > 0);
  }
});

type Fleet = Pick<RetryScenario, 'startsOf' | 'countOf'>;

const NEVER = (): readonly number[] => [];

/** What the routers know of each other, for a number of routers. */
const FLEETS: Readonly<Record<string, (routers: number) => Fleet>> = {
  'all know their number': routers => ({
    ...{startsOf: NEVER, countOf: () => routers},
  }),
  'none knows it': () => ({startsOf: NEVER, countOf: () => null}),
  'all start at once and none knows it': () => ({
    ...{startsOf: () => [12], countOf: () => null},
  }),
  'all start at once and are counted one by one': routers => ({
    startsOf: () => [12],
    countOf(router, at, ageS) {
      if (at < 12) return routers;
      const counted = Math.min(routers, Math.floor(1 + (routers * ageS) / 5));
      return router < counted ? counted : null;
    },
  }),
  'all start in turn': routers => ({
    startsOf: router => [10 + (router * 12) / routers],
    countOf: (_, __, ageS) => (ageS < 1 ? null : routers),
  }),
  'each starts three times within a window': routers => ({
    startsOf: () => [20, 23, 26],
    countOf: (_, __, ageS) => (ageS < 0.5 ? null : routers),
  }),
  'half are cut off while the others count themselves': routers => ({
    startsOf: NEVER,
    countOf: (router, at) =>
      at < 15 || router % 2 === 0 ? routers : Math.ceil(routers / 2),
  }),
  'half of the rest are cut off again and again': routers => ({
    startsOf: NEVER,
    countOf(router, at) {
      const cuts = Math.min(Math.floor(at / 10), 3);
      const before = [2, 4, 8].findIndex(part => router % part !== 0);
      const steps = before < 0 ? cuts : Math.min(cuts, before);
      return Math.ceil(routers / 2 ** steps);
    },
  }),
};

const LOADS: Readonly<Record<string, (at: number) => number>> = {
  'few requests': () => 0.4,
  'many requests': () => 8,
  'a burst': at => (at >= 18 && at < 21 ? 12 : 0.5),
};

const SEEDS = [1, 2, 3];

// Guards against a router that counts itself as the only one, against a new
// share at each start, and against shares that outgrow the slack.
for (const [fleetTitle, fleetOf] of Object.entries(FLEETS)) {
  void tap.test(`retries stay within the allowance: ${fleetTitle}`, async t => {
    for (const routers of [4, 12, 80]) {
      for (const [loadTitle, requestsPerSecond] of Object.entries(LOADS)) {
        for (const seed of SEEDS) {
          const {worst, repeats} = simulateRetries({
            ...{routers, requestsPerSecond, failingShare: 1, seed},
            ...{...fleetOf(routers), allowance: ALLOWANCE, seconds: 45},
          });
          const title = `${routers} routers, ${loadTitle}, seed ${seed}`;
          t.ok(
            worst.repeats <= worst.allowed,
            `${title}: ${worst.repeats} of ${worst.allowed}`,
          );
          t.ok(repeats > 0, `${title}: retries are sent`);
        }
      }
    }
  });
}

// Guards against a budget that withholds retries which the allowance covers.
void tap.test(
  'most retries of a tenth of failing requests are sent',
  async t => {
    for (const routers of [4, 12, 80]) {
      for (const [title, fleetOf] of Object.entries(FLEETS)) {
        const {served, requests, repeats} = simulateRetries({
          ...{routers, requestsPerSecond: () => 8, failingShare: 0.1, seed: 1},
          ...{...fleetOf(routers), allowance: ALLOWANCE, seconds: 40},
        });
        // Each request that isn't served had a retry withheld.
        const wanted = repeats + requests - served;
        const share = repeats / wanted;
        t.ok(
          share > 0.8,
          `${title}, ${routers} routers: ${share} of them sent`,
        );
      }
    }
  },
);

// Guards against a service whose servers fail using up the retries of others.
void tap.test('each service has a budget of its own', async t => {
  const clock = createManualClock();
  const budget = createRetryBudget(ALLOWANCE, {
    ...{clock, routers: KNOWN_BY_ALL, random: () => 0},
  });
  for (let sent = 0; sent < 100; sent++) {
    budget.deposit('holds');
    budget.deposit('checks');
  }
  while (budget.tryWithdraw('holds'));
  t.equal(drain(budget, 'checks'), 17);
});

void tap.test('a changed allowance takes effect while running', async t => {
  const clock = createManualClock();
  const budget = createRetryBudget(ALLOWANCE, {
    ...{clock, routers: KNOWN_BY_ALL, random: () => 0},
  });
  await clock.advance(ALLOWANCE.windowMs);
  for (let sent = 0; sent < 100; sent++) budget.deposit('holds');
  budget.configure({...ALLOWANCE, slack: 18});
  t.equal(drain(budget, 'holds'), 17, '0.85 of 20 and 0.33 of 2');
  budget.configure({...ALLOWANCE, ratio: 0, slack: 0});
  t.equal(drain(budget, 'holds'), 0);
  budget.configure({...ALLOWANCE, windowMs: 60_000});
  t.equal(drain(budget, 'holds'), 0, 'counts of another window are unknown');
  for (let sent = 0; sent < 100; sent++) budget.deposit('holds');
  t.equal(drain(budget, 'holds'), 17);
  await clock.advance(67_000);
  t.equal(drain(budget, 'holds'), 2, 'the share of the slack alone');
});

/** Takes all retries that are left, and returns their number. */
function drain(budget: RetryBudget, service: string): number {
  let retries = 0;
  while (budget.tryWithdraw(service)) retries++;
  return retries;
}
