import tap from 'tap';
import {
  createStoreContact,
  type StoreContact,
} from '@banyandrum/gateway/store-contact.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

interface Harness {
  readonly clock: ManualClock;
  readonly contact: StoreContact;
  readonly events: string[];
  /** Times at which reads were resumed, in ms. */
  readonly resumedAt: number[];
  call(isAnswered: boolean): Promise<void>;
}

async function createHarness(isLeading = false): Promise<Harness> {
  const clock = createManualClock();
  const events: string[] = [];
  const resumedAt: number[] = [];
  const contact = createStoreContact({
    clock,
    emit: event => void events.push(event),
    isLeading: () => isLeading,
    random: () => 0.5,
  });
  contact.endStartup();
  contact.subscribe(() => resumedAt.push(clock.now()));
  const call = async (isAnswered: boolean): Promise<void> => {
    await contact.track(Promise.resolve(isAnswered), result => result);
  };
  return {clock, contact, events, resumedAt, call};
}

// Guards against routers that go on reading a store that is down, and against
// reads that are not resumed at once.
void tap.test('reads pause after failures until a call succeeds', async t => {
  const {clock, contact, events, resumedAt, call} = await createHarness();
  await call(false);
  await call(false);
  t.equal(contact.mayRead(), true);
  await call(false);
  t.equal(contact.mayRead(), false);
  t.equal(contact.isPaused(), true);
  await clock.advance(500);
  await call(true);
  t.same(resumedAt, [500]);
  t.equal(contact.mayRead(), true);
  t.same(events, ['store-reads-paused', 'store-reads-resumed']);
});

// Guards against a pause while some of the calls succeed: what is read is then
// needed as before.
void tap.test('a store that answers some calls is read', async t => {
  const {contact, call} = await createHarness();
  for (let i = 0; i < 30; i++) {
    await call(i % 3 === 0);
    t.equal(contact.mayRead(), true);
  }
});

// Guards against a store that swallows calls, which fail seconds later.
void tap.test('calls that are overdue count as failed', async t => {
  const {clock, contact} = await createHarness();
  const never = new Promise<boolean>(() => undefined);
  for (let i = 0; i < 3; i++) void contact.track(never, result => result);
  t.equal(contact.mayRead(), true);
  await clock.advance(600);
  t.equal(contact.mayRead(), false);
});

// Guards against a call that waits for changes being taken for an overdue one.
void tap.test('a call that may wait is not overdue early', async t => {
  const {clock, contact} = await createHarness();
  const never = new Promise<boolean>(() => undefined);
  for (let i = 0; i < 3; i++) void contact.track(never, result => result, 800);
  await clock.advance(1_200);
  t.equal(contact.mayRead(), true);
});

// Guards against a router that learns nothing while only its renewals fail.
void tap.test('a paused router reads now and then', async t => {
  const {clock, contact, call} = await createHarness();
  for (let i = 0; i < 3; i++) await call(false);
  let reads = 0;
  for (let ms = 0; ms < 12_000; ms += 100) {
    if (contact.mayProbe()) reads++;
    await clock.advance(100);
  }
  t.ok(reads >= 4 && reads <= 6, `${reads} reads in 12 s`);
});

// Guards against a leader that stops reading for all others.
void tap.test('a leader reads on', async t => {
  const {contact, resumedAt, call} = await createHarness(true);
  for (let i = 0; i < 5; i++) await call(false);
  t.equal(contact.mayRead(), true);
  await call(true);
  t.equal(resumedAt.length, 1, 'what was put off is resumed');
});

// Guards against starting routers that read what a leader is about to send, and
// against those that wait for a leader that doesn't exist.
void tap.test('a starting router reads after a short wait', async t => {
  const clock = createManualClock();
  const contact = createStoreContact({
    ...{clock, emit: () => undefined, isLeading: () => false},
  });
  let resumed = 0;
  contact.subscribe(() => resumed++);
  t.equal(contact.mayProbe(), false);
  await clock.advance(250);
  t.equal(contact.mayRead(), true);
  t.equal(resumed, 1);
});
