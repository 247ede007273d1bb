import tap from 'tap';
import {checkPublication} from '@banyandrum/config/check-publication.js';
import {matchOperation} from '@banyandrum/config/match-operation.js';
import {parseInventory} from '@banyandrum/config/parse-inventory.js';
import {DEFAULT_RULES} from '@banyandrum/config/default-rules.js';
import {parseRules} from '@banyandrum/config/parse-rules.js';
import {formatProblem} from '@banyandrum/config/problem.js';
import type {Problem} from '@banyandrum/config/problem.js';
import {MAX_FILE_BYTES} from '@banyandrum/config/read-toml.js';

const INVENTORY = `
[[places]]
name = "vadaj"
data_centre = "amd-1"

[[services]]
name = "holds"
shards = 64
cells = 2
checks_fences = true

[[servers]]
name = "holds-1"
service = "holds"
place = "vadaj"
address = "127.0.0.1:9001"
slots = 4
connections = 55
`;

interface BadFile {
  readonly name: string;
  readonly input: string | Uint8Array;
  readonly problem: string;
}

const BAD_INVENTORIES: readonly BadFile[] = [
  {
    name: 'unknown key',
    input: `${INVENTORY}weight = 3`,
    problem:
      'servers[0].weight: expected only the keys name, service, place, ' +
      'address, slots, connections, found an unknown key',
  },
  {
    name: 'unknown table',
    input: `${INVENTORY}\n[[server]]\nname = "x"`,
    problem:
      'server: expected only the keys places, services, servers, ' +
      'found an unknown key',
  },
  {
    name: 'wrong type',
    input: INVENTORY.replace('slots = 4', 'slots = "4"'),
    problem:
      'servers[0].slots: expected a whole number from 1 to 10000, found "4"',
  },
  {
    name: 'missing key',
    input: INVENTORY.replace('slots = 4', ''),
    problem:
      'servers[0].slots: expected a whole number from 1 to 10000, ' +
      'found nothing',
  },
  {
    name: 'port out of range',
    input: INVENTORY.replace('9001', '90010'),
    problem:
      'servers[0].address: expected an address by IP number, ' +
      'such as "10.0.0.1:8080", found "127.0.0.1:90010"',
  },
  {
    name: 'host name for an address',
    input: INVENTORY.replace('127.0.0.1', 'localhost'),
    problem:
      'servers[0].address: expected an address by IP number, ' +
      'such as "10.0.0.1:8080", found "localhost:9001"',
  },
  {
    name: 'unknown service',
    input: INVENTORY.replace('service = "holds"', 'service = "hold"'),
    problem: 'servers[0].service: expected a service listed, found "hold"',
  },
  {
    name: 'unknown place',
    input: INVENTORY.replace('place = "vadaj"', 'place = "naroda"'),
    problem: 'servers[0].place: expected a place listed, found "naroda"',
  },
  {
    name: 'server listed twice',
    input: INVENTORY + INVENTORY.slice(INVENTORY.indexOf('[[servers]]')),
    problem:
      'servers[1].name: expected a name other than that of servers[0], ' +
      'found "holds-1"',
  },
  {
    name: 'fewer connections than slots',
    input: INVENTORY.replace('connections = 55', 'connections = 3'),
    problem:
      'servers[0].connections: expected at least as many as slots (4), found 3',
  },
  {
    name: 'more cells than shards',
    input: INVENTORY.replace('cells = 2', 'cells = 65'),
    problem:
      'services[0].cells: expected no more cells than shards (64), found 65',
  },
  {
    name: 'empty file',
    input: '',
    problem: 'places: expected a list, found nothing',
  },
  {
    name: 'no TOML',
    input: '[[places]\nname = 1',
    problem: 'line 1, column 10: expected TOML text, found ',
  },
  {
    name: 'key given twice',
    input: 'places = []\nplaces = []',
    problem: 'line 2, column 1: expected TOML text, found ',
  },
  {
    name: 'prototype key',
    input: `${INVENTORY}"__proto__" = {slots = 1}`,
    problem: 'servers[0].__proto__: expected only the keys ',
  },
  {
    name: 'other bytes than UTF-8',
    input: Uint8Array.of(0xff, 0xfe, 0x00, 0x80),
    problem: 'the file: expected TOML text in UTF-8, found other bytes',
  },
  {
    name: 'zero bytes',
    input: new Uint8Array(64),
    problem: 'line 1, column 1: expected TOML text, found ',
  },
  {
    name: 'oversize',
    input: `#${'x'.repeat(MAX_FILE_BYTES)}`,
    problem: 'the file: expected at most 524288 bytes, found 524289 bytes',
  },
  {
    name: 'deep nesting',
    input: `places = ${'['.repeat(5_000)}${']'.repeat(5_000)}`,
    problem: 'line 1, column 26: expected TOML text, found document contains',
  },
];

