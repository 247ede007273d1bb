import tap from 'tap';
import {createHarness, type Harness} from './restored-leaders.js';

const KEYS = Array.from({length: 32}, (_, at) => at * 2_048);
const SEEDS = [1, 2, 3, 4, 5];
/** Time in which a server ends its running requests, in ms. */
const RELEASE_MS = 300;
/** Longer than a call to the store that times out, and a retry, in ms. */
const UNREACHABLE_MS = 1_500;
/** Within this time after the store is back, all keys have a server, in ms. */
const RECOVERY_MS = 2_000;

const LONGEST_WAIT_MS = 1_000;

interface LeadingHarness extends Harness {
  /** Advances the clock in steps of 1 ms until the condition is met. */
  advanceUntil(isMet: () => boolean): Promise<void>;
  areAllOwned(): boolean;
}

async function createLeader(seed: number): Promise<LeadingHarness> {
  const harness = createHarness(seed);
  const {cluster, routers} = harness;
  void routers[0]!.leadership.startTerm();
  await harness.advance(3_000);
  cluster.releaseMs = () => RELEASE_MS;
  const advanceUntil = async (isMet: () => boolean): Promise<void> => {
    for (let passed = 0; passed < LONGEST_WAIT_MS && !isMet(); passed++)
      await harness.clock.advance(1);
    if (!isMet()) throw new Error('not met in time');
  };
  const areAllOwned = (): boolean =>
    KEYS.every(key => cluster.holdersOf(key).length === 1);
  return {...harness, advanceUntil, areAllOwned};
}

// Guards against keys without a server for 16 s after a restore that the leader
// noticed before it could record the move of their range.
void tap.test('a move that was not recorded before a restore', async t => {
  for (const seed of SEEDS) {
    const harness = await createLeader(seed);
    const {cluster, store, routers, unlisted} = harness;
    const {leadership, access} = routers[0]!;
    unlisted.add('a');
    await harness.advance(100);
    store.restore(store.takeSnapshot());
    leadership.checkTerm();
    await harness.advanceUntil(() => access.history.epoch() === 2);
    access.isUnreachable = true;
    await harness.advance(UNREACHABLE_MS);
    t.notOk(harness.areAllOwned(), 'a range is being moved');
    access.isUnreachable = false;
    await harness.advance(RECOVERY_MS);
    t.ok(harness.areAllOwned(), `all keys have a server, seed ${seed}`);
    t.same(cluster.violations, []);
    t.same(cluster.holdersOf(0).includes('a'), false, 'the range has moved');
    leadership.resign();
  }
});

// Guards against the same if the leader learns of the restore from the answer
// to its record.
void tap.test('a move whose record a restored store refused', async t => {
  for (const seed of SEEDS) {
    const harness = await createLeader(seed);
    const {cluster, store, routers, unlisted} = harness;
    const {leadership, access} = routers[0]!;
    unlisted.add('a');
    await harness.advance(100);
    store.restore(store.takeSnapshot());
    await harness.advanceUntil(() => access.history.epoch() === 2);
    access.isUnreachable = true;
    await harness.advance(UNREACHABLE_MS);
    access.isUnreachable = false;
    await harness.advance(RECOVERY_MS);
    t.ok(harness.areAllOwned(), `all keys have a server, seed ${seed}`);
    t.same(cluster.violations, []);
    leadership.resign();
  }
});

// Guards against two servers of a range whose record may have been read by a
// leader that the restored store has forgotten.
void tap.test('a move whose record had no answer before a restore', async t => {
  for (const seed of SEEDS) {
    const harness = await createLeader(seed);
    const {cluster, store, routers, unlisted} = harness;
    const [first, second] = routers;
    const snapshot = store.takeSnapshot();
    unlisted.add('a');
    harness.links.areCut = true;
    const isRecorded = (): boolean =>
      [...store.takeSnapshot().tables.values()].every(({assignments}) =>
        assignments.every(({server}) => server !== 'a'),
      );
    await harness.advanceUntil(isRecorded);
    first!.access.isUnreachable = true;
    // The other leader starts and ends between two renewals of the first one.
    await harness.advance(150);
    void second!.leadership.startTerm();
    await harness.advance(300);
    store.restore(snapshot);
    t.ok(first!.leadership.isLeading(), 'the leader goes on');
    t.ok(second!.leadership.isLeading(), 'another leads');
    t.ok(harness.areAllOwned(), 'and has granted the range');
    second!.access.isUnreachable = true;
    first!.access.isUnreachable = false;
    first!.leadership.checkTerm();
    await harness.advance(20_000);
    t.same(cluster.violations, [], `seed ${seed}`);
    for (const {leadership} of routers) leadership.resign();
  }
});
