import tap from 'tap';
import {repeat} from '@banyandrum/gateway/repeat.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

// The first run of a loop that joins the router group uses a variable that is
// initialized after the loop is created. When the run started synchronously, it
// failed, and the pause after the error delayed the first join of every router,
// and with it the first leader, by 200 ms at each start: after a power loss of
// the whole system callers had no response for that much longer.
void tap.test('a loop starts after its creator has finished', async t => {
  const clock = createManualClock();
  const errors: string[] = [];
  let runs = 0;
  let isOver = false;
  repeat(
    {
      ...{clock, name: 'looks', pauseMs: 50},
      emit: event => void errors.push(event),
      goesOn: () => !isOver,
    },
    async () => {
      runs += step;
    },
  );
  const step = 1;
  await clock.advance(0);
  t.equal(runs, 1, 'the first run is not put off');
  await clock.advance(120);
  t.equal(runs, 3);
  t.same(errors, []);
  isOver = true;
  await clock.advance(100);
});
