import tap from 'tap';
import {createServerRests} from '@banyandrum/dispatch/server-rests.js';
import {readRetryAfter} from '@banyandrum/dispatch/wire.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

void tap.test('Retry-After must be a plain number of seconds', async t => {
  t.equal(readRetryAfter('3'), 3_000);
  t.equal(readRetryAfter('0.25'), 250);
  t.equal(readRetryAfter('86400'), 86_400_000);
  const invalid = [
    '',
    '-1',
    'soon',
    '1e309',
    'NaN',
    '1, 2',
    '9'.repeat(10_240),
  ];
  invalid.push('Thu, 03 Dec 2026 10:00:00 GMT');
  for (const text of invalid) {
    t.equal(readRetryAfter(text), null, text.slice(0, 40));
  }
});

void tap.test('the latest end of overlapping rest periods applies', async t => {
  const clock = createManualClock(1_000);
  const events: string[] = [];
  const emit = (event: string): void => void events.push(event);
  const rests = createServerRests({clock, emit});
  rests.noteRefusal('s1', '3');
  await clock.advance(1_000);
  rests.noteRefusal('s1', '0.5');
  t.equal(
    rests.remainingMs('s1'),
    2_000,
    'a shorter period does not end a longer one',
  );
  rests.noteRefusal('s1', '4');
  t.equal(rests.remainingMs('s1'), 4_000);
  for (let count = 0; count < 100; count++) rests.noteRefusal('s2', 'soon');
  t.equal(rests.remainingMs('s2'), 0);
  t.same(events, ['server-rests', 'rest-unreadable'], 'rate-limited');
  t.equal(rests.count(), 1);
  await clock.advance(4_000);
  t.equal(rests.remainingMs('s1'), 0);
  t.equal(rests.count(), 0);
});
