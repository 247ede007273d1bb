import tap from 'tap';
import {createLeadership} from '@banyandrum/gateway/leadership.js';
import type {Platform} from '@banyandrum/gateway/platform.js';
import {createSuspendAwareTime} from '@banyandrum/gateway/suspend-aware-clock.js';
import type {TableStore} from '@banyandrum/ranges/table-store.js';
import type {LeaseClient} from '@banyandrum/ranges/lease-client.js';
import {createLeaseTiming} from '@banyandrum/ranges/lease-timing.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import {createFakeHistory} from './fake-history.js';

/** What the store answers to `isNewest`; null if the call fails. */
let isNewest: boolean | null = true;

const LEDGER: TableStore = {
  beginTerm: async () => 1,
  previousLeader: async () => null,
  isNewestTerm: async () => isNewest,
  lastLeader: async () => ({kind: 'read', address: null}),
  load: async () => [],
  save: async () => 'saved',
};

// Guards against two servers owning the same keys after the leader's host was
// suspended for 13 s. Another leader has reassigned the keys meanwhile, but the
// monotonic clock shows a recent confirmation: the leader must renew nothing
// before the store confirms its term again.
void tap.test('a suspended leader renews nothing until confirmed', async t => {
  const clock = createManualClock(1_000);
  let wallNow = 50_000;
  let grants = 0;
  const grant: LeaseClient['grant'] = async () => {
    grants++;
    return {kind: 'done', handover: null, mayBeCopy: false};
  };
  const orders: LeaseClient = {
    grant,
    renew: grant,
    release: async () => ({kind: 'done', handover: null, mayBeCopy: false}),
  };
  const suspendAwareNow = createSuspendAwareTime(clock, () => wallNow);
  const history = createFakeHistory(() => clock.now());
  const leadership = createLeadership({
    platform: {ledger: LEDGER, orders, history} as unknown as Platform,
    clock,
    suspendAwareNow,
    timing: createLeaseTiming(10_000),
    bootId: 'b1',
    address: '10.0.0.9:7200',
    askTermEnd: async () => null,
    emit: () => undefined,
    keyedServices: () => ['rounds'],
    serversOf: () => [
      {
        id: 's1',
        address: '10.0.0.1:80',
        slots: 2,
        serviceMs: 100,
        isOpen: true,
        isEvacuated: false,
      },
    ],
    hasEnded: () => false,
    isListSettled: () => true,
    waitingKeys: () => [],
    runningKeys: () => [],
    profileOf: () => null,
    isFirstStart: true,
  });
  const advance = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 50) {
      wallNow += 50;
      await clock.advance(50);
    }
  };
  void leadership.startTerm();
  await advance(3_000);
  t.ok(grants > 0);
  isNewest = null;
  wallNow += 13_000;
  const grantsBefore = grants;
  await advance(3_000);
  t.equal(grants, grantsBefore);
  isNewest = true;
  await advance(3_000);
  t.ok(grants > grantsBefore, 'continues once confirmed');
  isNewest = false;
  leadership.checkTerm();
  await advance(100);
  t.equal(leadership.isLeading(), false, 'ends once another term has begun');
  const grantsAtEnd = grants;
  await advance(3_000);
  t.equal(grants, grantsAtEnd);
});

// Guards against wall clock jumps of some seconds in either direction: they may
// increase the measured age of information but must never reduce it.
void tap.test('nothing gets younger as the time of day jumps', async t => {
  const clock = createManualClock(1_000);
  let wallNow = 50_000;
  const now = createSuspendAwareTime(clock, () => wallNow);
  const startedAt = now();
  wallNow -= 2_000;
  await clock.advance(500);
  wallNow += 500;
  t.equal(now() - startedAt, 500 + 0);
  wallNow += 2_000;
  t.equal(now() - startedAt, 2_500);
  await clock.advance(100);
  wallNow += 100;
  t.equal(now() - startedAt, 2_600);
});
