import tap from 'tap';
import {createDecayingSum} from '@banyandrum/queueing/decaying-sum.js';
import {createFairShares} from '@banyandrum/queueing/fair-shares.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

const STEPS = 20_000;
const FLOWS = 300;
const SLOTS = 3;
const HISTORY_MS = 2_000;

type Shares = Omit<ReturnType<typeof createFairShares>, 'largest'>;

interface Usage {
  readonly askedMs: number;
  readonly takenMs: number;
  readonly at: number;
}

/** Looks each flow up by its text at each step, without anything remembered. */
function createPlainShares(): Shares {
  const flows = new Map<string, Usage>();
  const totalMs = createDecayingSum(HISTORY_MS, 0);
  let asks = 0;
  let asksSinceLevel = 0;
  let level = {maxMs: Infinity, slots: 0, at: -Infinity};

  const use = (
    name: string | number,
    now: number,
    change: (usage: Usage) => Partial<Usage> = () => ({}),
  ): Usage => {
    const last = flows.get(String(name)) ?? {askedMs: 0, takenMs: 0, at: now};
    const factor = Math.exp((last.at - now) / HISTORY_MS);
    const [askedMs, takenMs] = [last.askedMs * factor, last.takenMs * factor];
    const decayed = {askedMs, takenMs, at: now};
    const next = {...decayed, ...change(decayed)};
    flows.set(String(name), next);
    return next;
  };

  const levelFor = (slots: number, now: number): number => {
    const total = slots * HISTORY_MS;
    if (totalMs.value(now) <= total) return Infinity;
    const isClose = Math.abs(level.slots - slots) <= slots * 0.1;
    const ageMs = now - level.at;
    const isRecent = asksSinceLevel * 8 < flows.size && ageMs < 1_000;
    if (isClose && (ageMs < 100 || isRecent)) return level.maxMs;
    asksSinceLevel = 0;
    const asked = [...flows.keys()].map(name => use(name, now).askedMs);
    asked.sort((a, b) => a - b);
    let left = total;
    let maxMs = Infinity;
    for (const [at, each] of asked.entries()) {
      const share = left / (asked.length - at);
      if (each > share) {
        maxMs = share;
        break;
      }
      left -= each;
    }
    level = {maxMs, slots, at: now};
    return maxMs;
  };

  return {
    ask(name, costMs, now) {
      use(name, now, ({askedMs}) => ({askedMs: askedMs + costMs}));
      totalMs.add(costMs, now);
      asksSinceLevel++;
      if (++asks < 128) return;
      asks = 0;
      for (const each of [...flows.keys()]) {
        const {askedMs, takenMs} = use(each, now);
        if (Math.max(askedMs, takenMs) < 1) flows.delete(each);
      }
    },
    charge: (name, costMs, now) =>
      void use(name, now, ({takenMs}) => ({takenMs: takenMs + costMs})),
    refund: (name, costMs, now) =>
      void use(name, now, ({takenMs}) => ({
        takenMs: Math.max(0, takenMs - costMs),
      })),
    standing(name, costMs, slots, now) {
      if (flows.size <= 1) return 'asks-less';
      const levelMs = levelFor(slots, now);
      const maxMs = levelMs + 2 * costMs + Math.sqrt(levelMs * costMs);
      const {askedMs, takenMs} = use(name, now);
      if (askedMs <= maxMs) return 'asks-less';
      return takenMs + costMs <= maxMs ? 'got-less' : 'got-more';
    },
    entitledPart(name, slots, now) {
      if (flows.size <= 1) return 1;
      const {askedMs} = use(name, now);
      return Math.min(1, levelFor(slots, now) / Math.max(1, askedMs));
    },
    slotsAsked: now => totalMs.value(now) / HISTORY_MS,
  };
}

/** What the shares say of a random load with pauses, in order. */
function decisionsOf(shares: Shares, seed: number): readonly unknown[] {
  const random = createRandom(seed);
  const decisions: unknown[] = [];
  let now = 0;
  for (let step = 0; step < STEPS; step++) {
    now += random() < 0.001 ? 30_000 * random() : 60 * random();
    if (random() < 0.3) now = Math.round(now);
    const name = Math.floor(FLOWS * random() ** 3);
    const costMs = random() < 0.05 ? 0.2 : 40 + 200 * random();
    const slots = random() < 0.02 ? SLOTS * 2 : SLOTS;
    decisions.push(shares.entitledPart(name, slots, now));
    shares.ask(name, costMs, now);
    decisions.push(shares.standing(name, costMs, slots, now));
    shares.charge(name, costMs, now);
    if (random() < 0.4) shares.refund(name, costMs, now + 5 * random());
    decisions.push(shares.slotsAsked(now));
  }
  return decisions;
}

void tap.test('shares are as plain ones', async t => {
  for (const seed of [1, 63, 4_711]) {
    const decisions = decisionsOf(createFairShares(), seed);
    t.strictSame(decisions, decisionsOf(createPlainShares(), seed));
    for (const standing of ['asks-less', 'got-less', 'got-more'])
      t.ok(decisions.includes(standing), `${standing} with seed ${seed}`);
  }
});
