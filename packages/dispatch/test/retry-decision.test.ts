import tap from 'tap';
import {createCanceller} from '@banyandrum/base/cancel.js';
import type {ForwardState} from '@banyandrum/dispatch/forward-state.js';
import {createRetryBudget} from '@banyandrum/dispatch/retry-budget.js';
import {mayRetry, takeRetry} from '@banyandrum/dispatch/retry-decision.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

// Guards against requests that find no server and use up the retries of others.
void tap.test('a retry is taken as it is sent, not before', async t => {
  const clock = createManualClock();
  const budget = createRetryBudget(
    {ratio: 2, slack: 0, windowMs: 10_000},
    {
      ...{clock, random: () => 0},
      routers: {current: () => null, ageMs: () => Infinity},
    },
  );
  const outcomes: string[] = [];
  const events: string[] = [];
  const state = {
    cfg: {
      ...{clock, budget},
      emit: (event: string) => events.push(event),
      recordRetry: (_: string, outcome: string) => outcomes.push(outcome),
    },
    req: {
      ...{id: 'r1', service: 'holds', deadline: 1_000},
      ...{route: {maxAttempts: 9}, sendSignal: createCanceller().signal},
    },
    ...{possibleRuns: 0, attemptCount: 1, sentCount: 1},
  } as unknown as ForwardState;
  budget.deposit('holds');
  for (let at = 0; at < 5; at++) t.ok(mayRetry(state));
  t.same(outcomes, []);
  t.ok(takeRetry(state));
  t.notOk(mayRetry(state), 'no more is left');
  t.notOk(takeRetry(state));
  t.same(outcomes, ['sent', 'budget', 'budget']);
  t.same(events, ['retry', 'retry-withheld', 'retry-withheld']);
});

// Guards against refusing a request as overloaded after a few listed servers that
// can't be reached, and against trying them until its deadline.
void tap.test('attempts that reached no server', async t => {
  const clock = createManualClock(0);
  const state = {
    cfg: {clock},
    req: {
      ...{deadline: 1_000, sendSignal: createCanceller().signal},
      route: {maxAttempts: 2, targetLatencyMs: 400},
    },
    ...{startedAt: 0, possibleRuns: 0, attemptCount: 39, sentCount: 0},
  } as unknown as ForwardState;
  t.ok(mayRetry(state), 'quick ones');
  t.notOk(mayRetry({...state, attemptCount: 40}));
  await clock.advance(200);
  t.notOk(mayRetry(state), 'half of the target latency is used up');
  t.ok(mayRetry({...state, attemptCount: 5}));
});
