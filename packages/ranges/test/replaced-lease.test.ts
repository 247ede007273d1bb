import tap from 'tap';
import {createHarness, type Harness, type TestLeader} from './harness.js';

const STEP_MS = 50;
/** Longer than a lease. */
const OUTAGE_MS = 6_000;
const AFTER_MS = 6_000;

function serversOf({serviceLeader}: TestLeader): readonly (string | null)[] {
  return serviceLeader.served().map(({server}) => server);
}

async function advanceUntil(
  harness: Harness,
  isReached: () => boolean,
): Promise<void> {
  for (let steps = 0; !isReached(); steps++) {
    if (steps > 200) throw new Error('not reached');
    await harness.advance(STEP_MS);
  }
}

/** A merged range of `leaving` waits for the store, which is away. */
async function mergeWithoutStore(): Promise<readonly [Harness, TestLeader]> {
  const harness = createHarness(1, ['leaving', 'other']);
  const leader = await harness.startLeader();
  await harness.advance(1_000);
  harness.unlisted.add('other');
  await advanceUntil(harness, () =>
    serversOf(leader).every(server => server === 'leaving'),
  );
  harness.cluster.faultRates.unsaved = 1;
  await advanceUntil(harness, () => serversOf(leader).length === 2);
  harness.unlisted.delete('other');
  return [harness, leader];
}

// Guards against a second owner of a merged range whose server left and was cut
// off during the outage: the leases that it replaces were renewed until its end.
void tap.test('a server leaves while a merged range waits', async t => {
  const [harness, leader] = await mergeWithoutStore();
  await harness.advance(OUTAGE_MS - STEP_MS);
  t.same(harness.cluster.holdersOf(0), ['leaving'], 'renewed so far');
  harness.unlisted.add('leaving');
  await harness.advance(STEP_MS);
  harness.cluster.servers[0]!.unreachableBy.add(0);
  harness.cluster.faultRates.unsaved = 0;
  await harness.advance(AFTER_MS);
  t.same(harness.cluster.violations, []);
  t.ok(serversOf(leader).every(server => server === 'other'));
});

// Guards against two owners of a range that is merged in the same step in which
// its move out of an evacuated data centre begins.
void tap.test('ranges merge as their data centre is evacuated', async t => {
  for (let steps = 0; steps < 60; steps++) {
    const harness = createHarness(steps + 1, ['evacuated', 'other']);
    await harness.startLeader();
    await harness.advance(1_000);
    harness.unlisted.add('other');
    await harness.advance(steps * STEP_MS);
    harness.unlisted.delete('other');
    harness.evacuated.add('evacuated');
    await harness.advance(AFTER_MS);
    t.same(harness.cluster.violations, [], `${steps} steps`);
  }
});
