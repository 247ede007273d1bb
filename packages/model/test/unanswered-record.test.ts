import tap from 'tap';
import {explore} from '@banyandrum/model/explore.js';
import {createRangeSpec} from '@banyandrum/model/range-spec.js';
import {
  ALL_RANGE_SAFEGUARDS,
  type RangeScope,
} from '@banyandrum/model/range-state.js';

/** The first leader moves the range; its record may have no answer. */
const UNANSWERED: RangeScope = {
  moves: {L: 1, N: 0},
  restarts: 0,
  slowTicks: 0,
  suspendedTicks: 0,
  restores: 1,
  powerLoss: false,
  lateOrders: false,
  unansweredRecords: true,
};

/** Whom the leader asks first, and what is violated then. */
const ORDERS = [
  ['former', /both hold the range/],
  ['recorded', /not above/],
] as const;

void tap.test('one holder after a restore: an unanswered record', async t => {
  const found = explore(createRangeSpec(ALL_RANGE_SAFEGUARDS, UNANSWERED));
  t.comment(`${found.states} states, depth ${found.depth}`);
  t.same(found.trace, []);
  t.equal(found.violation, null);
});

// Guards against confirming such a move by a grant to each of the two servers.
for (const [first, violation] of ORDERS) {
  void tap.test(`without doubtsRecords: the ${first} server first`, async t => {
    const guards = {...ALL_RANGE_SAFEGUARDS, doubtsRecords: false};
    const scope = {...UNANSWERED, asksRecordedFirst: first === 'recorded'};
    const found = explore(createRangeSpec(guards, scope));
    t.match(found.violation, violation);
    t.match(found.trace.join('; '), /the answer is lost|the write is lost/);
    t.comment(found.trace.join('; '));
  });
}
