import tap from 'tap';
import fc from 'fast-check';
import type {ContentDigests} from '@banyandrum/dispatch/content-digests.js';
import type {StruckRequest} from '@banyandrum/dispatch/suspect.js';
import {createSuspects, type Suspects} from '@banyandrum/dispatch/suspects.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

const SEED = 20_261_203;

/** Readable stand-ins for the digests of a request. */
function digestsOf(
  path: string,
  caller = '10.0.0.9',
  query = '',
): ContentDigests {
  return {
    exact: `${path} ${query} ${caller}`,
    anyCaller: `${path} ${query} any`,
    anyQuery: path,
  };
}

function struckRequest(
  path: string,
  caller?: string,
  query?: string,
): StruckRequest {
  return {
    ...{contents: digestsOf(path, caller, query), caller: caller ?? '10.0.0.9'},
    ...{service: 'desks', route: 'checks'},
  };
}

interface Fixture {
  readonly clock: ManualClock;
  readonly suspects: Suspects;
  readonly events: string[];
  /**
   * Adds a strike for each server, the last one in a trial; applies the rules.
   */
  crashServers(content: string, ...servers: readonly string[]): void;
}

function setUp(): Fixture {
  const clock = createManualClock(1_000);
  const events: string[] = [];
  const emit = (event: string): void => void events.push(event);
  const suspects = createSuspects(clock, emit, () => 1_796_000_000_000);
  return {
    ...{clock, suspects, events},
    crashServers(content, ...servers) {
      servers.forEach((server, at) => {
        const isTrial = at === servers.length - 1;
        suspects.addStrike(struckRequest(content), server, isTrial);
      });
      suspects.applyQuarantineRules();
    },
  };
}

void tap.test(
  'quarantined at the third crashed server, in a trial',
  async t => {
    const {suspects, crashServers, events} = setUp();
    t.equal(suspects.standingOf(digestsOf('bad')), 'unknown');
    crashServers('bad', 's1', 's2');
    t.equal(suspects.standingOf(digestsOf('bad')), 'suspected');
    crashServers('bad', 's3');
    t.equal(suspects.standingOf(digestsOf('bad')), 'quarantined');
    t.same(
      events.filter(each => each === 'request-quarantined'),
      ['request-quarantined'],
      'only the digest of its caller',
    );
  },
);

void tap.test(
  'one server strikes once, even if reported repeatedly',
  async t => {
    const {suspects, crashServers} = setUp();
    for (let time = 0; time < 5; time++) crashServers('bad', 's1');
    t.equal(suspects.standingOf(digestsOf('bad')), 'suspected');
  },
);

// Guards against quarantining a frequent request because many servers crash at
// once, here a seventh of all. It was running on each of them, but no trial
// shows that it caused the crashes.
void tap.test('servers that end together quarantine nothing', async t => {
  const {suspects} = setUp();
  for (let at = 0; at < 57; at++) {
    suspects.addStrike(struckRequest('busy'), `s${at}`, false);
  }
  suspects.applyQuarantineRules();
  t.equal(suspects.standingOf(digestsOf('busy')), 'suspected');
  suspects.clearAnswered(digestsOf('busy'));
  t.equal(suspects.standingOf(digestsOf('busy')), 'unknown');
  t.ok(suspects.isEmpty());
});

void tap.test(
  'what ran beside a quarantined request is cleared with it',
  async t => {
    const {suspects, crashServers} = setUp();
    suspects.addStrike(struckRequest('beside'), 's1', false);
    suspects.addStrike(struckRequest('beside'), 's2', true);
    suspects.addStrike(struckRequest('other'), 's9', false);
    crashServers('bad', 's1', 's2', 's3');
    t.equal(
      suspects.standingOf(digestsOf('beside')),
      'unknown',
      'its crashes are attributed to the other request',
    );
    t.equal(suspects.standingOf(digestsOf('other')), 'suspected');
    crashServers('beside', 's4');
    t.equal(
      suspects.standingOf(digestsOf('beside')),
      'suspected',
      'the end of a server that no other request explains',
    );
  },
);

