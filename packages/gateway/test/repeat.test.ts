import tap from 'tap';
import {repeat} from '@banyandrum/gateway/repeat.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

// A router starts, and its first look at the others calls what is made a line
// further down. That ended the look as a defect; the pause after it put off the
// first join of every router, and so the first leader, by a fifth of a second
// at each start: after a loss of all power callers had no answer for as long.
void tap.test('a loop begins after what it needs is made', async t => {
  const clock = createManualClock();
  const defects: string[] = [];
  let turns = 0;
  let isOver = false;
  repeat(
    {
      ...{clock, name: 'looks', pauseMs: 50},
      emit: event => void defects.push(event),
      goesOn: () => !isOver,
    },
    async () => {
      turns += step;
    },
  );
  const step = 1;
  await clock.advance(0);
  t.equal(turns, 1, 'the first turn is not put off');
  await clock.advance(120);
  t.equal(turns, 3);
  t.same(defects, []);
  isOver = true;
  await clock.advance(100);
});
