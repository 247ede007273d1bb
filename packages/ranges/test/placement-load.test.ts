import tap from 'tap';
import {
  simulatePlacement,
  type PlacementLoad,
  type PlacementOutcome,
  type PlacementState,
} from './simulate-placement.js';

/** Part of all slots' capacity that is requested. */
const UTILIZATIONS = [0.25, 0.4, 0.55] as const;
const SEEDS = [1, 2, 3] as const;
/** Part of today's late answers that may remain. */
const MAX_LATE_RATIO = 2 / 3;
const BASE = {warmUpMs: 20_000, measuredMs: 40_000};

/** What both plans did under the same load. */
interface PlanPair {
  readonly byUtilization: PlacementOutcome;
  readonly byLatency: PlacementOutcome;
}

async function playBoth(
  load: Omit<PlacementLoad, 'byLatency'>,
): Promise<PlanPair> {
  return {
    byUtilization: await simulatePlacement({...load, byLatency: false}),
    byLatency: await simulatePlacement({...load, byLatency: true}),
  };
}

function totalOf(
  pairs: readonly PlanPair[],
  plan: keyof PlanPair,
  value: (outcome: PlacementOutcome) => number,
): number {
  return pairs.reduce((sum, pair) => sum + value(pair[plan]), 0);
}

/** Late answers by latency, relative to those by utilization. */
function lateRatio(pairs: readonly PlanPair[]): number {
  const late = ({late}: PlacementOutcome): number => late;
  return (
    totalOf(pairs, 'byLatency', late) / totalOf(pairs, 'byUtilization', late)
  );
}

function movedShare(pairs: readonly PlanPair[], plan: keyof PlanPair): number {
  return totalOf(pairs, plan, each => each.movedKeysBefore + each.movedKeys);
}

function describe({byUtilization, byLatency}: PlanPair): string {
  const text = (outcome: PlacementOutcome): string => {
    const {late, requests, movedKeysBefore, movedKeys, moves, ranges} = outcome;
    const share = ((late / requests) * 100).toFixed(2);
    const moved = ((movedKeysBefore + movedKeys) * 100).toFixed(1);
    return `${late} late (${share} %), ${moved} % of keys moved in ${moves} moves, ${ranges} ranges`;
  };
  return `by utilization ${text(byUtilization)}; by latency ${text(byLatency)}`;
}

function violationsOf({byUtilization, byLatency}: PlanPair): readonly string[] {
  return [...byUtilization.violations, ...byLatency.violations];
}

// Guards against slow servers that get requests which they answer late even
// without a queue, and against moves that cost more than they save.
void tap.test('late answers are fewer by a third', async t => {
  const all: PlanPair[] = [];
  for (const utilization of UTILIZATIONS) {
    const pairs: PlanPair[] = [];
    for (const seed of SEEDS) {
      const pair = await playBoth({...BASE, seed, utilization});
      t.comment(`${utilization}, seed ${seed}: ${describe(pair)}`);
      t.same(violationsOf(pair), []);
      pairs.push(pair);
    }
    const ratio = lateRatio(pairs);
    t.comment(`${utilization}: ${ratio.toFixed(3)} of the late answers`);
    const before = movedShare(pairs, 'byUtilization');
    const moved = movedShare(pairs, 'byLatency');
    t.ok(moved <= before, `${moved.toFixed(2)} of ${before.toFixed(2)} keys`);
    all.push(...pairs);
  }
  const ratio = lateRatio(all);
  t.ok(ratio <= MAX_LATE_RATIO, `${ratio.toFixed(3)} of the late answers`);
});

// Guards against moves that follow a swing and arrive when it has reversed.
void tap.test('a swinging demand is not followed', async t => {
  const pairs: PlanPair[] = [];
  for (const seed of SEEDS) {
    const load = {...BASE, seed, utilization: 0.4, swing: 0.55};
    const pair = await playBoth(load);
    t.comment(`seed ${seed}: ${describe(pair)}`);
    pairs.push(pair);
  }
  const movedLater = (plan: keyof PlanPair): number =>
    totalOf(pairs, plan, ({movedKeys}) => movedKeys);
  const before = movedLater('byUtilization');
  const moved = movedLater('byLatency');
  t.ok(moved <= before, `${moved.toFixed(3)} of ${before.toFixed(3)} keys`);
  const ratio = lateRatio(pairs);
  t.ok(ratio <= MAX_LATE_RATIO, `${ratio.toFixed(3)} of the late answers`);
});

/** Takes a server of normal speed away, as on a host without power. */
function loseServer({servers, harness}: PlacementState): void {
  const server = servers[0]!;
  server.isUp = false;
  harness.cluster.servers.find(({id}) => id === server.id)!.isUp = false;
}

/** Evacuates every fourth server. */
function evacuateDataCentre({servers, harness}: PlacementState): void {
  for (let at = 0; at < servers.length; at += 4)
    harness.evacuated.add(servers[at]!.id);
}

const LOSSES = [
  {name: 'a server is lost', lose: loseServer},
  {name: 'a data centre is evacuated', lose: evacuateDataCentre},
] as const;

// Guards against keys that are given to slow servers as they have most free
// slots, when they must leave their own.
for (const {name, lose} of LOSSES) {
  void tap.test(`late answers after ${name}`, async t => {
    const pairs: PlanPair[] = [];
    for (const seed of SEEDS) {
      const pair = await playBoth({
        ...{...BASE, seed, utilization: 0.4, measuredMs: 15_000},
        onStep(state, ms) {
          if (ms === 0) lose(state);
        },
      });
      t.comment(`seed ${seed}: ${describe(pair)}`);
      t.same(violationsOf(pair), []);
      pairs.push(pair);
    }
    const ratio = lateRatio(pairs);
    t.ok(ratio <= 0.9, `${ratio.toFixed(3)} of the late answers`);
  });
}
