import tap from 'tap';
import {
  createServerLimits,
  type ServerLimits,
} from '@banyandrum/dispatch/server-limits.js';
import {readLimit} from '@banyandrum/dispatch/wire.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

interface Fixture {
  readonly limits: ServerLimits;
  readonly events: string[];
  /** Notes an answer to a request that was sent `agoMs` earlier. */
  answer(text: string | undefined, agoMs: number, isComplete?: boolean): void;
  wait(ms: number): Promise<void>;
}

function setUp(): Fixture {
  const clock = createManualClock(1_000);
  const events: string[] = [];
  const limits = createServerLimits({
    clock,
    emit: event => void events.push(event),
  });
  return {
    ...{limits, events},
    answer(text, agoMs, isComplete = true) {
      const sentAt = clock.now() - agoMs;
      limits.noteAnswer({server: 's1', text, sentAt, isComplete});
    },
    wait: ms => clock.advance(ms),
  };
}

void tap.test('only plain decimal numbers are valid limits', async t => {
  const valid = {'5.4': 5.4, '0': 0, '12': 12, '0.05': 0.05};
  for (const [text, perSecond] of Object.entries(valid)) {
    t.equal(readLimit(text), perSecond, text);
  }
  const invalid = [
    '',
    ' ',
    '-1',
    'NaN',
    '1e309',
    '1e3',
    'Infinity',
    '5, 7',
    '0x5',
    'Thu, 03 Dec 2026 10:00:00 GMT',
    '9'.repeat(10_240),
    '.5',
    '5.',
  ];
  for (const text of invalid) {
    t.equal(readLimit(text), null, text.slice(0, 40));
  }
});

void tap.test('an unreadable limit is logged and changes nothing', async t => {
  const {limits, events, answer, wait} = setUp();
  answer('5', 10);
  for (let count = 0; count < 100; count++) answer('NaN', 10);
  t.equal(limits.limitOf('s1'), 5);
  t.same(events, ['server-limited', 'limit-unreadable'], 'rate-limited');
  await wait(1_000);
  answer('-3', 10);
  t.equal(events.length, 3);
});

void tap.test('late answers do not restore an old limit', async t => {
  const {limits, answer, wait} = setUp();
  answer('5', 100);
  await wait(50);
  answer(undefined, 100);
  t.equal(limits.limitOf('s1'), 5, 'late answer without a limit');
  answer('9', 100);
  t.equal(limits.limitOf('s1'), 5, 'late answer with a higher limit');
  answer('2', 100);
  t.equal(limits.limitOf('s1'), 2, 'late answer with a lower limit');
  await wait(200);
  answer(undefined, 100, false);
  t.equal(limits.limitOf('s1'), 2, 'refusal without a limit');
  answer('9', 100);
  t.equal(limits.limitOf('s1'), 9);
  await wait(200);
  answer(undefined, 100);
  t.equal(limits.limitOf('s1'), null);
  t.equal(limits.count(), 0);
});

void tap.test('limits are exchanged between routers', async t => {
  const {limits, answer, wait} = setUp();
  const heard: unknown[] = [];
  limits.subscribe((row, isOwn) => heard.push([...row, isOwn]));
  limits.mergeFromLeader([
    ['s1', 5],
    ['s2', 3],
  ]);
  t.same(limits.ownRows(), [], 'rows from the leader are not reported back');
  answer('2', 10);
  limits.mergeFromLeader([['s1', 5]]);
  t.equal(
    limits.limitOf('s1'),
    2,
    'a recent answer takes precedence over the leader',
  );
  await wait(1_500);
  limits.mergeFromLeader([['s1', 5]]);
  t.equal(limits.limitOf('s1'), 5);
  limits.mergeFromFollower([['s2', null]]);
  t.equal(limits.limitOf('s2'), null);
  t.same(
    limits.rows(),
    [
      ['s1', 5],
      ['s2', null],
    ],
    'lifted limits are included',
  );
  await wait(11_000);
  t.same(limits.rows(), [['s1', 5]]);
  limits.mergeFromFollower([['s0', 4]]);
  t.same(limits.rows(), [
    ['s0', 4],
    ['s1', 5],
  ]);
  t.same(heard, [
    ['s1', 5, false],
    ['s2', 3, false],
    ['s1', 2, true],
    ['s1', 5, false],
    ['s2', null, false],
    ['s0', 4, false],
  ]);
});
