import tap from 'tap';
import {
  ALL_AUTHORITY_SAFEGUARDS,
  type AuthoritySafeguards,
  type AuthorityScope,
} from '@banyandrum/model/authority-state.js';
import {createAuthoritySpec} from '@banyandrum/model/authority-spec.js';
import {explore} from '@banyandrum/model/explore.js';

const TAKEOVER: AuthorityScope = {
  claims: {S: null},
  standbysOnly: [],
  replaces: {},
  openClaims: 1,
  mortal: [],
  lateAnswers: true,
  slowTicks: 1,
  maxViews: 1,
};

const RACE: AuthorityScope = {
  ...TAKEOVER,
  claims: {S: 'D', C: null},
  lateAnswers: false,
  slowTicks: 0,
  maxViews: 2,
};

const CHAIN: AuthorityScope = {...RACE, claims: {S: 'C', C: null}};

const REPLACEMENT: AuthorityScope = {
  ...RACE,
  claims: {C: null},
  replaces: {L: 'C'},
  openClaims: 2,
};

const DOUBLE_LOSS: AuthorityScope = {
  ...RACE,
  claims: {C: 'D'},
  mortal: ['L', 'S', 'C'],
  slowTicks: 1,
};

const TWO_CLAIMANTS: AuthorityScope = {...RACE, claims: {C: 'D', D: null}};

const SETTLEMENT: AuthorityScope = {
  ...RACE,
  claims: {C: null, D: null},
  standbysOnly: ['D'],
  replaces: {C: 'D'},
  maxViews: 3,
};

interface Scenario {
  readonly name: string;
  readonly scope: AuthorityScope;
}

const SCENARIOS: readonly Scenario[] = [
  {name: 'the standby takes over', scope: TAKEOVER},
  {name: 'standby and a third process race', scope: RACE},
  {name: 'the standby claims, then its own standby', scope: CHAIN},
  {name: 'the leader replaces its standby', scope: REPLACEMENT},
  {name: 'a third process after a double loss', scope: DOUBLE_LOSS},
  {name: 'two third processes after a double loss', scope: TWO_CLAIMANTS},
  {name: 'a claimant settles former pairs', scope: SETTLEMENT},
];

for (const {name, scope} of SCENARIOS) {
  void tap.test(`one leader at a time: ${name}`, async t => {
    const found = explore(createAuthoritySpec(ALL_AUTHORITY_SAFEGUARDS, scope));
    t.comment(`${found.states} states, depth ${found.depth}`);
    t.same(found.trace, []);
    t.equal(found.violation, null);
  });
}

interface Removal {
  readonly guard: keyof AuthoritySafeguards;
  readonly scope: AuthorityScope;
}

const REMOVALS: readonly Removal[] = [
  {guard: 'waitsForReads', scope: TAKEOVER},
  {guard: 'allowsForDrift', scope: TAKEOVER},
  {guard: 'agesFromSending', scope: TAKEOVER},
  {guard: 'withdrawsFirst', scope: CHAIN},
  {guard: 'consentsForNewest', scope: DOUBLE_LOSS},
  {guard: 'clearsConsent', scope: DOUBLE_LOSS},
  {guard: 'waitsForConsent', scope: DOUBLE_LOSS},
  {guard: 'clearsFormerPairs', scope: TWO_CLAIMANTS},
  {guard: 'settlesWhenCleared', scope: SETTLEMENT},
  {guard: 'dropsConsentOnReplace', scope: REPLACEMENT},
  {guard: 'countsOpenClaims', scope: REPLACEMENT},
  {guard: 'viewsOnlyAdvance', scope: TAKEOVER},
  {guard: 'firstClaimWins', scope: RACE},
];

for (const {guard, scope} of REMOVALS) {
  void tap.test(`without ${guard} the promise is broken`, async t => {
    const guards = {...ALL_AUTHORITY_SAFEGUARDS, [guard]: false};
    const found = explore(createAuthoritySpec(guards, scope));
    t.comment(`${found.states} states, depth ${found.depth}`);
    for (const step of [...found.trace, found.violation])
      t.comment(`  ${step}`);
    t.match(found.violation, /may act at once|went back/);
  });
}
