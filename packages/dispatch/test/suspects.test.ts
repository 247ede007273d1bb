import tap from 'tap';
import fc from 'fast-check';
import {
  createSuspects,
  type About,
  type Suspects,
} from '@banyandrum/dispatch/suspects.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

const SEED = 20_261_203;

function about(content: string, caller = '10.0.0.9'): About {
  return {content, caller, service: 'desks', route: 'checks'};
}

interface Scene {
  readonly clock: ManualClock;
  readonly suspects: Suspects;
  readonly events: string[];
  /** Servers end under the content, one after the other; the last in a trial. */
  end(content: string, ...servers: readonly string[]): void;
}

function scene(): Scene {
  const clock = createManualClock(1_000);
  const events: string[] = [];
  const emit = (event: string): void => void events.push(event);
  const suspects = createSuspects(clock, emit, () => 1_796_000_000_000);
  return {
    ...{clock, suspects, events},
    end(content, ...servers) {
      servers.forEach((server, at) => {
        const isTrial = at === servers.length - 1;
        suspects.strike(about(content), {server, isTrial});
      });
      suspects.judge();
    },
  };
}

void tap.test('quarantined at the third server, in a trial', async t => {
  const {suspects, end, events} = scene();
  t.equal(suspects.standingOf('bad'), 'unknown');
  end('bad', 's1', 's2');
  t.equal(suspects.standingOf('bad'), 'suspected');
  end('bad', 's3');
  t.equal(suspects.standingOf('bad'), 'quarantined');
  t.equal(events.filter(each => each === 'request-quarantined').length, 1);
});

void tap.test('one server strikes once, however often it is told', async t => {
  const {suspects, end} = scene();
  for (let time = 0; time < 5; time++) end('bad', 's1');
  t.equal(suspects.standingOf('bad'), 'suspected');
});

// A seventh of all servers ends at once, and a read that many ask for was at
// all of them. It must not be refused for good: it was tried nowhere since.
void tap.test('servers that end together condemn nothing', async t => {
  const {suspects} = scene();
  for (let at = 0; at < 57; at++) {
    suspects.strike(about('busy'), {server: `s${at}`, isTrial: false});
  }
  suspects.judge();
  t.equal(suspects.standingOf('busy'), 'suspected');
  suspects.clearAnswered('busy');
  t.equal(suspects.standingOf('busy'), 'unknown');
  t.ok(suspects.isEmpty());
});

void tap.test('what was beside the bad one is cleared with it', async t => {
  const {suspects, end} = scene();
  suspects.strike(about('beside'), {server: 's1', isTrial: false});
  suspects.strike(about('beside'), {server: 's2', isTrial: true});
  suspects.strike(about('other'), {server: 's9', isTrial: false});
  end('bad', 's1', 's2', 's3');
  t.equal(suspects.standingOf('beside'), 'unknown', 'those ends are explained');
  t.equal(suspects.standingOf('other'), 'suspected');
  end('beside', 's4');
  t.equal(suspects.standingOf('beside'), 'suspected', 'one end of its own');
});

// A router that was cut off with refusals took servers for ended that live.
void tap.test('a server that answers did not end', async t => {
  const {suspects, end, clock} = scene();
  end('bad', 's1', 's2');
  await clock.advance(10);
  suspects.noteAlive('s1', 1_000);
  end('bad', 's3');
  t.equal(suspects.standingOf('bad'), 'quarantined', 'sent before the end');

  const other = scene();
  other.end('read', 's1', 's2');
  await other.clock.advance(10);
  other.suspects.noteAlive('s1', 1_005);
  other.suspects.noteAlive('s2', 1_005);
  t.equal(other.suspects.standingOf('read'), 'unknown');
  other.end('read', 's3');
  t.equal(other.suspects.standingOf('read'), 'suspected');
});

void tap.test(
  'an operator clears it, which goes before older news',
  async t => {
    const {suspects, end} = scene();
    end('bad', 's1', 's2', 's3');
    const before = suspects.rows();
    t.notOk(suspects.clear('other', 'ayesha', 'mended'), 'not quarantined');
    t.ok(suspects.clear('bad', 'ayesha', 'mended'));
    t.equal(suspects.standingOf('bad'), 'unknown');
    suspects.merge(before);
    t.equal(suspects.standingOf('bad'), 'unknown');
    t.match(suspects.get('bad')!.cleared, {by: 'ayesha', reason: 'mended'});
    end('bad', 's4', 's5', 's6');
    t.equal(suspects.standingOf('bad'), 'quarantined', 'it ends servers again');
  },
);

// A caller whose requests are lost in numbers must not make routers forget
// what ends servers for another.
void tap.test('a caller pushes out its own rows only', async t => {
  const {suspects, end} = scene();
  end('bad', 's1', 's2');
  for (let at = 0; at < 1_500; at++) {
    const content = `c${at}`;
    suspects.merge([
      {
        ...about(content, '10.0.0.66'),
        ...{round: 0, isQuarantined: false, cleared: null},
        strikes: [{server: `t${at}`, isTrial: false}],
      },
    ]);
  }
  t.ok(suspects.rows().length <= 1_000, `${suspects.rows().length} rows`);
  t.equal(suspects.standingOf('bad'), 'suspected');
  t.equal(suspects.standingOf('c1499'), 'suspected');
  t.equal(suspects.standingOf('c0'), 'unknown');
});

void tap.test('what is only suspected is forgotten in time', async t => {
  const {suspects, end, clock} = scene();
  end('beside', 's1');
  end('bad', 's1', 's2', 's3');
  await clock.advance(700_000);
  end('later', 's9');
  t.equal(suspects.get('beside'), undefined);
  t.equal(suspects.standingOf('bad'), 'quarantined');
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

function play(steps: readonly Step[]): Suspects {
  const {suspects} = scene();
  for (const step of steps) {
    if (step[0] === 'answer') suspects.clearAnswered(step[1]);
    else {
      const [, content, server, isTrial] = step;
      suspects.strike(about(content), {server, isTrial});
    }
  }
  return suspects;
}

function standings(suspects: Suspects): readonly unknown[] {
  return ['a', 'b', 'c'].map(content => {
    const row = suspects.get(content);
    const servers = row?.strikes.map(({server}) => server).sort();
    return [suspects.standingOf(content), row?.round, servers];
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
      const told = routers.map(steps => play(steps).rows());
      const [one, other] = [scene().suspects, scene().suspects];
      for (const rows of told) one.merge(rows);
      for (const rows of [...told, ...told].reverse()) other.merge(rows);
      one.judge();
      other.judge();
      t.same(standings(one), standings(other));
    }),
    {seed: SEED, numRuns: 300},
  );
});
