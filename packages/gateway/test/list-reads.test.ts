import tap from 'tap';
import {
  createListReads,
  type ListReads,
} from '@banyandrum/gateway/list-reads.js';
import type {ServerListRead} from '@banyandrum/gateway/platform.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

const INTERVAL_MS = 60;

interface Rig {
  readonly clock: ManualClock;
  readonly reads: ListReads;
  /** Answers the reads, in the order in which they were sent. */
  readonly answers: ((read: ServerListRead) => void)[];
  /** What was applied: where the read ended, and when it had been sent. */
  readonly applied: (readonly [number | 'failed', number | undefined])[];
  cursor: number | null;
}

function read(cursor: number): ServerListRead {
  return {kind: 'read', isWhole: false, changes: [], cursor};
}

const FAILED: ServerListRead = {kind: 'failed', detail: 'no answer'};

function startRig(): Rig {
  const clock = createManualClock(10_000);
  const rig: Omit<Rig, 'reads'> = {
    ...{clock, answers: [], applied: [], cursor: 5},
  };
  const reads = createListReads({
    clock,
    platform: {
      readServers: () => new Promise(resolve => rig.answers.push(resolve)),
    },
    list: {
      cursor: () => rig.cursor,
      applyRead(result, sentAt) {
        if (result.kind === 'read') rig.cursor = result.cursor;
        const end = result.kind === 'read' ? result.cursor : 'failed';
        rig.applied.push([end, sentAt]);
      },
    },
  });
  return Object.assign(rig, {reads});
}

/** Asks for a read each interval; returns when reads were sent, in ms. */
async function ask(
  {clock, reads, answers}: Rig,
  forMs: number,
): Promise<readonly number[]> {
  const sentAt: number[] = [];
  for (let passed = 0; passed <= forMs; passed += INTERVAL_MS) {
    const before = answers.length;
    void reads.startIfDue(INTERVAL_MS);
    if (answers.length > before) sentAt.push(passed);
    await clock.advance(INTERVAL_MS);
  }
  return sentAt;
}

// Guards against servers that turn cold while a read gets no answer, and are
// believed warm until its timeout.
void tap.test('a read without an answer is not waited for', async t => {
  const rig = startRig();
  const sentAt = [0, 60, 120, 240, 480, 780, 1_080, 1_380];
  t.same(await ask(rig, 1_380), sentAt, 'the further ones less often');
  t.same(await ask(rig, 600), [], 'and a limit');
  rig.answers[7]!(read(5));
  await rig.clock.advance(1);
  t.same(rig.applied, [[5, 11_380]], 'known as of when it was sent');
  const next = await ask(rig, 120);
  t.same(next, [0, 60, 120], 'those before it delay nothing');
});

void tap.test('a store that answers gets a read an interval', async t => {
  const rig = startRig();
  for (let at = 0; at < 10; at++) {
    t.same(await ask(rig, 0), [0]);
    rig.answers[at]!(read(5));
    await rig.clock.advance(1);
  }
  t.equal(rig.applied.length, 10);
});

// Guards against a list that goes back, and entries whose remaining cold time is
// counted again from a later moment.
void tap.test('a late answer is not applied over a newer one', async t => {
  const rig = startRig();
  await ask(rig, 60);
  rig.answers[1]!(read(9));
  rig.answers[0]!(read(7));
  await rig.clock.advance(1);
  t.same(rig.applied, [[9, 10_060]]);
});

// Guards against removed servers that are kept as after an outage of the store.
void tap.test('a failure that is older than an answer is none', async t => {
  const rig = startRig();
  await ask(rig, 60);
  rig.answers[1]!(read(5));
  await rig.clock.advance(1);
  rig.answers[0]!(FAILED);
  await rig.clock.advance(1);
  t.same(rig.applied, [[5, 10_060]]);
  await ask(rig, 0);
  rig.answers[2]!(FAILED);
  await rig.clock.advance(1);
  t.same(rig.applied.at(-1), ['failed', undefined]);
});

// Guards against several whole lists at the start, each of several calls.
void tap.test('the first list is read once at a time', async t => {
  const rig = startRig();
  rig.cursor = null;
  t.same(await ask(rig, 600), [0]);
});
