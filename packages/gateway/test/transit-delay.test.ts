import tap from 'tap';
import {createDelayEstimator} from '@banyandrum/gateway/transit-delay.js';

/** Difference of the two clocks, in ms. */
const OFFSET_MS = 71_234;

void tap.test('a message that was held up counts as old', async t => {
  const delay = createDelayEstimator();
  t.equal(delay.observe(1_000, OFFSET_MS + 1_005), 0);
  t.equal(delay.observe(1_200, OFFSET_MS + 1_204), 0, 'the fastest so far');
  t.equal(delay.observe(1_400, OFFSET_MS + 4_404), 3_000);
  t.equal(delay.observe(4_200, OFFSET_MS + 4_210), 6);
});

// Guards against distrusting a leader for good after it was suspended.
void tap.test('a clock that has stopped for a while is forgotten', async t => {
  const delay = createDelayEstimator();
  t.equal(delay.observe(1_000, OFFSET_MS + 1_000), 0);
  const stopped = OFFSET_MS + 500;
  let sentAt = 1_200;
  t.equal(delay.observe(sentAt, stopped + sentAt), 500);
  for (; sentAt < 40_000; sentAt += 200)
    delay.observe(sentAt, stopped + sentAt);
  t.equal(delay.observe(sentAt, stopped + sentAt), 0);
});