// Guards against counting crashes that did not happen. A router whose
// connections were refused because of a network failure believed that servers
// had crashed.
void tap.test('a server that answers did not end', async t => {
  const {suspects, crashServers, clock} = setUp();
  crashServers('bad', 's1', 's2');
  await clock.advance(10);
  suspects.noteAlive('s1', 1_000);
  crashServers('bad', 's3');
  t.equal(
    suspects.standingOf(digestsOf('bad')),
    'quarantined',
    'the answered request was sent before the end',
  );

  const other = setUp();
  other.crashServers('read', 's1', 's2');
  await other.clock.advance(10);
  other.suspects.noteAlive('s1', 1_005);
  other.suspects.noteAlive('s2', 1_005);
  t.equal(other.suspects.standingOf(digestsOf('read')), 'unknown');
  other.crashServers('read', 's3');
  t.equal(other.suspects.standingOf(digestsOf('read')), 'suspected');
});

void tap.test(
  'an operator clears a request, which overrides rows from before',
  async t => {
    const {suspects, crashServers} = setUp();
    crashServers('bad', 's1', 's2', 's3');
    const before = suspects.rows();
    t.notOk(suspects.clear('other any', 'ayesha', 'mended'), 'not quarantined');
    t.ok(suspects.clear(digestsOf('bad').exact, 'ayesha', 'mended'));
    t.equal(suspects.standingOf(digestsOf('bad')), 'unknown');
    suspects.merge(before);
    t.equal(suspects.standingOf(digestsOf('bad')), 'unknown');
    t.match(suspects.get(digestsOf('bad').exact)!.cleared, {
      by: 'ayesha',
      reason: 'mended',
    });
    crashServers('bad', 's4', 's5', 's6');
    t.equal(
      suspects.standingOf(digestsOf('bad')),
      'quarantined',
      'it crashes servers again',
    );
  },
);

// Guards against evicting rows of other callers. One caller loses so many
// requests that the table is full.
void tap.test('a caller pushes out only its own rows', async t => {
  const {suspects, crashServers} = setUp();
  crashServers('bad', 's1', 's2');
  for (let at = 0; at < 1_500; at++) {
    suspects.addStrike(struckRequest(`c${at}`, '10.0.0.66'), `t${at}`, false);
  }
  t.ok(suspects.rows().length <= 1_000, `${suspects.rows().length} rows`);
  t.equal(suspects.standingOf(digestsOf('bad')), 'suspected');
  t.equal(suspects.standingOf(digestsOf('c1499', '10.0.0.66')), 'suspected');
  t.equal(suspects.standingOf(digestsOf('c0', '10.0.0.66')), 'unknown');
});

void tap.test('rows that are only suspected expire after a time', async t => {
  const {suspects, crashServers, clock} = setUp();
  crashServers('beside', 's1');
  crashServers('bad', 's1', 's2', 's3');
  await clock.advance(700_000);
  crashServers('later', 's9');
  t.equal(suspects.get(digestsOf('beside').exact), undefined);
  t.equal(suspects.standingOf(digestsOf('bad')), 'quarantined');
  const before = suspects.rows();
  suspects.clear(digestsOf('bad').exact, 'ayesha', 'mended');
  await clock.advance(3_600_000);
  crashServers('last', 's10');
  suspects.merge(before);
  t.equal(
    suspects.standingOf(digestsOf('bad')),
    'unknown',
    'rows by a router that was cut off',
  );
});

/** An event at a router. */
type Step =
  readonly ['strike', string, string, boolean] | readonly ['answer', string];

const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.tuple(
    fc.constant('strike' as const),
    fc.constantFrom('a', 'b', 'c'),
    fc.constantFrom('s1', 's2', 's3', 's4'),
    fc.boolean(),
  ),
  fc.tuple(fc.constant('answer' as const), fc.constantFrom('a', 'b', 'c')),
);

function applySteps(steps: readonly Step[]): Suspects {
  const {suspects} = setUp();
  for (const step of steps) {
    if (step[0] === 'answer') suspects.clearAnswered(digestsOf(step[1]));
    else {
      const [, content, server, isTrial] = step;
      suspects.addStrike(struckRequest(content), server, isTrial);
    }
  }
  return suspects;
}

