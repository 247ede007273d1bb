import tap from 'tap';
import {createKeyLoad} from '@banyandrum/ranges/key-load.js';
import {MAX_KEY} from '@banyandrum/ranges/table.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

/** Sums the rates of the keys in a range. */
function sumOfRates(
  load: ReturnType<typeof createKeyLoad>,
  from: number,
  to = from,
) {
  return load
    .rates([])
    .filter(({key}) => from <= key && key <= to)
    .reduce((sum, {rate}) => sum + rate, 0);
}

// Placement compares ranges by their total rates but splits them by the rates
// of single keys. If the two differ, keys move to a server that they overload.
void tap.test(
  'the rate of a range is the sum of the rates of its keys',
  async t => {
    const random = createRandom(7);
    const load = createKeyLoad();
    t.ok(load.isEmpty());
    for (let at = 0; at < 5_000; at++) {
      load.add(Math.floor(random() * (MAX_KEY + 1)), 1);
      if (at % 50 === 0) load.decay(200);
    }
    load.decay(200);
    t.notOk(load.isEmpty());
    for (const [from, to] of [
      [0, MAX_KEY],
      [0, 0],
      [20_000, 40_000],
      [MAX_KEY, MAX_KEY],
    ] as const) {
      const diff = Math.abs(
        load.rateOf({from, to}) - sumOfRates(load, from, to),
      );
      t.ok(diff < 1e-6, `${from} to ${to}`);
    }
  },
);

void tap.test('a key that becomes busy counts at once, and decays', async t => {
  const load = createKeyLoad();
  for (let second = 0; second < 20; second++) {
    load.add(7, 1);
    load.decay(1_000);
  }
  t.ok(Math.abs(sumOfRates(load, 7) - 1) < 0.3, 'one a second');
  load.add(7, 30);
  load.decay(200);
  t.ok(sumOfRates(load, 7) > 10, 'busy');
  load.decay(200_000);
  t.equal(sumOfRates(load, 7), 0, 'no longer tracked');
  load.add(-1, 1);
  load.add(MAX_KEY + 1, 1);
  t.equal(load.rates([]).length, 0, 'none of the keys out of range is counted');
});

void tap.test('queued requests add to the rates of their keys', async t => {
  const load = createKeyLoad();
  load.add(3, 1);
  load.decay(200);
  const before = sumOfRates(load, 3);
  const busy = load.rates([3, 3]).find(({key}) => key === 3);
  t.ok(busy!.rate > before);
});
