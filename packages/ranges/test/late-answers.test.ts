import tap from 'tap';
import {
  lateAnswersOf,
  type LatencyProfile,
} from '@banyandrum/ranges/late-answers.js';
import {maxRate, type ServerSpeed} from '@banyandrum/ranges/server-speed.js';

const PROFILE: LatencyProfile = {
  kinds: [
    {share: 0.73, relativeWork: 0.92, targetMs: 500},
    {share: 0.27, relativeWork: 1.21, targetMs: 800},
  ],
  spread: [0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1, 1.1, 1.6, 2.4],
};
const FAST: ServerSpeed = {slots: 3, serviceMs: 160};
const SLOW: ServerSpeed = {slots: 3, serviceMs: 370};
const STEP = 0.1;

/** Late answers per second at rates of 0 to twice the capacity. */
function curveOf(server: ServerSpeed): readonly number[] {
  const late = lateAnswersOf(PROFILE);
  const count = Math.round((2 * maxRate(server)) / STEP);
  return Array.from({length: count}, (_, at) =>
    late.perSecond(server, at * STEP),
  );
}

// Guards against a plan that stops at a local optimum, or moves requests back:
// greedy moves need late answers that increase ever faster with the rate.
void tap.test('late answers are increasing and convex', async t => {
  for (const server of [FAST, SLOW, {slots: 1, serviceMs: 90}]) {
    const curve = curveOf(server);
    const slopes = curve.slice(1).map((late, at) => late - curve[at]!);
    t.equal(curve[0], 0, 'none without requests');
    t.ok(
      slopes.every(slope => slope >= 0),
      'increasing',
    );
    t.ok(
      slopes.slice(1).every((slope, at) => slope >= slopes[at]! - 1e-9),
      'convex',
    );
  }
});

// Guards against moves that are planned although they save nothing: a rate that
// is reduced by its possible error can be lower than what moves.
void tap.test('no late answers at a rate below 0', async t => {
  t.equal(lateAnswersOf(PROFILE).perSecond(SLOW, -0.4), 0);
});

// Guards against requests that are added to an overloaded server as if it could
// still answer some of them in time.
void tap.test('above the capacity, each request is late', async t => {
  const late = lateAnswersOf(PROFILE);
  for (const server of [FAST, SLOW]) {
    const capacity = maxRate(server);
    const added =
      late.perSecond(server, capacity * 1.3 + 1) -
      late.perSecond(server, capacity * 1.3);
    t.ok(Math.abs(added - 1) < 1e-6, `${added} of 1`);
  }
});

// Guards against the rule that a slow server at the same utilization as a fast
// one is as good for a request.
void tap.test('a slow server is late without a queue', async t => {
  const late = lateAnswersOf(PROFILE);
  const shareOf = (server: ServerSpeed): number =>
    late.perSecond(server, maxRate(server) * 0.05) / (maxRate(server) * 0.05);
  t.ok(shareOf(FAST) < 0.01, 'a fast server is hardly ever late');
  const slow = shareOf(SLOW);
  t.ok(slow > 0.1 && slow < 0.3, `slow server: ${slow.toFixed(3)}`);
});

// Guards against an estimate that is far from a queue with these service times:
// M/M/1 at half of its capacity, whose response times are exponential.
void tap.test('the wait is that of a known queue', async t => {
  const quantiles = 400;
  const spread = Array.from(
    {length: quantiles},
    (_, at) => -Math.log(1 - (at + 0.5) / quantiles),
  );
  const late = lateAnswersOf({
    kinds: [{share: 1, relativeWork: 1, targetMs: 300}],
    spread,
  });
  const share = late.perSecond({slots: 1, serviceMs: 100}, 5) / 5;
  const exact = Math.exp(-300 / 200);
  t.ok(Math.abs(share - exact) < 0.04, `${share} instead of ${exact}`);
});
