import tap from 'tap';
import {createRetryAges} from '@banyandrum/gateway/retry-ages.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

// Callers are refused in a burst and come back as they were told, with what is
// left of their time. A router that takes them for new ones lets them wait as
// long as those, and answers them when that is worth nothing any more.
void tap.test('one that comes back is known by its limit', async t => {
  const ages = createRetryAges();
  let taken = 0;
  for (let asked = 0; asked < 20; asked++) {
    taken += ages.observe('holds', 2_000);
  }
  t.equal(taken, 0, 'new ones');
  t.equal(ages.observe('holds', 1_780), 220);
  t.equal(ages.observe('holds', 2_000), 0, 'others are new all the same');
  t.equal(ages.observe('reports', 1_780), 0, 'of another route nothing is known');
});

// Some callers connect first, which takes part of their time; each is new.
void tap.test('limits that differ by a few ms are one', async t => {
  const ages = createRetryAges();
  const random = createRandom(3);
  let wrong = 0;
  for (let asked = 0; asked < 400; asked++) {
    const isOpen = random() < 0.3;
    const limit = isOpen ? 2_500 : 2_484 - Math.floor(random() * 8);
    if (ages.observe('holds', limit) > 0) wrong++;
  }
  t.equal(wrong, 0);
  const age = ages.observe('holds', 2_280);
  t.ok(age >= 200 && age <= 220, `${age} ms`);
});

// Half of all requests are of callers that were refused and come back, most of
// them at the same time as they were told. They are no beginning.
void tap.test('a crowd that comes back is still known', async t => {
  const ages = createRetryAges();
  let known = 0;
  for (let asked = 0; asked < 200; asked++) {
    ages.observe('holds', 4_982);
    if (ages.observe('holds', 4_650 + (asked % 50)) > 250) known++;
  }
  t.ok(known >= 190, `${known} of 200`);
});

// Two kinds of clients use a route. Those with the far shorter limit are no
// older.
void tap.test('a far shorter limit is another beginning', async t => {
  const ages = createRetryAges();
  let wrong = 0;
  for (let asked = 0; asked < 40; asked++) {
    wrong += ages.observe('holds', 2_000) + ages.observe('holds', 800);
  }
  t.equal(wrong, 0);
  t.equal(ages.observe('holds', 1_700), 300);
});

void tap.test('limits that all differ tell nothing', async t => {
  const ages = createRetryAges();
  const random = createRandom(5);
  let told = 0;
  for (let asked = 0; asked < 1_000; asked++) {
    if (ages.observe('holds', 300 + random() * 9_000) > 0) told++;
  }
  t.ok(told <= 20, `${told} taken for older`);
});

// The operator gives a route's clients another limit.
void tap.test('a new usual limit is learned', async t => {
  const ages = createRetryAges();
  for (let asked = 0; asked < 1_000; asked++) ages.observe('holds', 3_000);
  let wrong = 0;
  for (let asked = 0; asked < 500; asked++) {
    if (ages.observe('holds', 2_000) > 0) wrong++;
  }
  t.ok(wrong < 100, `${wrong} taken for older`);
  t.equal(ages.observe('holds', 2_000), 0);
});
