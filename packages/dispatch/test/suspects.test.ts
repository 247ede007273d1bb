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

/** A request known by its digests; callers of `bad` have one each. */
function contents(
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

function struck(path: string, caller?: string, query?: string): StruckRequest {
  return {
    ...{contents: contents(path, caller, query), caller: caller ?? '10.0.0.9'},
    ...{service: 'desks', route: 'checks'},
  };
}

interface Fixture {
  readonly clock: ManualClock;
  readonly suspects: Suspects;
  readonly events: string[];
  /** Servers end under the content, one after the other; the last in a trial. */
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
        suspects.addStrike(struck(content), server, isTrial);
      });
      suspects.applyQuarantineRules();
    },
  };
}

void tap.test('quarantined at the third server, in a trial', async t => {
  const {suspects, crashServers: end, events} = setUp();
  t.equal(suspects.standingOf(contents('bad')), 'unknown');
  end('bad', 's1', 's2');
  t.equal(suspects.standingOf(contents('bad')), 'suspected');
  end('bad', 's3');
  t.equal(suspects.standingOf(contents('bad')), 'quarantined');
  t.same(
    events.filter(each => each === 'request-quarantined'),
    ['request-quarantined'],
    'for its one caller alone',
  );
});

void tap.test('one server strikes once, however often it is told', async t => {
  const {suspects, crashServers: end} = setUp();
  for (let time = 0; time < 5; time++) end('bad', 's1');
  t.equal(suspects.standingOf(contents('bad')), 'suspected');
});

// A seventh of all servers ends at once, and a read that many ask for was at
// all of them. It must not be refused for good: it was tried nowhere since.
void tap.test('servers that end together condemn nothing', async t => {
  const {suspects} = setUp();
  for (let at = 0; at < 57; at++) {
    suspects.addStrike(struck('busy'), `s${at}`, false);
  }
  suspects.applyQuarantineRules();
  t.equal(suspects.standingOf(contents('busy')), 'suspected');
  suspects.clearAnswered(contents('busy'));
  t.equal(suspects.standingOf(contents('busy')), 'unknown');
  t.ok(suspects.isEmpty());
});

void tap.test('what was beside the bad one is cleared with it', async t => {
  const {suspects, crashServers: end} = setUp();
  suspects.addStrike(struck('beside'), 's1', false);
  suspects.addStrike(struck('beside'), 's2', true);
  suspects.addStrike(struck('other'), 's9', false);
  end('bad', 's1', 's2', 's3');
  t.equal(
    suspects.standingOf(contents('beside')),
    'unknown',
    'those ends are explained',
  );
  t.equal(suspects.standingOf(contents('other')), 'suspected');
  end('beside', 's4');
  t.equal(
    suspects.standingOf(contents('beside')),
    'suspected',
    'one end of its own',
  );
});

// A router that was cut off with refusals took servers for ended that live.
void tap.test('a server that answers did not end', async t => {
  const {suspects, crashServers: end, clock} = setUp();
  end('bad', 's1', 's2');
  await clock.advance(10);
  suspects.noteAlive('s1', 1_000);
  end('bad', 's3');
  t.equal(
    suspects.standingOf(contents('bad')),
    'quarantined',
    'sent before the end',
  );

  const other = setUp();
  other.crashServers('read', 's1', 's2');
  await other.clock.advance(10);
  other.suspects.noteAlive('s1', 1_005);
  other.suspects.noteAlive('s2', 1_005);
  t.equal(other.suspects.standingOf(contents('read')), 'unknown');
  other.crashServers('read', 's3');
  t.equal(other.suspects.standingOf(contents('read')), 'suspected');
});

void tap.test(
  'an operator clears it, which goes before older news',
  async t => {
    const {suspects, crashServers: end} = setUp();
    end('bad', 's1', 's2', 's3');
    const before = suspects.rows();
    t.notOk(suspects.clear('other any', 'ayesha', 'mended'), 'not quarantined');
    t.ok(suspects.clear(contents('bad').exact, 'ayesha', 'mended'));
    t.equal(suspects.standingOf(contents('bad')), 'unknown');
    suspects.merge(before);
    t.equal(suspects.standingOf(contents('bad')), 'unknown');
    t.match(suspects.get(contents('bad').exact)!.cleared, {
      by: 'ayesha',
      reason: 'mended',
    });
    end('bad', 's4', 's5', 's6');
    t.equal(
      suspects.standingOf(contents('bad')),
      'quarantined',
      'it ends servers again',
    );
  },
);

// A caller whose requests are lost in numbers must not make routers forget
// what ends servers for another.
void tap.test('a caller pushes out its own rows only', async t => {
  const {suspects, crashServers: end} = setUp();
  end('bad', 's1', 's2');
  for (let at = 0; at < 1_500; at++) {
    suspects.addStrike(struck(`c${at}`, '10.0.0.66'), `t${at}`, false);
  }
  t.ok(suspects.rows().length <= 1_000, `${suspects.rows().length} rows`);
  t.equal(suspects.standingOf(contents('bad')), 'suspected');
  t.equal(suspects.standingOf(contents('c1499', '10.0.0.66')), 'suspected');
  t.equal(suspects.standingOf(contents('c0', '10.0.0.66')), 'unknown');
});

