import tap from 'tap';
import {createCapacityEstimate} from '@banyandrum/placement/capacity.js';
import {createHotKeySketch} from '@banyandrum/placement/hot-keys.js';
import {createSmoothLoads} from '@banyandrum/placement/smooth-loads.js';

const HOTTEST = 73;

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Requests of one second: a tenth for the hottest keys, the rest scattered. */
function ask(
  add: (key: string, now: number) => void,
  random: () => number,
  prefix: string,
  now: number,
): void {
  for (let i = 0; i < 1000; i++) {
    const isHot = random() < 0.25;
    const key = isHot
      ? `${prefix}-${Math.floor(random() * HOTTEST)}`
      : `key-${Math.floor(random() * 1e6)}`;
    add(key, now + i);
  }
}

void tap.test('finds the hottest 73 keys within a minute of a shift', t => {
  const sketch = createHotKeySketch({capacity: 1024, halfLifeMs: 15_000});
  const random = createRandom(7);
  let now = 0;
  for (; now < 120_000; now += 1000) ask(sketch.add, random, 'claim', now);
  const found = (prefix: string): number =>
    sketch.top(HOTTEST, now).filter(({key}) => key.startsWith(`${prefix}-`))
      .length;
  t.equal(found('claim'), HOTTEST);
  for (; now < 180_000; now += 1000) ask(sketch.add, random, 'ward', now);
  t.equal(found('ward'), HOTTEST, 'the new ones have taken over');
  t.equal(sketch.size(), 1024, 'memory is bounded');
  t.end();
});

void tap.test('counts are right, fade, and survive long silence', t => {
  const sketch = createHotKeySketch({capacity: 2, halfLifeMs: 1000});
  sketch.add('a', 0, 8);
  sketch.add('b', 0, 2);
  t.same(sketch.top(5, 1000), [
    {key: 'a', weight: 4, error: 0},
    {key: 'b', weight: 1, error: 0},
  ]);
  sketch.add('c', 1000, 1);
  t.same(sketch.top(5, 1000)[1], {key: 'c', weight: 2, error: 1});
  t.equal(sketch.total(1000), 6);
  sketch.add('d', 1e9, 3);
  t.same(sketch.top(1, 1e9), [{key: 'd', weight: 3, error: 0}]);
  t.end();
});

void tap.test('capacity follows what a server does', t => {
  const estimate = createCapacityEstimate();
  const sight = {slots: 4, busy: 2, shed: 0};
  t.equal(estimate.note(sight, 1000), 4);
  t.equal(estimate.note({...sight, shed: 3}, 1000), 1.8);
  const later = estimate.note(sight, 10_000);
  t.ok(later > 2.5 && later < 2.7, 'recovers slowly');
  t.equal(estimate.note(sight, 100_000), 4);
  t.ok(estimate.note({...sight, busy: 0, shed: 1}, 1000) > 0);
  t.end();
});

void tap.test('one wrong figure hardly shows in a smoothed load', t => {
  const loads = createSmoothLoads();
  for (let i = 0; i < 100; i++) loads.note(new Map([['1', 1]]), 500);
  t.ok(Math.abs(loads.get('1') - 1) < 0.01);
  loads.note(new Map([['1', 4]]), 500);
  t.ok(loads.get('1') < 1.25);
  for (let i = 0; i < 400; i++) loads.note(new Map(), 500);
  t.equal(loads.get('1'), 0);
  t.end();
});
