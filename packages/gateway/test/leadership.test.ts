import tap from 'tap';
import {createLeadership} from '@banyandrum/gateway/leadership.js';
import type {Platform} from '@banyandrum/gateway/platform.js';
import {wakefulTime} from '@banyandrum/gateway/wakeful-clock.js';
import type {TableStore} from '@banyandrum/ranges/ledger.js';
import type {LeaseClient} from '@banyandrum/ranges/orders.js';
import {createLeaseTiming} from '@banyandrum/ranges/timing.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import {createFakeHistory} from './fake-history.js';

/** Answers whether the first term is the newest one; null: not at all. */
let isNewest: boolean | null = true;

const LEDGER: TableStore = {
  beginTerm: async () => 1,
  isNewestTerm: async () => isNewest,
  lastLeader: async () => ({kind: 'read', address: null}),
  load: async () => [],
  save: async () => 'saved',
};

// The leader's host is suspended for 13 s; another leader was chosen and gave
// its keys to other servers. As it wakes up, its steady clock says that it was
// confirmed a moment ago: it must renew nothing before it has asked again, or
// two servers would hold the same keys.
void tap.test('a leader that was suspended renews nothing', async t => {
  const clock = createManualClock(1_000);
  let today = 50_000;
  let grants = 0;
  const orders: LeaseClient = {
    async grant() {
      grants++;
      return {kind: 'done', handover: null};
    },
    release: async () => ({kind: 'done', handover: null}),
  };
  const wakefulNow = wakefulTime(clock, () => today);
  const history = createFakeHistory(() => clock.now());
  const leadership = createLeadership({
    platform: {ledger: LEDGER, orders, history} as unknown as Platform,
    clock,
    wakefulNow,
    timing: createLeaseTiming(10_000),
    boot: 'b1',
    address: '10.0.0.9:7200',
    emit: () => undefined,
    keyedServices: () => ['rounds'],
    serversOf: () => [
      {
        id: 's1',
        address: '10.0.0.1:80',
        slots: 2,
        serviceMs: 100,
        isOpen: true,
      },
    ],
    hasEnded: () => false,
    isListSettled: () => true,
    waitingKeys: () => [],
    isFirstStart: true,
  });
  const pass = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 50) {
      today += 50;
      await clock.advance(50);
    }
  };
  void leadership.begin();
  await pass(3_000);
  t.ok(grants > 0);
  isNewest = null;
  today += 13_000;
  const before = grants;
  await pass(3_000);
  t.equal(grants, before);
  isNewest = true;
  await pass(3_000);
  t.ok(grants > before, 'once confirmed it goes on');
  isNewest = false;
  leadership.check();
  await pass(100);
  t.equal(leadership.isLeading(), false, 'it ends once another began');
  const ended = grants;
  await pass(3_000);
  t.equal(grants, ended);
});

// The time of day jumps back and forth by some seconds: the age of a belief may
// grow by that, and must never shrink.
void tap.test('jumps of the time of day make nothing younger', async t => {
  const clock = createManualClock(1_000);
  let today = 50_000;
  const now = wakefulTime(clock, () => today);
  const began = now();
  today -= 2_000;
  await clock.advance(500);
  today += 500;
  t.equal(now() - began, 500 + 0);
  today += 2_000;
  t.equal(now() - began, 2_500);
  await clock.advance(100);
  today += 100;
  t.equal(now() - began, 2_600);
});
