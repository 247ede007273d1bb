import tap from 'tap';
import {createCapacityEstimate} from '@banyandrum/placement/capacity.js';
import {createHotKeyMeter} from '@banyandrum/placement/hot-key-meter.js';
import {createHotKeySketch} from '@banyandrum/placement/hot-keys.js';
import {createSmoothedLoads} from '@banyandrum/placement/smooth-loads.js';

/** Number of hot keys; also the meter's limit. */
const HOT_KEYS = 73;

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Records requests of one second: a quarter for hot keys, the rest random. */
function record(
  add: (key: string, now: number) => void,
  random: () => number,
  prefix: string,
  now: number,
): void {
  for (let i = 0; i < 1000; i++) {
    const isHot = random() < 0.25;
    const key = isHot
      ? `${prefix}-${Math.floor(random() * HOT_KEYS)}`
      : `key-${Math.floor(random() * 1e6)}`;
    add(key, now + i);
  }
}

void tap.test('finds the hottest 73 keys within a minute of a change', t => {
  const sketch = createHotKeySketch({capacity: 1024, halfLifeMs: 15_000});
  const random = createRandom(7);
  let now = 0;
  for (; now < 120_000; now += 1000) record(sketch.add, random, 'claim', now);
  const found = (prefix: string): number =>
    sketch.top(HOT_KEYS, now).filter(({key}) => key.startsWith(`${prefix}-`))
      .length;
  t.equal(found('claim'), HOT_KEYS);
  for (; now < 180_000; now += 1000) record(sketch.add, random, 'ward', now);
  t.equal(found('ward'), HOT_KEYS, 'the new hot keys replaced the old');
  t.equal(sketch.size(), 1024, 'memory is bounded');
  t.end();
});

void tap.test('counts are exact, decay, and survive long silence', t => {
  const sketch = createHotKeySketch({capacity: 2, halfLifeMs: 1000});
  sketch.add('a', 0, 8);
  sketch.add('b', 0, 2);
  t.same(sketch.top(5, 1000), [
    {key: 'a', weight: 4, error: 0, count: 0.5},
    {key: 'b', weight: 1, error: 0, count: 0.5},
  ]);
  sketch.add('c', 1000, 1);
  t.same(sketch.top(5, 1000)[1], {key: 'c', weight: 2, error: 1, count: 1});
  t.equal(sketch.total(1000), 6);
  sketch.add('d', 1e9, 3);
  t.same(sketch.top(1, 1e9), [{key: 'd', weight: 3, error: 0, count: 1}]);
  t.end();
});

void tap.test('the capacity estimate follows the observed server', t => {
  const estimate = createCapacityEstimate();
  const observation = {slots: 4, busy: 2, shed: 0};
  t.equal(estimate.update(observation, 1000), 4);
  t.equal(estimate.update({...observation, shed: 3}, 1000), 1.8);
  const later = estimate.update(observation, 10_000);
  t.ok(later > 2.5 && later < 2.7, 'recovers slowly');
  t.equal(estimate.update(observation, 100_000), 4);
  t.ok(estimate.update({...observation, busy: 0, shed: 1}, 1000) > 0);
  t.end();
});

void tap.test('one wrong measurement hardly changes a smoothed load', t => {
  const loads = createSmoothedLoads();
  for (let i = 0; i < 100; i++) loads.update(new Map([['1', 1]]), 500);
  t.ok(Math.abs(loads.get('1') - 1) < 0.01);
  loads.update(new Map([['1', 4]]), 500);
  t.ok(loads.get('1') < 1.25);
  for (let i = 0; i < 400; i++) loads.update(new Map(), 500);
  t.equal(loads.get('1'), 0);
  t.end();
});

void tap.test(
  'the meter reports rates, but nothing before it is warmed up',
  t => {
    let now = 0;
    const clock = {now: () => now, after: () => () => {}};
    const meter = createHotKeyMeter(clock);
    const ask = (seconds: number): void => {
      for (const end = now + seconds * 1000; now < end; now += 10) {
        meter.record('claim-9', 20);
        meter.record(`claim-${now}`, 1);
      }
    };
    ask(5);
    t.same(meter.hottest(), [], 'a new leader needs more time');
    for (const seconds of [10, 60]) {
      ask(seconds);
      const [first] = meter.hottest();
      t.equal(first?.key, 'claim-9');
      t.ok(Math.abs((first?.rate ?? 0) - 100) < 5, `${first?.rate} a second`);
      t.ok(Math.abs((first?.busy ?? 0) - 2) < 0.1, `${first?.busy} slots`);
    }
    t.ok(meter.hottest().length <= HOT_KEYS);
    t.end();
  },
);
