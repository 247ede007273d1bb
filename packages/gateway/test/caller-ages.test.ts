import tap from 'tap';
import {createCallerAges} from '@banyandrum/gateway/caller-ages.js';

// Callers are refused in a burst and come back as they were told, with what is
// left of their time. A router that takes them for new ones lets them wait as
// long as those, and answers them when that is worth nothing any more.
void tap.test('one that comes back is known by its limit', async t => {
  const ages = createCallerAges();
  for (let asked = 0; asked < 20; asked++) {
    t.equal(ages.take('holds', 2_000), 0, 'a new one');
  }
  t.equal(ages.take('holds', 1_780), 220);
  t.equal(ages.take('holds', 2_000), 0, 'others are new all the same');
  t.equal(ages.take('reports', 1_780), 0, 'of another route nothing is known');
});

// Two kinds of clients use a route. Those with the shorter limit are no older.
void tap.test('each usual limit is a beginning', async t => {
  const ages = createCallerAges();
  for (let asked = 0; asked < 40; asked++) {
    ages.take('holds', 2_000);
    ages.take('holds', 800);
  }
  t.equal(ages.take('holds', 800), 0);
  t.equal(ages.take('holds', 700), 100);
  t.equal(ages.take('holds', 1_700), 300);
});

void tap.test('limits that all differ tell nothing', async t => {
  const ages = createCallerAges();
  for (let limit = 2_000; limit > 1_000; limit--) {
    t.equal(ages.take('holds', limit), 0);
  }
});

// The operator gives a route's clients another limit.
void tap.test('a new usual limit is learned', async t => {
  const ages = createCallerAges();
  for (let asked = 0; asked < 1_000; asked++) ages.take('holds', 3_000);
  let wrong = 0;
  for (let asked = 0; asked < 500; asked++) {
    if (ages.take('holds', 2_000) > 0) wrong++;
  }
  t.ok(wrong < 100, `${wrong} taken for older`);
  t.equal(ages.take('holds', 2_000), 0);
});