function statesOf(suspects: Suspects): readonly unknown[] {
  return ['a', 'b', 'c'].map(content => {
    const row = suspects.get(digestsOf(content).exact);
    const servers = row?.strikes.map(({server}) => server).sort();
    return [suspects.standingOf(digestsOf(content)), row?.round, servers];
  });
}

// Guards against routers that disagree. As leaders change, rows of different
// routers are merged in different orders, and must give the same result.
void tap.test('rows merge to the same in any order', async t => {
  const histories = fc.array(fc.array(STEP, {maxLength: 8}), {
    minLength: 2,
    maxLength: 4,
  });
  fc.assert(
    fc.property(histories, routers => {
      const rowSets = routers.map(steps => applySteps(steps).rows());
      const [one, other] = [setUp().suspects, setUp().suspects];
      for (const rows of rowSets) one.merge(rows);
      for (const rows of [...rowSets, ...rowSets].reverse()) other.merge(rows);
      one.applyQuarantineRules();
      other.applyQuarantineRules();
      t.same(statesOf(one), statesOf(other));
    }),
    {seed: SEED, numRuns: 300},
  );
});

// Guards against counting crashes for each caller separately. The same request
// came from callers with different addresses in all data centres, and crashed
// 25 and 27 servers in total.
void tap.test('the same request from many callers is recognized', async t => {
  const {suspects} = setUp();
  for (const [at, caller] of ['10.0.0.1', '10.0.0.2', '10.0.0.3'].entries()) {
    t.not(suspects.standingOf(digestsOf('bad', caller)), 'quarantined');
    suspects.addStrike(struckRequest('bad', caller), `s${at}`, at > 0);
    suspects.applyQuarantineRules();
  }
  t.equal(suspects.standingOf(digestsOf('bad', '10.0.0.4')), 'quarantined');
  t.not(
    suspects.standingOf(digestsOf('bad', '10.0.0.4', '?p=2')),
    'quarantined',
  );
});

void tap.test('a request with changing queries is recognized', async t => {
  const {suspects} = setUp();
  for (const [at, query] of ['?p=1', '?p=2', '?p=3'].entries()) {
    suspects.addStrike(
      struckRequest('bad', undefined, query),
      `s${at}`,
      at > 0,
    );
    suspects.applyQuarantineRules();
  }
  const next = digestsOf('bad', undefined, '?p=4');
  t.equal(suspects.standingOf(next), 'quarantined');
  t.ok(suspects.clear('bad', 'ayesha', 'mended'));
  t.equal(suspects.standingOf(next), 'unknown');
});

// Guards against refusing a path to all callers because the requests of one
// caller crash servers.
void tap.test('the same path from others is tried and cleared', async t => {
  const {suspects, crashServers} = setUp();
  crashServers('bad', 's1', 's2', 's3');
  const other = digestsOf('bad', '10.0.0.7');
  t.equal(suspects.standingOf(digestsOf('bad')), 'quarantined');
  t.equal(suspects.standingOf(other), 'suspected');
  suspects.clearAnswered(other);
  t.equal(suspects.standingOf(other), 'unknown');
  t.equal(suspects.standingOf(digestsOf('bad')), 'quarantined');
});

// Guards against dropping the strike of a trial. While there was no leader,
// each of many routers crashed a server with the same request. The row was then
// full, so a later trial wasn't recorded and trials continued: 123 servers
// crashed.
void tap.test('a trial counts after many crashes', async t => {
  const {suspects} = setUp();
  for (let at = 0; at < 40; at++) {
    suspects.addStrike(struckRequest('bad', `10.0.0.${at}`), `s${at}`, false);
  }
  suspects.applyQuarantineRules();
  t.equal(suspects.standingOf(digestsOf('bad')), 'suspected');
  suspects.addStrike(struckRequest('bad'), 's99', true);
  suspects.applyQuarantineRules();
  t.equal(suspects.standingOf(digestsOf('bad')), 'quarantined');
});
