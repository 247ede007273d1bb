import tap from 'tap';
import {failure} from '@banyandrum/base/failure.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import {createServerSlots} from '@banyandrum/requests/server-slots.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import {queueBench} from './bench.js';
import {ANSWER} from './fakes.js';

void tap.test('the window shrinks at once and grows slowly', async t => {
  const clock = createManualClock();
  const slots = createServerSlots(4, clock);
  for (let i = 0; i < 4; i++) slots.take();
  t.equal(slots.isFree(), false);
  // Requests that were sent together and refused together count once.
  await clock.advance(5);
  slots.shed(0, 0);
  slots.shed(0, 0);
  t.equal(slots.window(), 2);
  slots.shed(6, 0);
  slots.shed(6, 0);
  slots.shed(6, 0);
  slots.shed(6, 0);
  t.equal(slots.window(), 1, 'never below 1');
  for (let i = 0; i < 5; i++) slots.succeeded();
  t.equal(slots.window(), 1);
  for (let i = 0; i < 200; i++) slots.succeeded();
  t.equal(slots.window(), 4, 'never above the slots');
  slots.resize(2);
  t.equal(slots.window(), 2);
});

void tap.test(
  'consecutive refusals cause longer pauses, up to a limit',
  async t => {
    const clock = createManualClock();
    const slots = createServerSlots(2, clock);
    const pauses: number[] = [];
    for (let i = 0; i < 8; i++) {
      slots.pause();
      pauses.push(slots.pausedUntil() - clock.now());
      await clock.advance(pauses[i] ?? 0);
      t.equal(slots.isFree(), true);
    }
    t.same(pauses, [10, 20, 40, 80, 160, 320, 500, 500]);
  },
);

void tap.test('a server with less capacity than reported', async t => {
  // The server reports 4 slots and refuses requests beyond 2. The leader adapts:
  // few requests are refused, and the server is kept busy.
  let busy = 0;
  let shed = 0;
  const b = queueBench({
    slots: 4,
    send: async (_, dispatch) => {
      dispatch.mayWrite();
      if (busy >= 2) {
        shed++;
        return Err(failure('not-run', 'overloaded', 'shedding', 10));
      }
      busy++;
      await new Promise<void>(resolve => b.clock.after(20, resolve));
      busy--;
      return Ok(ANSWER);
    },
  });
  const seen = Array.from({length: 100}, () => b.ask({deadline: 10_000}));
  await b.clock.advance(1600);
  const answered = seen.filter(({outcome}) => outcome?.ok).length;
  t.equal(answered, 100, `${answered} answers in 1.6 s; 1.0 s is the least`);
  t.ok(shed < 15, `${shed} refusals`);
});
