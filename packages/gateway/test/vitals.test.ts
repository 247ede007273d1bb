import tap from 'tap';
import type {EventFields} from '@banyandrum/dispatch/events.js';
import {reportVitals} from '@banyandrum/gateway/vitals.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

// An operator investigates why callers were refused for two seconds: the line
// of that period must show the lag and the platform calls of these two seconds,
// not totals since the start.
void tap.test('a line covers its own period only', async t => {
  const clock = createManualClock();
  const lines: EventFields[] = [];
  let lagMs = 0;
  let calls: Record<string, number> = {join: 5};
  const stop = reportVitals(clock, (_, fields) => void lines.push(fields), {
    lagMs: () => lagMs,
    takeWorstDelay: () => ({ms: 40, by: 'accept'}),
    takeSlotResponses: () => ({count: 50, p10Ms: 3.2, p99Ms: 410.7}),
    admittedShare: () => 0.456,
    inFlight: () => 3,
    isLeading: () => true,
    followers: () => 80,
    waiting: () => 7,
    callCounts: () => calls,
  });
  lagMs = 250;
  await clock.advance(1_000);
  lagMs = 0;
  calls = {join: 9, save: 2};
  await clock.advance(1_200);
  t.equal(lines.length, 1);
  t.match(lines[0], {lagMs: 250, followers: 80, waiting: 7});
  t.match(lines[0], {readDelayMs: 40, readDelayBy: 'accept'});
  t.match(lines[0], {slotReplies: 50, slotP10Ms: 3, slotP99Ms: 411});
  t.type(lines[0]!['cpuMs'], 'number');
  t.equal(lines[0]!['calls'], 'join:4 save:2');
  await clock.advance(2_200);
  t.match(lines[1], {lagMs: 0, calls: ''});
  stop();
  await clock.advance(5_000);
  t.equal(lines.length, 2);
});