void tap.test('what is only suspected is forgotten in time', async t => {
  const {suspects, crashServers: end, clock} = setUp();
  end('beside', 's1');
  end('bad', 's1', 's2', 's3');
  await clock.advance(700_000);
  end('later', 's9');
  t.equal(suspects.get(contents('beside').exact), undefined);
  t.equal(suspects.standingOf(contents('bad')), 'quarantined');
  const before = suspects.rows();
  suspects.clear(contents('bad').exact, 'ayesha', 'mended');
  await clock.advance(3_600_000);
  end('last', 's10');
  suspects.merge(before);
  t.equal(suspects.standingOf(contents('bad')), 'unknown', 'by one cut off');
});

/** What one router sees, in any order. */
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
    if (step[0] === 'answer') suspects.clearAnswered(contents(step[1]));
    else {
      const [, content, server, isTrial] = step;
      suspects.addStrike(struck(content), server, isTrial);
    }
  }
  return suspects;
}

function statesOf(suspects: Suspects): readonly unknown[] {
  return ['a', 'b', 'c'].map(content => {
    const row = suspects.get(contents(content).exact);
    const servers = row?.strikes.map(({server}) => server).sort();
    return [suspects.standingOf(contents(content)), row?.round, servers];
  });
}

// Leaders come and go, and each router's rows reach the others in any order:
// all must end up believing the same.
void tap.test('rows merge to the same in any order', async t => {
  const seen = fc.array(fc.array(STEP, {maxLength: 8}), {
    minLength: 2,
    maxLength: 4,
  });
  fc.assert(
    fc.property(seen, routers => {
      const told = routers.map(steps => applySteps(steps).rows());
      const [one, other] = [setUp().suspects, setUp().suspects];
      for (const rows of told) one.merge(rows);
      for (const rows of [...told, ...told].reverse()) other.merge(rows);
      one.applyQuarantineRules();
      other.applyQuarantineRules();
      t.same(statesOf(one), statesOf(other));
    }),
    {seed: SEED, numRuns: 300},
  );
});

// One request came from callers of all data centres, each with an address of
// its own. Told apart by these, each ended servers anew: 25 and 27 in all.
void tap.test('one request of many callers is one', async t => {
  const {suspects} = setUp();
  for (const [at, caller] of ['10.0.0.1', '10.0.0.2', '10.0.0.3'].entries()) {
    t.not(suspects.standingOf(contents('bad', caller)), 'quarantined');
    suspects.addStrike(struck('bad', caller), `s${at}`, at > 0);
    suspects.applyQuarantineRules();
  }
  t.equal(suspects.standingOf(contents('bad', '10.0.0.4')), 'quarantined');
  t.not(
    suspects.standingOf(contents('bad', '10.0.0.4', '?p=2')),
    'quarantined',
  );
});

void tap.test('one request with changing queries is one', async t => {
  const {suspects} = setUp();
  for (const [at, query] of ['?p=1', '?p=2', '?p=3'].entries()) {
    suspects.addStrike(struck('bad', undefined, query), `s${at}`, at > 0);
    suspects.applyQuarantineRules();
  }
  const next = contents('bad', undefined, '?p=4');
  t.equal(suspects.standingOf(next), 'quarantined');
  t.ok(suspects.clear('bad', 'ayesha', 'mended'));
  t.equal(suspects.standingOf(next), 'unknown');
});

// What one caller's request does to servers is no reason to refuse the same
// path to others, unless it does so there as well.
void tap.test('the same path from others is tried, and goes on', async t => {
  const {suspects, crashServers: end} = setUp();
  end('bad', 's1', 's2', 's3');
  const other = contents('bad', '10.0.0.7');
  t.equal(suspects.standingOf(contents('bad')), 'quarantined');
  t.equal(suspects.standingOf(other), 'suspected');
  suspects.clearAnswered(other);
  t.equal(suspects.standingOf(other), 'unknown');
  t.equal(suspects.standingOf(contents('bad')), 'quarantined');
});

// Each of many routers ended a server with it while nobody led. The row was
// full, the trial after that left no trace, and it was tried for good: 123
// servers ended.
void tap.test('a trial counts after many ends', async t => {
  const {suspects} = setUp();
  for (let at = 0; at < 40; at++) {
    suspects.addStrike(struck('bad', `10.0.0.${at}`), `s${at}`, false);
  }
  suspects.applyQuarantineRules();
  t.equal(suspects.standingOf(contents('bad')), 'suspected');
  suspects.addStrike(struck('bad'), 's99', true);
  suspects.applyQuarantineRules();
  t.equal(suspects.standingOf(contents('bad')), 'quarantined');
});
