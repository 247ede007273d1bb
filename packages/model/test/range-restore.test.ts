import tap from 'tap';
import {explore} from '@banyandrum/model/explore.js';
import {createRangeSpec} from '@banyandrum/model/range-spec.js';
import {
  ALL_RANGE_SAFEGUARDS,
  type RangeSafeguards,
  type RangeScope,
} from '@banyandrum/model/range-state.js';

const RESTORED: RangeScope = {
  moves: {L: 0, N: 0},
  restarts: 0,
  slowTicks: 0,
  suspendedTicks: 0,
  restores: 1,
  powerLoss: false,
  lateOrders: false,
};
const L_MOVES = {...RESTORED, moves: {L: 1, N: 0}};
const N_MOVES = {...RESTORED, moves: {L: 0, N: 1}};

const ASKING = {...RESTORED, slowTicks: 1, asksEnd: true};

const SCENARIOS: readonly (readonly [string, RangeScope])[] = [
  ['the first leader moves', L_MOVES],
  ['the successor moves', N_MOVES],
  ['late orders', {...RESTORED, lateOrders: true}],
  ['a slow clock', {...RESTORED, slowTicks: 1}],
  ['a server restarts', {...RESTORED, restarts: 1}],
  ['a second restore', {...RESTORED, restores: 2}],
  ['the earlier leader is asked', {...N_MOVES, asksEnd: true}],
  ['the earlier leader is asked, a slow clock', ASKING],
];

for (const [name, scope] of SCENARIOS) {
  void tap.test(`one holder after a restore: ${name}`, async t => {
    const found = explore(createRangeSpec(ALL_RANGE_SAFEGUARDS, scope));
    t.comment(`${found.states} states, depth ${found.depth}`);
    t.same(found.trace, []);
    t.equal(found.violation, null);
  });
}

const BOTH = /both hold the range/;
const SUNK = /not above/;

const REMOVALS: readonly (readonly [
  keyof RangeSafeguards,
  RangeScope,
  RegExp,
])[] = [
  ['fencesRiseOverRestores', N_MOVES, SUNK],
  ['staysInHistory', N_MOVES, BOTH],
  ['confirmsRemembered', N_MOVES, BOTH],
  ['boundsRemembered', N_MOVES, BOTH],
  ['distrustsCopies', L_MOVES, BOTH],
];

for (const [guard, scope, violation] of REMOVALS) {
  void tap.test(`a restore without ${guard}`, async t => {
    const guards = {...ALL_RANGE_SAFEGUARDS, [guard]: false};
    const found = explore(createRangeSpec(guards, scope));
    t.match(found.violation, violation);
    t.comment(found.trace.join('; '));
  });
}
