import tap from 'tap';
import {request, RULES, type TestRules} from './fakes.js';
import {
  createLoadedSystem,
  DEFAULT_LOAD,
  nextGap,
  offer,
  quantile,
  usefulRate,
  type Kind,
  type LoadOptions,
  type Tally,
} from './load.js';

/** Two servers with four slots each and 50 ms per request. */
const CAPACITY = 160;

const ANYBODY = {
  pickKey: (random: () => number) => `k${Math.floor(random() * 2000)}`,
  pickCaller: (random: () => number) => `c${Math.floor(random() * 40)}`,
};

/** Holds, lookups and reports at `times` the capacity. */
function mix(times: number): readonly Kind[] {
  const rate = CAPACITY * times;
  return [
    {...ANYBODY, level: 0, rate: rate * 0.15, deadlineMs: 1000},
    {...ANYBODY, level: 1, rate: rate * 0.55, deadlineMs: 2000},
    {...ANYBODY, level: 2, rate: rate * 0.3, deadlineMs: 15_000},
  ];
}

const AGEING: TestRules = {
  ...RULES,
  limits: {...RULES.limits, maxQueued: 200},
  precedence: [
    {name: 'holds', ageAfterMs: 0},
    {name: 'lookups', ageAfterMs: 2500},
    {name: 'reports', ageAfterMs: 1000},
  ],
};

const NO_AGEING: TestRules = {
  ...AGEING,
  precedence: AGEING.precedence.map(level => ({...level, ageAfterMs: 0})),
};

const ENDLESS: TestRules = {
  ...AGEING,
  limits: {...AGEING.limits, maxQueued: 1e6, maxQueuedBytes: 1e12},
};

const ONE_LEVEL: Partial<LoadOptions> = {rules: AGEING, levelOf: () => 0};
const PLAIN: Partial<LoadOptions> = {
  levelOf: () => 0,
  rules: ENDLESS,
  policy: {fair: false, refuseEarly: false},
};

async function run(
  over: Partial<LoadOptions>,
  kinds: readonly Kind[],
): Promise<readonly Tally[]> {
  return offer({...DEFAULT_LOAD, rules: AGEING, ...over, kinds});
}

/** Fraction of the ended requests that were answered in time. */
function served(tally: Tally | undefined): number {
  if (tally === undefined) return 0;
  const {useful, refusedAtOnce, refusedLate, wasted} = tally;
  return useful / (useful + refusedAtOnce + refusedLate + wasted);
}

/** Fraction of the refusals that came after a wait. */
function late(tallies: readonly Tally[]): number {
  const waited = tallies.reduce((sum, tally) => sum + tally.refusedLate, 0);
  const all = tallies.reduce((sum, tally) => sum + tally.refusedAtOnce, waited);
  return all === 0 ? 0 : waited / all;
}

void tap.test('goodput is stable beyond saturation', async t => {
  // At up to three times the capacity, holds are served as before, lookups in
  // part, and reports wait. Requests that can't be served in time are refused on
  // arrival, so that no slot is wasted.
  const rates: number[] = [];
  for (const times of [1, 2, 3]) {
    const tallies = await run({}, mix(times));
    const [holds, , reports] = tallies;
    rates.push(usefulRate(tallies, DEFAULT_LOAD.seconds));
    t.ok(served(holds) > 0.98, `holds at ${times}x: ${served(holds)}`);
    t.ok(quantile(holds?.waits ?? [], 0.99) < 250, 'holds wait little');
    t.ok(served(reports) > 0.05, `reports at ${times}x: ${served(reports)}`);
    t.ok(late(tallies) < 0.02, `refused late at ${times}x: ${late(tallies)}`);
  }
  const peak = Math.max(...rates);
  t.ok(peak > 0.95 * CAPACITY, `peak ${peak}`);
  t.ok(Math.min(...rates) > 0.9 * peak, `useful a second: ${rates.join()}`);
});

void tap.test(
  'each part of the policy is needed at 3x the capacity',
  async t => {
    const [holds] = await run(ONE_LEVEL, mix(3));
    t.ok(served(holds) < 0.5, `holds without precedence: ${served(holds)}`);
    const [, , reports] = await run({rules: NO_AGEING}, mix(3));
    t.ok(served(reports) < 0.01, `reports without ageing: ${served(reports)}`);
    const plain = await run(PLAIN, mix(3));
    t.ok(late(plain) > 0.5, `late without early refusal: ${late(plain)}`);
    t.ok(served(plain[0]) < 0.2, `holds in plain order: ${served(plain[0])}`);
  },
);

const QUIET: Kind = {
  ...ANYBODY,
  level: 0,
  rate: 0.4 * CAPACITY,
  deadlineMs: 1000,
};

const CROWDS: ReadonlyMap<string, Kind> = new Map([
  [
    'one noisy caller',
    {...QUIET, pickCaller: () => 'noisy', rate: 3 * CAPACITY},
  ],
  ['one contested key', {...QUIET, pickKey: () => 'hot', rate: 3 * CAPACITY}],
]);

void tap.test('many requests of one caller do not starve others', async t => {
  for (const [name, crowd] of CROWDS) {
    const [quiet, loud] = await run({}, [QUIET, crowd]);
    t.ok(served(quiet) > 0.98, `${name}: quiet ones ${served(quiet)}`);
    t.ok(served(loud) > 0.02, `${name}: it is served too`);
    const policy = {fair: false, refuseEarly: true};
    const [starved] = await run({policy}, [QUIET, crowd]);
    t.ok(served(starved) < 0.9, `${name}, in plain order: ${served(starved)}`);
  }
});

void tap.test('refused callers are told when to retry', async t => {
  // During two seconds at three times the capacity, refused callers retry when
  // told to. Nearly all are served after a few attempts, many fewer than with
  // retries every 100 ms.
  const told = await comeBack(hintMs => hintMs);
  const impatient = await comeBack(() => 100);
  t.equal(told.served, told.asked);
  t.ok(told.attempts < 4 * told.asked, `${told.attempts / told.asked}`);
  t.ok(impatient.attempts > 2 * told.attempts, `${impatient.attempts}`);
});

interface Returns {
  asked: number;
  served: number;
  attempts: number;
}

/** A burst of callers that retry after each refusal. */
async function comeBack(pauseOf: (hintMs: number) => number): Promise<Returns> {
  const options = {...DEFAULT_LOAD, rules: AGEING};
  const {clock, random, handle} = createLoadedSystem(options);
  const returns = {asked: 0, served: 0, attempts: 0};
  const ask = async (): Promise<void> => {
    returns.attempts++;
    const key = ANYBODY.pickKey(random);
    const caller = ANYBODY.pickCaller(random);
    const deadline = clock.now() + 1500;
    const outcome = await handle(request({key, caller, deadline}));
    if (outcome.ok) {
      returns.served++;
      return;
    }
    const pauseMs = pauseOf(outcome.val.retryAfterMs ?? 0);
    clock.after(pauseMs * (0.75 + random() / 2), () => void ask());
  };
  const arrive = (): void => {
    if (clock.now() > 2000) return;
    returns.asked++;
    void ask();
    clock.after(nextGap(random, 3 * CAPACITY), arrive);
  };
  arrive();
  await clock.advance(20_000);
  return returns;
}