/** The problems without their lines, which a test of its own looks at. */
function formatAll(problems: readonly Problem[]): readonly string[] {
  return problems.map(one => formatProblem(one).replace(/ \(line \d+\)/, ''));
}

void tap.test('inventory with a fault', async t => {
  for (const {name, input, problem} of BAD_INVENTORIES) {
    const result = parseInventory(input);
    const lines = result.err ? formatAll(result.val) : [];
    const hit = lines.some(line => line.startsWith(problem));
    t.ok(hit, `${name}: ${lines.join('; ')}`);
    t.notMatch(lines.join(''), /\n/, `${name} fits on one line`);
  }
});

void tap.test('inventory as it should be', async t => {
  const result = parseInventory(Buffer.from(INVENTORY));
  t.strictSame(result.val, {
    places: [{name: 'vadaj', dataCentre: 'amd-1'}],
    services: [{name: 'holds', shards: 64, cells: 2, checksFences: true}],
    servers: [
      {
        name: 'holds-1',
        service: 'holds',
        place: 'vadaj',
        address: '127.0.0.1:9001',
        slots: 4,
        connections: 55,
      },
    ],
  });
});

const LEVELS =
  '[[precedence]]\nname = "first"\n[[precedence]]\nname = "last"\n';

const BAD_RULES: readonly BadFile[] = [
  {
    name: 'unknown level',
    input: `${LEVELS}[[operations]]\nservice = "a"\nprecedence = "top"`,
    problem:
      'operations[0].precedence: expected one of first, last, found "top"',
  },
  {
    name: 'level named twice',
    input: LEVELS + LEVELS,
    problem: 'precedence[2].name: expected a name other than those of the ',
  },
  {
    name: 'method in small letters',
    input: '[[operations]]\nservice = "a"\nmethods = ["post"]',
    problem: 'operations[0].methods[0]: expected a method in capitals',
  },
  {
    name: 'deadline over the longest',
    input: '[[operations]]\nservice = "a"\ndeadline_ms = 86400000',
    problem: 'operations[0].deadline_ms: expected at most limits.max_deadline',
  },
  {
    name: 'lease shorter than two renewals',
    input: '[timing]\nlease_ms = 900',
    problem: 'timing.lease_ms: expected at least 1000, by renew_ms, found 900',
  },
  {
    name: 'negative weight',
    input: '[placement]\nchurn = -1',
    problem: 'placement.churn: expected a number from 0 to 1000000, found -1',
  },
  {
    name: 'weight that is no number',
    input: '[placement]\nchurn = nan',
    problem: 'placement.churn: expected a number from 0 to 1000000, found',
  },
];

void tap.test('rules with a fault', async t => {
  for (const {name, input, problem} of BAD_RULES) {
    const result = parseRules(input);
    const lines = result.err ? formatAll(result.val) : [];
    const hit = lines.some(line => line.startsWith(problem));
    t.ok(hit, `${name}: ${lines.join('; ')}`);
  }
});

