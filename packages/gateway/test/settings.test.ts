import tap from 'tap';
import {
  DEFAULT_SCHEDULING,
  parseDuration,
  parseSettings,
} from '@banyandrum/gateway/settings.js';

const VALID = `
[host]
name = "entry-1"
data_centre = "a"
[listen]
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
peers = "10.0.0.1:82"
metrics = "10.0.0.1:83"
[platform]
address = "10.9.0.1:90"
[stop]
grace = "6s"
[retries]
ratio = 0.2
slack = 58
`;

/** Text in `VALID`, its invalid replacement, and the expected message. */
const INVALID: readonly (readonly [string, string, RegExp])[] = [
  ['callers = "10.0.0.1:80"', 'callers = "entry:80"', /listen\.callers/],
  ['name = "entry-1"', '', /host\.name/],
  ['grace = "6s"', 'grace = "soon"', /stop\.grace/],
  ['ratio = 0.2', 'ratio = -1', /retries\.ratio/],
  ['ratio = 0.2', 'ratio = inf', /retries\.ratio/],
  ['ratio = 0.2', 'ratio = nan', /retries\.ratio/],
  ['slack = 58', 'slack = "58"', /retries\.slack/],
  ['slack = 58', 'window = "0s"', /retries\.window/],
  ['slack = 58', 'window = 10', /retries\.window/],
  ['ratio = 0.2', 'ratio = 0.2\n[logging]\nlevel = "loud"', /logging\.level/],
  ['ratio = 0.2', 'ratio = 0.2\n[servers]\nhold_max = 4', /hold_max/],
  [
    'ratio = 0.2',
    'ratio = 0.2\n[configuration]\napply_within = "0s"',
    /configuration\.apply_within/,
  ],
  [
    'ratio = 0.2',
    'ratio = 0.2\n[operators]\ntokens = [{operator = "a", role = "root"}]',
    /operators\.tokens\[0\]\.role/,
  ],
  [
    'ratio = 0.2',
    'ratio = 0.2\n[scheduling]\nqueue = "random"',
    /scheduling\.queue: matches none of by_slack, fair/,
  ],
  [
    'ratio = 0.2',
    'ratio = 0.2\n[answers]\nmax_mib = 0',
    /answers\.max_mib: must be more than 0/,
  ],
  [
    'ratio = 0.2',
    'ratio = 0.2\n[answers]\nmax_mib = 9\ntotal_mib = 8',
    /answers\.max_mib: must not exceed total_mib/,
  ],
  ['[host]', '[host', /./],
];

void tap.test('settings are read', async t => {
  const settings = parseSettings(VALID);
  t.equal(settings.stop.graceMs, 6_000);
  t.equal(settings.listen.peers, '10.0.0.1:82');
  t.equal(settings.logging.level, 'info');
  t.equal(settings.retries.windowMs, 10_000);
  t.equal(settings.configuration.applyWithinMs, 2_000);
  t.same(settings.scheduling, DEFAULT_SCHEDULING);
  const {scheduling} = parseSettings(`${VALID}[scheduling]\nqueue = "fair"`);
  t.same(scheduling, {...DEFAULT_SCHEDULING, queue: 'fair'});
  const applyWithin = '[configuration]\napply_within = "2500ms"';
  const {configuration} = parseSettings(`${VALID}${applyWithin}`);
  t.equal(configuration.applyWithinMs, 2_500);
});

for (const [valid, invalid, message] of INVALID) {
  void tap.test(`refused: ${invalid || 'no name'}`, async t => {
    t.throws(() => parseSettings(VALID.replace(valid, invalid)), {message});
  });
}

void tap.test('durations need a unit', async t => {
  t.equal(parseDuration('x', '1500ms'), 1_500);
  t.equal(parseDuration('x', '2.5s'), 2_500);
  t.throws(() => parseDuration('x', '5'));
});

// Guards against limits that don't fit into the memory of a small host.
void tap.test('limits of answers follow from the host’s memory', async t => {
  const withMemory = (mb: number): string =>
    VALID.replace('[listen]', `memory_mb = ${mb}\n[listen]`);
  const small = parseSettings(withMemory(100)).answers;
  t.ok(small.totalBytes <= 25e6 && small.maxBytes <= 6.25e6);
  const large = parseSettings(withMemory(4_000)).answers;
  t.equal(large.maxBytes, 16 * 1024 ** 2);
});
