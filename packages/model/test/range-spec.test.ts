import tap from 'tap';
import {explore} from '@banyandrum/model/explore.js';
import {createRangeSpec} from '@banyandrum/model/range-spec.js';
import {
  ALL_RANGE_SAFEGUARDS,
  type RangeSafeguards,
  type RangeScope,
} from '@banyandrum/model/range-state.js';

const CALM: RangeScope = {
  moves: {L: 1, N: 1},
  restarts: 0,
  slowTicks: 0,
  suspendedTicks: 0,
  restores: 0,
  powerLoss: false,
  lateOrders: true,
};
const SLOW = {...CALM, slowTicks: 1};
const ONLY_N = {L: 0, N: 1};
const ONLY_L = {L: 1, N: 0};
const SLOW_N = {...SLOW, moves: ONLY_N};
const SUSPENDED = {...SLOW_N, suspendedTicks: 2};
const RESTARTS = {...CALM, restarts: 1};
const POWER = {...CALM, powerLoss: true};

const ASKING: RangeScope = {...SLOW_N, lateOrders: false, asksEnd: true};
const TRANSIT = {...ASKING, transit: true};
const LOST_PROCESS = {...TRANSIT, processLoss: true};
const EARLIER = {...ASKING, earlierLeader: true};

const SCENARIOS: readonly (readonly [string, RangeScope])[] = [
  ['late orders', CALM],
  ['a slow clock', SLOW_N],
  ['a slow clock, the first leader moves', {...SLOW, moves: ONLY_L}],
  ['a suspended leader', SUSPENDED],
  ['servers restart, the first leader moves', {...RESTARTS, moves: ONLY_L}],
  ['servers restart, the successor moves', {...RESTARTS, moves: ONLY_N}],
  ['all lose power', POWER],
  [
    'there and back, on time',
    {...CALM, moves: {L: 1, N: 2}, lateOrders: false},
  ],
  ['the earlier leader is asked, late orders', {...CALM, asksEnd: true}],
  ['the earlier leader is asked, a slow clock', {...SLOW_N, asksEnd: true}],
  ['the earlier leader is asked, suspended', {...SUSPENDED, asksEnd: true}],
  ['the earlier leader is asked, orders in transit', TRANSIT],
  ['the earlier leader is asked, its process may be lost', LOST_PROCESS],
  ['the earlier leader is asked, another before it acts', EARLIER],
  ['the earlier leader is asked, all lose power', {...POWER, asksEnd: true}],
];

for (const [name, scope] of SCENARIOS) {
  void tap.test(`one holder of a range: ${name}`, async t => {
    const found = explore(createRangeSpec(ALL_RANGE_SAFEGUARDS, scope));
    t.comment(`${found.states} states, depth ${found.depth}`);
    t.same(found.trace, []);
    t.equal(found.violation, null);
  });
}

const BOTH = /both hold the range/;
const SUNK = /not above/;

// Each safeguard alone, taken away: the shortest way to what then happens.
const REMOVALS: readonly (readonly [
  keyof RangeSafeguards,
  RangeScope,
  RegExp,
])[] = [
  ['recordsFirst', CALM, SUNK],
  ['fencesRecords', CALM, SUNK],
  ['waitsForLapse', CALM, BOTH],
  ['addsDrift', SLOW, BOTH],
  ['countsUnproved', CALM, BOTH],
  ['ordersInTurn', CALM, BOTH],
  ['countsForeign', CALM, BOTH],
  ['waitsForAuthority', SLOW_N, BOTH],
  ['boundsAuthority', SLOW_N, BOTH],
  ['countsFromAsking', SLOW_N, BOTH],
  ['seesSuspension', SUSPENDED, BOTH],
  ['fencesRise', POWER, SUNK],
  ['provesEnds', CALM, BOTH],
  ['endsTerm', ASKING, BOTH],
  ['drainsOrders', TRANSIT, BOTH],
  ['asksSameRun', LOST_PROCESS, BOTH],
  ['inheritsWait', EARLIER, BOTH],
];

for (const [guard, scope, violation] of REMOVALS) {
  void tap.test(`without ${guard}`, async t => {
    const guards = {...ALL_RANGE_SAFEGUARDS, [guard]: false};
    const found = explore(createRangeSpec(guards, scope));
    t.match(found.violation, violation);
    t.comment(found.trace.join('; '));
  });
}