void tap.test('problems name their line', async t => {
  const second = INVENTORY.slice(INVENTORY.indexOf('[[servers]]'))
    .replace('holds-1', 'holds-2')
    .replace('9001', '9002')
    .replace('slots = 4\n', '')
    .replace('"vadaj"', '"naroda"');
  const lineOf = (text: string): number =>
    (INVENTORY + second).split('\n').lastIndexOf(text) + 1;
  const cases: readonly (readonly [string, string, number])[] = [
    ['servers[1].slots', INVENTORY + second, lineOf('[[servers]]')],
    [
      'servers[1].place',
      INVENTORY + second.replace('naroda"', 'naroda"\nslots = 1'),
      lineOf('place = "naroda"'),
    ],
    ['services[0].cells', INVENTORY.replace('= 2', '= 0'), 9],
  ];
  for (const [place, input, line] of cases) {
    const result = parseInventory(input);
    const problems = result.err ? result.val : [];
    const lines = problems
      .filter(problem => problem.place === place)
      .map(problem => problem.line);
    t.strictSame(lines, [line], place);
  }
  const result = parseRules('[timing]\nrenew_ms = 5\n');
  t.strictSame(result.err && result.val.map(formatProblem), [
    'timing.renew_ms (line 2): expected a whole number from 10 to 60000, ' +
      'found 5',
  ]);
});

void tap.test('rules left out take their defaults', async t => {
  t.strictSame(parseRules('').val, DEFAULT_RULES);
  t.strictSame(DEFAULT_RULES.timing, {
    renewMs: 500,
    leaseMs: 2_000,
    authorityMs: 1_000,
    suspicionMs: 750,
    driftPpm: 10_000,
  });
});

void tap.test('operations', async t => {
  const parsed = parseRules(`${LEVELS}
    [[operations]]
    service = "holds"
    methods = ["PUT"]
    path_prefix = "/hold"
    precedence = "first"
    once = true
    deadline_ms = 3000
    [[operations]]
    service = "holds"
    precedence = "first"
    [[operations]]
    service = "rounds"
    methods = ["GET", "POST"]
    path_prefix = "/day"
    once = false
  `);
  const rules = parsed.unwrap();
  const cases: readonly (readonly [string, string, string, string])[] = [
    ['holds', 'PUT', '/hold/7', '0 once 3000'],
    ['holds', 'put', '/hold/7', '0 once 3000'],
    ['holds', 'PUT', '/%68old', '0 once 3000'],
    ['holds', 'PUT', '/a/..//hold?x=1', '0 once 3000'],
    ['holds', 'PUT', '/beds?next=/hold', '0 repeatable 10000'],
    ['holds', 'POST', '', '0 once 10000'],
    ['holds', 'GET', '/%zz', '0 repeatable 10000'],
    ['holds', 'PURGE', '/', '0 repeatable 10000'],
    ['rounds', 'POST', '/day/3', '1 repeatable 10000'],
    ['rounds', 'POST', '/night', '1 once 10000'],
    ['rounds', 'PUT', '/day/3', '1 repeatable 10000'],
    ['vacancy', 'PATCH', '', '1 once 10000'],
    ['vacancy', 'GET', '', '1 repeatable 10000'],
  ];
  for (const [service, method, path, expected] of cases) {
    const found = matchOperation(rules, service, method, path);
    const once = found.once ? 'once' : 'repeatable';
    const text = `${found.precedence} ${once} ${found.deadlineMs}`;
    t.equal(text, expected, `${method} ${service} ${path}`);
  }
});

void tap.test('rules and inventory are checked together', async t => {
  const rulesToml = '[[operations]]\nservice = "vacancy"';
  const known = [{name: 'holds', shards: 32, cells: 2, checksFences: true}];
  const result = checkPublication({inventoryToml: INVENTORY, rulesToml}, known);
  const lines = result.err ? formatAll(result.val) : [];
  t.strictSame(lines, [
    'inventory: services[0].shards: expected 32 as published first; ' +
      'it cannot change, found 64',
    'rules: operations: expected services of the inventory only, ' +
      'found "vacancy"',
  ]);
});
