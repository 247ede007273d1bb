import tap from 'tap';
import {explore} from '@banyandrum/model/explore.js';
import {createLeaseSpec} from '@banyandrum/model/lease-spec.js';
import {
  ALL_LEASE_SAFEGUARDS,
  type LeaseSafeguards,
  type LeaseScope,
} from '@banyandrum/model/lease-state.js';

const CHECKING: LeaseScope = {
  checksFences: true,
  hasTable: true,
  moves: {L: 1, N: 1},
  restarts: 1,
  slowTicks: 1,
  ownersOnly: false,
};

const TRUSTING: LeaseScope = {...CHECKING, checksFences: false};

interface Scenario {
  readonly name: string;
  readonly scope: LeaseScope;
}

const SCENARIOS: readonly Scenario[] = [
  {name: 'fences checked, with the table', scope: CHECKING},
  {
    name: 'fences checked, without the table',
    scope: {...CHECKING, hasTable: false},
  },
  {
    name: 'fences checked, the successor moves the shard there and back',
    scope: {...CHECKING, moves: {L: 1, N: 2}, slowTicks: 0},
  },
  {name: 'fences not checked, with the table', scope: TRUSTING},
  {
    name: 'fences not checked, without the table',
    scope: {...TRUSTING, hasTable: false},
  },
];

for (const {name, scope} of SCENARIOS) {
  void tap.test(`one owner at a time: ${name}`, async t => {
    const found = explore(createLeaseSpec(ALL_LEASE_SAFEGUARDS, scope));
    t.comment(`${found.states} states, depth ${found.depth}`);
    t.same(found.trace, []);
    t.equal(found.violation, null);
  });
}

interface Removal {
  readonly guard: keyof LeaseSafeguards;
  readonly scope: LeaseScope;
  readonly violation: RegExp;
}

const BOTH = /both hold the shard/;
const REQUEST = /may run a request while the other/;
const ASKING = {...TRUSTING, hasTable: false};
const OWNERS = {ownersOnly: true};

const REMOVALS: readonly Removal[] = [
  {guard: 'countsFromEcho', scope: TRUSTING, violation: /prolonged a lease/},
  {guard: 'countsFromEcho', scope: {...TRUSTING, ...OWNERS}, violation: BOTH},
  {guard: 'checksFence', scope: CHECKING, violation: /a deposed leader/},
  {guard: 'checksFence', scope: {...CHECKING, ...OWNERS}, violation: BOTH},
  {guard: 'waitsForUnanswered', scope: TRUSTING, violation: BOTH},
  {guard: 'waitsForUnanswered', scope: CHECKING, violation: BOTH},
  {guard: 'lapseMargin', scope: TRUSTING, violation: BOTH},
  {guard: 'writesAhead', scope: CHECKING, violation: BOTH},
  {guard: 'writesAhead', scope: TRUSTING, violation: BOTH},
  {guard: 'refusesLateTables', scope: CHECKING, violation: BOTH},
  {guard: 'waitsForCleared', scope: CHECKING, violation: BOTH},
  {guard: 'waitsForCleared', scope: TRUSTING, violation: BOTH},
  {guard: 'waitsForLateOrders', scope: TRUSTING, violation: BOTH},
  {guard: 'waitsForLateOrders', scope: ASKING, violation: BOTH},
  {guard: 'distrustsEarlyAcks', scope: CHECKING, violation: BOTH},
  {guard: 'oneOrderInFlight', scope: TRUSTING, violation: BOTH},
  {guard: 'deadlineInLease', scope: TRUSTING, violation: REQUEST},
  {guard: 'drainsRequests', scope: TRUSTING, violation: REQUEST},
  {guard: 'deliversOnce', scope: TRUSTING, violation: BOTH},
];

for (const {guard, scope, violation} of REMOVALS) {
  const kind = scope.checksFences ? 'checked' : 'not checked';
  void tap.test(`without ${guard}, fences ${kind}: ${violation}`, async t => {
    const guards = {...ALL_LEASE_SAFEGUARDS, [guard]: false};
    const found = explore(createLeaseSpec(guards, scope));
    t.comment(`${found.states} states, depth ${found.depth}`);
    for (const step of [...found.trace, found.violation])
      t.comment(`  ${step}`);
    t.match(found.violation, violation);
  });
}

// The count of late orders at each server covers the wait while servers are
// asked, as long as every server that may hold the shard is in the inventory.
void tap.test('the wait while asking adds nothing to the counts', async t => {
  const guards = {...ALL_LEASE_SAFEGUARDS, waitsWhenAsking: false};
  const found = explore(createLeaseSpec(guards, ASKING));
  t.comment(`${found.states} states, depth ${found.depth}`);
  t.equal(found.violation, null);
});
