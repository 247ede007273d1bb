import tap from 'tap';
import {formatProblem, inFile} from '@banyandrum/config/problem.js';
import {parseSettings} from '@banyandrum/config/settings.js';

const SHA256 = 'a'.repeat(64);

const SETTINGS = `[router]
host = "entry-1"
place = "vadaj"
data_centre = "amd-3"
[callers]
listen = "0.0.0.0:8080"
[operators]
listen = "127.0.0.1:8081"
[[operators.tokens]]
operator = "night-desk"
role = "publisher"
sha256 = "${SHA256}"
[peers]
listen = "0.0.0.0:8082"
advertise = "10.0.0.1:8082"
[log]
address = "10.0.9.1:9000"
[host_list]
address = "10.0.9.1:9001"
`;

void tap.test('settings with their defaults', async t => {
  t.strictSame(parseSettings(SETTINGS).val, {
    router: {host: 'entry-1', place: 'vadaj', dataCentre: 'amd-3'},
    callers: {listen: '0.0.0.0:8080'},
    operators: {
      listen: '127.0.0.1:8081',
      openMetrics: false,
      tokens: [{operator: 'night-desk', role: 'publisher', sha256: SHA256}],
    },
    peers: {listen: '0.0.0.0:8082', advertise: '10.0.0.1:8082'},
    log: {
      address: '10.0.9.1:9000',
      stream: 'banyandrum',
      timeoutMs: 1_000,
      retentionMs: 3_600_000,
    },
    hostList: {address: '10.0.9.1:9001', pollMs: 1_000},
    logging: {level: 'info'},
  });
});

void tap.test('the environment goes before the file', async t => {
  const env = {
    BANYANDRUM_CALLERS_LISTEN: '127.0.0.1:0',
    BANYANDRUM_PEERS_LISTEN: '',
  };
  const settings = parseSettings(SETTINGS, env).unwrap();
  t.equal(settings.callers.listen, '127.0.0.1:0');
  t.equal(settings.peers.listen, '0.0.0.0:8082');
});

void tap.test('settings with a fault', async t => {
  const cases: readonly {
    readonly from: string;
    readonly to: string;
    readonly env?: Readonly<Record<string, string>>;
    readonly line: string;
  }[] = [
    {
      from: '10.0.9.1:9000',
      to: 'log.example:9000',
      line:
        's.toml: log.address (line 17): expected an address by IP number, ' +
        'such as "10.0.0.1:8080", found "log.example:9000"',
    },
    {
      from: 'data_centre = "amd-3"',
      to: '',
      line:
        's.toml: router.data_centre (line 1): expected a name of letters, ' +
        'digits, ".", "_" and "-", starting with a letter or digit, ' +
        '1 to 64 characters, found nothing',
    },
    {
      from: 'role = "publisher"',
      to: 'role = "root"',
      line:
        's.toml: operators.tokens[0].role (line 11): expected ' +
        'one of viewer, publisher, found "root"',
    },
    {
      from: 'advertise = "10.0.0.1:8082"',
      to: '',
      line:
        's.toml: peers.advertise (line 13): expected the address that other ' +
        'routers reach this one at, found nothing',
    },
    {
      from: 'listen = "127.0.0.1:8081"',
      to: 'listen = "0.0.0.0:8080"',
      line:
        's.toml: operators.listen (line 8): expected another address than ' +
        'callers.listen, found "0.0.0.0:8080"',
    },
    {
      from: '',
      to: '',
      env: {BANYANDRUM_PEERS_LISTEN: 'here'},
      line:
        's.toml: BANYANDRUM_PEERS_LISTEN: expected an address to listen at ' +
        'by IP number, such as "0.0.0.0:8080", found "here"',
    },
    {
      from: '[callers]',
      to: 'callers = 1\n[caller]',
      env: {BANYANDRUM_CALLERS_LISTEN: '127.0.0.1:1'},
      line:
        's.toml: router.callers (line 5): expected only the keys host, ' +
        'place, data_centre, found an unknown key',
    },
  ];
  for (const {from, to, env = {}, line} of cases) {
    const result = parseSettings(SETTINGS.replace(from, to), env);
    const problems = result.err ? inFile('s.toml', result.val) : [];
    t.ok(problems.map(formatProblem).includes(line), line);
  }
});
