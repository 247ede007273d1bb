import tap from 'tap';
import {createHotKeySketch} from '@banyandrum/placement/hot-keys.js';
import {createHotKeyMeter} from '@banyandrum/requests/hot-key-meter.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

void tap.test('a hot key is returned with its load', async t => {
  const clock = createManualClock();
  const halfLifeMs = 10_000;
  const meter = createHotKeyMeter({
    createSketch: () => createHotKeySketch({capacity: 64, halfLifeMs}),
    halfLifeMs,
    clock,
  });
  for (let i = 0; i < 6000; i++) {
    meter.record(`quiet-${i % 500}`, 5);
    if (i % 2 === 0) meter.record('hot', 20);
    await clock.advance(10);
  }
  const [first, second] = meter.hottest();
  t.equal(first?.key, 'hot');
  t.ok(Math.abs((first?.rate ?? 0) - 50) < 5, `${first?.rate} of 50 a second`);
  t.ok(Math.abs((first?.busy ?? 0) - 1) < 0.1, `${first?.busy} of 1 busy`);
  t.ok((second?.busy ?? 0) < 0.1, 'the rest is far below');
});
