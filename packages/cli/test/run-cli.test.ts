import {readFile} from 'node:fs/promises';
import tap from 'tap';
import type {Test} from 'tap';
import {createClock} from '@banyandrum/base/clock.js';
import {Ok} from '@banyandrum/base/result.js';
import type {CliIo} from '@banyandrum/cli/cli.js';
import {runCli} from '@banyandrum/cli/run-cli.js';
import type {OperatorActions} from '@banyandrum/operators/actions.js';
import {createOperatorsClient} from '@banyandrum/operators/client.js';
import type {WatchEvent} from '@banyandrum/operators/messages.js';
import {
  PUBLISHER_TOKEN,
  VIEWER_TOKEN,
  failing,
  startOperators,
} from '../../operators/test/fixture.js';
import type {Fixture} from '../../operators/test/fixture.js';

const INVENTORY = 'examples/board/inventory.toml';
const RULES = 'examples/board/rules.toml';
const FILES = ['--inventory', INVENTORY, '--rules', RULES];
const PUBLISH = ['publish', ...FILES, '--based-on', '3', '--reason', 'night'];

interface Ended {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs a command line against a router's interface, or against none. */
async function run(
  argv: readonly string[],
  operators?: Fixture,
  io: Partial<CliIo> = {},
): Promise<Ended> {
  let out = '';
  let err = '';
  const address = operators?.origin.slice('http://'.length);
  const code = await runCli(argv, {
    out: text => (out += text),
    err: text => (err += text),
    env: {
      BANYANDRUM_OPERATORS: address,
      BANYANDRUM_TOKEN: PUBLISHER_TOKEN,
    },
    signal: new AbortController().signal,
    clock: createClock(),
    readFile: path => readFile(path),
    connect: (to, token) => createOperatorsClient({address: to, token}),
    fetch,
    ...io,
  });
  return {code, out, err};
}

async function start(
  t: Test,
  overrides: Partial<OperatorActions> = {},
): Promise<Fixture> {
  const operators = await startOperators(overrides);
  t.teardown(operators.close);
  return operators;
}

void tap.test('command lines and files with a fault', async t => {
  const bad = {readFile: async () => Buffer.from('[[places]]\nname = 3\n')};
  const cases: readonly {
    readonly argv: readonly string[];
    readonly err: string;
    readonly io?: Partial<CliIo>;
  }[] = [
    {argv: [], err: 'banyandrum: no command; see banyandrum --help'},
    {argv: ['toString'], err: 'banyandrum: unknown command toString; see'},
    {argv: ['show', '--jsn'], err: 'banyandrum show: unknown option --jsn'},
    {argv: ['show', 'all'], err: 'banyandrum show: unexpected argument all'},
    {argv: ['drain', 's'], err: 'Missing required argument: --reason'},
    {argv: ['drain', 's', '--reason'], err: '--reason needs a value'},
    {argv: ['explain', 'holds'], err: 'required positional argument: KEY'},
    {argv: ['log-level', 'loud'], err: 'LEVEL: expected one of debug, info'},
    {argv: ['history', '--limit', '0'], err: '--limit: expected 1 to 1000'},
    {argv: ['show'], err: 'give --operators or set BANYANDRUM_OPERATORS'},
    {argv: ['quarantine'], err: 'give --router or set BANYANDRUM_ROUTER'},
    {argv: ['readmit', 'c'], err: 'Missing required argument: --reason'},
    {
      argv: ['quarantine', '--router', 'entry:1', '--token', 't'],
      err: '--router: expected IP:PORT, found "entry:1"',
    },
    {
      argv: ['show', '--operators', 'entry-1:80'],
      err: '--operators: expected IP:PORT, found "entry-1:80"',
    },
    {
      argv: [...PUBLISH, '--based-on', '-1'],
      err: '--based-on: expected a version, found "-1"',
    },
    {argv: ['check', 'no-such.toml'], err: 'no-such.toml: cannot be read: '},
    {
      argv: ['check', 'i.toml'],
      err: 'check: i.toml: places[0].name (line 2): expected a name of',
      io: bad,
    },
    {
      argv: PUBLISH,
      err: `publish: ${INVENTORY}: places[0].name (line 2): expected a name`,
      io: bad,
    },
    {
      argv: ['check', INVENTORY, 'examples/co-operative/rules.toml'],
      err: 'rules.toml: operations: expected services of the inventory only',
    },
  ];
  for (const {argv, err, io} of cases) {
    const ended = await run(argv, undefined, io);
    t.equal(ended.code, 2, argv.join(' '));
    t.equal(ended.out, '');
    t.ok(ended.err.split('\n')[0]?.includes(err), ended.err);
  }
});

void tap.test('help and version', async t => {
  const help = await run(['--help']);
  t.match(help, {code: 0, err: '', out: /attest-lost.*\n(.|\n)*Exit codes: 0/});
  const publish = await run(['publish', '--help']);
  t.match(publish, {code: 0, out: /--based-on/});
  t.match(await run(['--version']), {code: 0, out: /^\d+\.\d+\.\d+\n$/});
});

void tap.test('check says what each file is', async t => {
  const settings = 'examples/board/settings.toml';
  const ended = await run(['check', INVENTORY, RULES, settings]);
  t.strictSame(ended, {
    code: 0,
    out: `${INVENTORY}: inventory ok\n${RULES}: rules ok\n${settings}: settings ok\n`,
    err:
      'warning: service rounds: deadlines up to 600000 ms, but a request may ' +
      'run for less than timing.lease_ms (2000) at servers without ' +
      'checks_fences\n',
  });
});

void tap.test('commands reach their action', async t => {
  const operators = await start(t);
  const cases: readonly (readonly [readonly string[], RegExp])[] = [
    [PUBLISH, /^version 4, change [0-9a-f]{16}\n$/],
    [[...PUBLISH, '--change-id', 'c-7', '--json'], /"changeId":"c-7"/],
    [['show'], /^version +3\n/],
    [['show', '--json'], /^\{"version":3,.*\}\n$/],
    [['history'], /4 +2025-01-01T00:00:00Z +paul +publication +accepted/],
    [['history', '--change-id', 'c-1'], /two more servers +c-1\n$/],
    [['status'], /asked entry-1/],
    [['drain', 's-1', '--reason', 'x'], /^s-1 is drained, change/],
    [['drain', 's-1', '--off', '--reason', 'x'], /^s-1 is in use again/],
    [['attest-lost', 'entry-3', '--reason', 'burnt'], /^entry-3 counts as/],
    [['explain', 'holds', 'ward/7'], /^cell +holds/],
    [['log-level', 'debug'], /^log level debug\n$/],
    [['diff', ...FILES], /^against version 0\n(.|\n)*\+ server holds-8: /],
  ];
  for (const [argv, out] of cases) {
    const ended = await run(argv, operators);
    t.match(ended, {code: 0, out, err: ''}, argv.join(' '));
  }
  const published = operators.seen.find(({action}) => action === 'publish');
  t.match(published?.args[0], {
    basedOn: 3,
    reason: 'night',
    inventoryToml: await readFile(INVENTORY, 'utf8'),
    rulesToml: await readFile(RULES, 'utf8'),
  });
  t.match(
    operators.seen.filter(({action}) => action === 'drain'),
    [{args: [{draining: true}]}, {args: [{draining: false}]}],
  );
});

void tap.test('outcomes and exit codes', async t => {
  const cases: readonly {
    readonly publish: OperatorActions['publish'];
    readonly code: number;
    readonly err: string;
  }[] = [
    {
      publish: failing({kind: 'conflict', detail: 'in force is 9'}),
      code: 1,
      err: 'banyandrum publish: conflict: in force is 9\n',
    },
    {
      publish: failing({kind: 'invalid', detail: 'bad', problems: ['a', 'b']}),
      code: 1,
      err:
        'banyandrum publish: invalid: bad\nbanyandrum publish: a\n' +
        'banyandrum publish: b\n',
    },
    {
      publish: failing({kind: 'unavailable', detail: 'no log'}),
      code: 3,
      err: 'banyandrum publish: unavailable: no log\n',
    },
    {
      publish: failing({kind: 'unknown', detail: 'the log is silent'}),
      code: 4,
      err:
        'banyandrum publish: may have been accepted: the log is silent; ' +
        'ask with "history --change-id c-7", or repeat it with ' +
        '"--change-id c-7"\n',
    },
    {
      publish: failing({kind: 'conflict', detail: 'a\u001b[2Jb\nc'}),
      code: 1,
      err: 'banyandrum publish: conflict: a?[2Jb?c\n',
    },
  ];
  for (const {publish, code, err} of cases) {
    const operators = await start(t, {publish});
    const ended = await run([...PUBLISH, '--change-id', 'c-7'], operators);
    t.strictSame(ended, {code, out: '', err});
  }
});

void tap.test('history shows bytes that are no record', async t => {
  const entry = {
    offset: 9,
    kind: 'unreadable',
    changeId: '',
    author: '',
    reason: '',
    at: '',
    outcome: 'invalid',
    detail: 'no envelope of a record',
  } as const;
  const operators = await start(t, {
    history: async () => Ok({entries: [entry]}),
  });
  t.match(await run(['history'], operators), {
    code: 0,
    out: /9 .*unreadable +invalid: no envelope of a record/,
  });
});

void tap.test('access is refused', async t => {
  const operators = await start(t);
  const as = (token: string): readonly string[] => [
    'drain',
    's-1',
    '--reason',
    'x',
    '--token',
    token,
  ];
  t.match(await run(as('nobody'), operators), {code: 1, err: /unauthorised/});
  t.match(await run(as(VIEWER_TOKEN), operators), {code: 1, err: /forbidden/});
  t.notOk(operators.seen.some(({action}) => action === 'drain'));
});

void tap.test('no router at the address', async t => {
  const operators = await startOperators();
  await operators.close();
  const ended = await run(['show'], operators);
  t.match(ended, {code: 3, out: '', err: /^banyandrum show: unavailable: /});
  t.match(await run(PUBLISH, operators), {code: 3, err: /unavailable/});
});

void tap.test('watch prints events until it is stopped', async t => {
  // The stream of events breaks off after the first one, as it does when the
  // router is restarted. The operator goes on seeing changes: the command
  // says so on the standard error and opens it again.
  const event: WatchEvent = {
    kind: 'publication',
    at: '2026-01-01T00:00:00Z',
    offset: 17,
    version: 17,
    detail: 'night-desk: a bed more',
  };
  const stopping = new AbortController();
  let opened = 0;
  const ended = await run(['watch'], undefined, {
    env: {BANYANDRUM_OPERATORS: '127.0.0.1:9', BANYANDRUM_TOKEN: 'x'},
    signal: stopping.signal,
    clock: {now: () => 0, after: (_ms, task) => (setImmediate(task), () => {})},
    connect: (address, token) => ({
      ...createOperatorsClient({address, token}),
      state: async () =>
        Ok({
          version: 17,
          publication: null,
          next: 18,
          confirmedAgeMs: 1,
          drains: [],
        }),
      async *watch() {
        opened++;
        yield event;
        if (opened === 1) throw new Error('stream broke off');
        stopping.abort();
      },
    }),
  });
  const line =
    '2026-01-01T00:00:00Z publication version 17 offset 17 ' +
    'night-desk: a bed more\n';
  t.strictSame(ended, {
    code: 0,
    out: line + line,
    err: 'banyandrum watch: stream broke off; opening it again\n',
  });
});
