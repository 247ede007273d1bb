import tap from 'tap';
import {sleep} from '@banyandrum/base/clock.js';
import type {ServedTables} from '@banyandrum/gateway/key-owners.js';
import {
  createLeadership,
  type Leadership,
} from '@banyandrum/gateway/leadership.js';
import type {Platform} from '@banyandrum/gateway/platform.js';
import type {ListedServer} from '@banyandrum/ranges/leader-state.js';
import type {TableStore} from '@banyandrum/ranges/table-store.js';
import type {LeaseClient} from '@banyandrum/ranges/lease-client.js';
import {splitEvenly, type RangeAssignment} from '@banyandrum/ranges/table.js';
import {createLeaseTiming} from '@banyandrum/ranges/lease-timing.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {createFakeHistory} from './fake-history.js';

const SERVERS = 200;
const LEAVING = 40;

const ALL: readonly ListedServer[] = Array.from({length: SERVERS}, (_, at) => ({
  ...{id: `s${at}`, address: `10.0.${at >> 8}.${at & 255}:80`},
  ...{slots: 2, serviceMs: 400, isOpen: true, isEvacuated: false},
}));

interface Harness {
  readonly clock: ManualClock;
  readonly leadership: Leadership;
  servers: readonly ListedServer[];
  /** The fences of all grants. */
  readonly fences: number[];
  /** Called when a server is asked to release keys. */
  onRelease: (assignment: RangeAssignment) => void;
}

function createHarness(
  epoch: number,
  storedAssignments: readonly RangeAssignment[],
): Harness {
  const clock = createManualClock(1_000);
  const ledger: TableStore = {
    beginTerm: async () => epoch,
    previousLeader: async () => null,
    isNewestTerm: async () => true,
    lastLeader: async () => ({kind: 'read', address: null}),
    load: async () =>
      storedAssignments.length > 0
        ? [{service: 'rounds', assignments: storedAssignments}]
        : [],
    save: async () => 'saved',
  };
  const simulateLatency = async (): Promise<void> =>
    sleep(clock, 1 + (harness.fences.length % 7));
  const grant: LeaseClient['grant'] = async ({fence}) => {
    harness.fences.push(fence);
    await simulateLatency();
    return {kind: 'done', handover: null, mayBeCopy: false};
  };
  const orders: LeaseClient = {
    grant,
    renew: grant,
    async release(assignment) {
      harness.onRelease(assignment);
      await simulateLatency();
      return {kind: 'done', handover: null, mayBeCopy: false};
    },
  };
  const history = createFakeHistory(() => clock.now());
  const leadership = createLeadership({
    platform: {ledger, orders, history} as unknown as Platform,
    ...{clock, timing: createLeaseTiming(10_000), bootId: 'b1'},
    ...{address: '10.0.0.9:7200', emit: () => undefined},
    suspendAwareNow: () => clock.now(),
    askTermEnd: async () => null,
    keyedServices: () => ['rounds'],
    serversOf: () => harness.servers,
    hasEnded: () => false,
    isListSettled: () => true,
    waitingKeys: () => [],
    runningKeys: () => [],
    profileOf: () => null,
    isFirstStart: true,
  });
  const harness: Harness = {
    ...{clock, leadership, servers: ALL, fences: []},
    onRelease: () => undefined,
  };
  return harness;
}

// Guards against one notification per changed range when a fifth of the servers
// leaves at once (160 notifications before). At each one the slot allocation
// reviews all waiting requests, which delayed the responses of every service by
// a third of a second for two seconds. Changes must be coalesced, but no server
// may be asked to release keys before subscribers know of the withdrawal.
void tap.test('changes at the same time cause few notifications', async t => {
  const harness = createHarness(1, []);
  const {clock, leadership} = harness;
  let notifications = 0;
  let tables: ServedTables = new Map();
  leadership.subscribe(() => {
    notifications++;
    tables = leadership.tables() ?? new Map();
  });
  void leadership.startTerm();
  await clock.advance(3_000);
  t.equal(tables.get('rounds')?.length, SERVERS * 2);
  t.notOk(tables.get('rounds')?.some(({server}) => server === null));
  const notificationsBefore = notifications;
  let isReleasedEarly = false;
  harness.onRelease = ({from, server}) => {
    const range = tables.get('rounds')?.find(each => each.from === from);
    isReleasedEarly ||= range?.server === server;
  };
  const leaving = ALL.slice(0, LEAVING);
  harness.servers = ALL.slice(LEAVING);
  await clock.advance(3_000);
  t.notOk(isReleasedEarly, 'no request is sent to ranges that are released');
  const stillAssigned = tables
    .get('rounds')!
    .filter(({server}) => leaving.some(({id}) => id === server));
  t.equal(stillAssigned.length, 0, 'all keys are moved');
  t.notOk(tables.get('rounds')!.some(({server}) => server === null));
  t.comment(`${notifications - notificationsBefore} notifications`);
  t.ok(
    notifications - notificationsBefore <= LEAVING,
    'fewer notifications than servers that left',
  );
});

// Guards against fences that reach into the next term's range when a leader
// grants four ranges to each of a thousand servers. A server that saw such a
// fence would reject the next leader, and its keys would stay unserved; or a
// delayed call of the earlier leader would take precedence.
void tap.test('fences of a large term stay below the next term', async t => {
  const assignments = splitEvenly(4_200).map((range, at) => {
    const {id, address} = ALL[at % SERVERS]!;
    return {...range, server: id, address, fence: 1, handover: null};
  });
  const harness = createHarness(7, assignments);
  void harness.leadership.startTerm();
  await harness.clock.advance(2_000);
  t.equal(harness.leadership.isLeading(), true, 'the term continues');
  const next = createHarness(8, assignments);
  void next.leadership.startTerm();
  await next.clock.advance(100);
  t.ok(harness.fences.length >= assignments.length);
  t.ok(next.fences.length > 0);
  t.ok(Math.max(...harness.fences) < Math.min(...next.fences));
});

// Guards against a new leader that sends the grants of all inherited ranges at
// once (1,000 before). Routers connect to it at the same time and leave after
// 0.6 s without a message, so grants must be spread. None may be late either:
// servers' leases last at least another second.
void tap.test('a new leader grants inherited ranges step by step', async t => {
  const assignments = splitEvenly(1_000).map((range, at) => {
    const {id, address} = ALL[at % SERVERS]!;
    return {...range, server: id, address, fence: 1, handover: null};
  });
  const harness = createHarness(2, assignments);
  void harness.leadership.startTerm();
  let maxGrants = 0;
  for (let passed = 0; passed < 600; passed += 50) {
    const before = harness.fences.length;
    await harness.clock.advance(50);
    maxGrants = Math.max(maxGrants, harness.fences.length - before);
  }
  t.ok(maxGrants <= 150, `${maxGrants} in 50 ms`);
  t.ok(
    harness.fences.length >= assignments.length,
    'all are granted within 0.6 s',
  );
});
