import tap from 'tap';
import {createRetryAges} from '@banyandrum/gateway/retry-ages.js';
import {knownRed} from '@banyandrum/standins/known-red.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

// Callers that are refused in a burst retry with the rest of their timeout. A
// router that treats the retries as first attempts lets them wait as long as
// those, and responds when the callers have no use for it.
void tap.test('a retry is recognized by its lower time limit', async t => {
  const ages = createRetryAges();
  let total = 0;
  for (let asked = 0; asked < 20; asked++) {
    total += ages.observe('holds', 2_000);
  }
  t.equal(total, 0, 'first attempts');
  t.equal(ages.observe('holds', 1_780), 220);
  t.equal(ages.observe('holds', 2_000), 0, 'still a first attempt');
  t.equal(
    ages.observe('reports', 1_780),
    0,
    'nothing is known of another route',
  );
});

// Some callers have to connect first, which takes part of their timeout. All of
// these requests are first attempts.
void tap.test('time limits that differ by a few ms count as equal', async t => {
  const ages = createRetryAges();
  const random = createRandom(3);
  let wrong = 0;
  for (let asked = 0; asked < 400; asked++) {
    const isConnected = random() < 0.3;
    const timeoutMs = isConnected ? 2_500 : 2_484 - Math.floor(random() * 8);
    if (ages.observe('holds', timeoutMs) > 0) wrong++;
  }
  t.equal(wrong, 0);
  const age = ages.observe('holds', 2_280);
  t.ok(age >= 200 && age <= 220, `${age} ms`);
});

// Half of all requests are retries, most of them after the same delay. Their
// timeouts must not be mistaken for the initial one.
void tap.test('many equal retries are still recognized', async t => {
  const ages = createRetryAges();
  let recognized = 0;
  for (let asked = 0; asked < 200; asked++) {
    ages.observe('holds', 4_982);
    if (ages.observe('holds', 4_650 + (asked % 50)) > 250) recognized++;
  }
  t.ok(recognized >= 190, `${recognized} of 200`);
});

// Two kinds of clients use a route. Requests of the kind with the much shorter
// timeout are not retries.
void tap.test('a much lower time limit is not a retry', async t => {
  const ages = createRetryAges();
  let wrong = 0;
  for (let asked = 0; asked < 40; asked++) {
    wrong += ages.observe('holds', 2_000) + ages.observe('holds', 800);
  }
  t.equal(wrong, 0);
  t.equal(ages.observe('holds', 1_700), 300);
});

void tap.test('random time limits tell nothing', async t => {
  const ages = createRetryAges();
  const random = createRandom(5);
  let wrong = 0;
  for (let asked = 0; asked < 1_000; asked++) {
    if (ages.observe('holds', 300 + random() * 9_000) > 0) wrong++;
  }
  t.ok(wrong <= 20, `${wrong} taken for retries`);
});

// The clients of a route are configured with another timeout.
void tap.test('a new initial time limit is learned', async t => {
  const ages = createRetryAges();
  for (let asked = 0; asked < 1_000; asked++) ages.observe('holds', 3_000);
  let wrong = 0;
  for (let asked = 0; asked < 500; asked++) {
    if (ages.observe('holds', 2_000) > 0) wrong++;
  }
  t.ok(wrong < 100, `${wrong} taken for retries`);
  t.equal(ages.observe('holds', 2_000), 0);
});

// Guards against callers that have waited through an outage, for most of their
// timeout, being served as first attempts, before those that can be on time.
void tap.test('a retry late in the timeout is recognized', async t => {
  const ages = createRetryAges();
  const random = createRandom(7);
  let recognized = 0;
  for (let asked = 0; asked < 100; asked++) {
    ages.observe('holds', 3_000);
    if (ages.observe('holds', 900 + random() * 550) > 1_500) recognized++;
  }
  const todo = knownRed(t.name) ?? false;
  t.ok(recognized >= 90, `${recognized} of 100`, {todo});
});
