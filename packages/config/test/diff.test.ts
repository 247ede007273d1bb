import tap from 'tap';
import {diffPublications, formatChange} from '@banyandrum/config/diff.js';
import type {DiffSide} from '@banyandrum/config/diff.js';
import {parseInventory} from '@banyandrum/config/parse-inventory.js';
import {parseRules} from '@banyandrum/config/parse-rules.js';
import {inventoryToml} from './generate-records.js';

function side(inventory: string, rules: string): DiffSide {
  return {
    inventory: parseInventory(inventory).unwrap(),
    rules: parseRules(rules).unwrap(),
  };
}

const RULES = `
  [[precedence]]
  name = "now"
  [[precedence]]
  name = "later"
  [[operations]]
  service = "holds"
  methods = ["POST"]
  precedence = "now"
  [[operations]]
  service = "holds"
  methods = ["GET"]
`;

void tap.test('differences', async t => {
  const before = side(inventoryToml(2), RULES);
  const cases: readonly {
    readonly name: string;
    readonly after: DiffSide;
    readonly lines: readonly string[];
  }[] = [
    {name: 'none', after: side(inventoryToml(2), RULES), lines: []},
    {
      name: 'servers',
      after: side(
        inventoryToml(3)
          .replaceAll('holds-0"', 'holds-9"')
          .replace('slots = 4', 'slots = 6'),
        RULES,
      ),
      lines: [
        '- server holds-0: service holds, place vadaj, ' +
          'address 127.0.0.1:9000, slots 4, connections 55',
        '+ server holds-9: service holds, place vadaj, ' +
          'address 127.0.0.1:9000, slots 6, connections 55',
        '+ server holds-2: service holds, place vadaj, ' +
          'address 127.0.0.1:9002, slots 4, connections 55',
      ],
    },
    {
      name: 'a data centre and a weight',
      after: side(
        inventoryToml(2).replace('amd-1', 'amd-2'),
        `${RULES}[placement]\nchurn = 5`,
      ),
      lines: [
        '~ place vadaj: data_centre amd-1 -> amd-2',
        '~ rules placement: churn 1 -> 5',
      ],
    },
    {
      name: 'levels in another order',
      after: side(
        inventoryToml(2),
        RULES.replace('"now"', '"x"')
          .replace('"later"', '"now"')
          .replace('"x"', '"later"')
          .replace(
            'methods = ["GET"]',
            'methods = ["GET"]\nprecedence="later"',
          ),
      ),
      lines: ['~ rules precedence: order now, later -> later, now'],
    },
    {
      name: 'an operation removed',
      after: side(
        inventoryToml(2),
        RULES.slice(0, RULES.indexOf('[[operations]]')),
      ),
      lines: [
        '- rules operation: service holds, methods POST, path_prefix "", ' +
          'precedence now, once true, deadline_ms 10000',
        '- rules operation: service holds, methods GET, path_prefix "", ' +
          'precedence later, once false, deadline_ms 10000',
      ],
    },
  ];
  for (const {name, after, lines} of cases) {
    const found = diffPublications(before, after).map(formatChange);
    t.strictSame(found, lines, name);
  }
});
