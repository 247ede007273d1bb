import tap from 'tap';
import type {LatencyProfile} from '@banyandrum/ranges/late-answers.js';
import {createHarness, type Harness, type TestLeader} from './harness.js';

const PROFILE: LatencyProfile = {
  kinds: [{share: 1, relativeWork: 1, targetMs: 500}],
  spread: [0.5, 0.7, 0.8, 0.9, 1, 1.1, 1.2, 1.3, 1.6, 2.2],
};
const SLOTS = 3;
const FAST_MS = 160;
const SLOW_MS = 370;
const REQUESTS_PER_STEP = 4;
const STEP_MS = 50;
/** Time after which the keys of a lost server have another one, in ms. */
const LOST_MS = 6_000;

/** A fast server with load, a slow one without, and one that will be lost. */
async function startLeader(
  profile: LatencyProfile | null,
): Promise<readonly [Harness, TestLeader]> {
  const harness = createHarness(1, ['fast', 'slow', 'leaving'], {
    slots: SLOTS,
    serviceMsOf: id => (id === 'slow' ? SLOW_MS : FAST_MS),
    profile: () => profile,
  });
  const leader = await harness.startLeader();
  await harness.advance(1_000);
  return [harness, leader];
}

function rangesOf({serviceLeader}: TestLeader, id: string) {
  return serviceLeader.served().filter(({server}) => server === id);
}

/** Adds load for a key of the fast server, at 40 % of its capacity. */
async function playLoad(harness: Harness, leader: TestLeader): Promise<void> {
  const {from} = rangesOf(leader, 'fast')[0]!;
  // Balancing would move the range.
  harness.runningKeys = [from];
  for (let step = 0; step < 40; step++) {
    if (step % REQUESTS_PER_STEP < 1) leader.serviceLeader.load.add(from, 1);
    await harness.advance(STEP_MS);
  }
}

/** Ranges of a lost server that the slow one gets, of all its ranges. */
async function countAtSlow(
  profile: LatencyProfile | null,
  lose: (harness: Harness) => void,
): Promise<readonly [number, number]> {
  const [harness, leader] = await startLeader(profile);
  await playLoad(harness, leader);
  const leaving = rangesOf(leader, 'leaving').map(({from}) => from);
  lose(harness);
  await harness.advance(LOST_MS);
  const slow = rangesOf(leader, 'slow').filter(({from, to}) =>
    leaving.some(key => from <= key && key <= to),
  );
  return [slow.length, leaving.length];
}

const LOSSES = [
  {
    name: 'a lost server',
    lose({cluster, unlisted}: Harness): void {
      cluster.servers.find(({id}) => id === 'leaving')!.isUp = false;
      unlisted.add('leaving');
    },
  },
  {
    name: 'an evacuated server',
    lose({evacuated}: Harness): void {
      evacuated.add('leaving');
    },
  },
] as const;

// Guards against a choice by utilization, which gives keys to an idle server that
// is too slow to answer them in time.
for (const {name, lose} of LOSSES) {
  void tap.test(`the ranges of ${name} go to a fast one`, async t => {
    const [atSlow, all] = await countAtSlow(PROFILE, lose);
    t.ok(all > 0);
    t.equal(atSlow, 0, `${atSlow} of ${all} at the slow server`);
    const [byUtilization] = await countAtSlow(null, lose);
    t.ok(byUtilization > 0, `by utilization ${byUtilization} of ${all}`);
  });
}

// Guards against a gauge that shows nothing, or an estimate without a profile.
void tap.test('the expected late answers are known', async t => {
  const [harness, leader] = await startLeader(PROFILE);
  t.equal(leader.serviceLeader.expectedLate(), 0, 'none without load');
  await playLoad(harness, leader);
  t.ok(leader.serviceLeader.expectedLate() > 0);
  const [otherHarness, other] = await startLeader(null);
  await playLoad(otherHarness, other);
  t.equal(other.serviceLeader.expectedLate(), 0, 'unknown without a profile');
});
