import tap from 'tap';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import {createFairTurns} from '@banyandrum/slots/fair-turns.js';
import type {Waiter, WaitQueue} from '@banyandrum/slots/wait-queue.js';

const QUEUE: WaitQueue = {service: 'desks', owner: 's1', levels: []};
const CAPACITY = {slots: 3, serviceMs: 160, isLimited: false};
const SERVICE_SLOTS = 18;

function createWaiter(now: number): Waiter {
  return {
    req: {
      ...{id: 'r', service: 'desks', key: 7, priority: 0, caller: 11},
      ...{leftMs: 3_000, aimLeftMs: 500, askedMs: 0, excluded: []},
      dataCentre: 'a',
    },
    ...{priority: 0, reply: () => undefined, requestedAt: now},
    ...{orderAt: now + 340, onTimeUntil: now + 340, expiresAt: now + 2_700},
    ...{grantedAt: 0, server: null, queue: null, turn: 0},
  };
}

// Guards against callers that seem to ask for more the more often owners or the
// server list change while their requests wait.
void tap.test('a waiting request counts once', async t => {
  const clock = createManualClock(1_000);
  const turns = createFairTurns(clock);
  const waiter = createWaiter(clock.now());
  const slotsAsked = (): number => {
    const [account] = turns.accounts();
    return account!.callers.shares.slotsAsked(clock.now());
  };
  turns.assign(QUEUE, waiter, CAPACITY, SERVICE_SLOTS);
  const once = slotsAsked();
  for (let times = 0; times < 20; times++)
    turns.assign(QUEUE, waiter, CAPACITY, SERVICE_SLOTS);
  t.equal(slotsAsked(), once);
});

void tap.test('a request that moves counts once for the service', async t => {
  const clock = createManualClock(1_000);
  const turns = createFairTurns(clock);
  const waiter = createWaiter(clock.now());
  turns.assign(QUEUE, waiter, CAPACITY, SERVICE_SLOTS);
  const [account] = turns.accounts();
  const once = account!.wholeService!.slotsAsked(clock.now());
  turns.assign({...QUEUE, owner: 's2'}, waiter, CAPACITY, SERVICE_SLOTS);
  t.equal(account!.wholeService!.slotsAsked(clock.now()), once);
});
