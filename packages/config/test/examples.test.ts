import {readFile} from 'node:fs/promises';
import tap from 'tap';
import {checkPublication} from '@banyandrum/config/check-publication.js';
import type {CheckedPublication} from '@banyandrum/config/check-publication.js';
import {matchOperation} from '@banyandrum/config/match-operation.js';
import {parseSettings} from '@banyandrum/config/settings.js';

async function readExample(
  name: string,
): Promise<CheckedPublication & {readonly place: string}> {
  const read = (file: string): Promise<Uint8Array> =>
    readFile(`examples/${name}/${file}.toml`);
  const inventoryToml = await read('inventory');
  const rulesToml = await read('rules');
  const checked = checkPublication({inventoryToml, rulesToml}, []);
  const settings = parseSettings(await read('settings')).unwrap();
  return {...checked.unwrap(), place: settings.router.place};
}

function countServers(example: CheckedPublication): object {
  const {services, servers} = example.inventory;
  const entries = services.map(({name}) => [
    name,
    servers.filter(server => server.service === name).length,
  ]);
  return Object.fromEntries(entries) as object;
}

void tap.test('the co-operative', async t => {
  const example = await readExample('co-operative');
  t.strictSame(countServers(example), {
    claims: 10,
    assignments: 8,
    records: 13,
  });
  const {inventory, rules} = example;
  t.ok(inventory.servers.every(({slots}) => slots === 2));
  t.ok(inventory.servers.every(({connections}) => connections === 110));
  t.ok(inventory.places.some(({name}) => name === example.place));
  const {churn, imbalance, unavailable} = rules.weights;
  t.ok(churn > Math.max(imbalance, unavailable), 'churn weighs most');
  t.equal(matchOperation(rules, 'assignments', 'PUT', '').once, true);
  t.equal(matchOperation(rules, 'assignments', 'GET', '').once, false);
});

void tap.test('the Board', async t => {
  const example = await readExample('board');
  t.strictSame(countServers(example), {vacancy: 12, holds: 8, rounds: 18});
  const {inventory, rules} = example;
  t.ok(inventory.servers.every(({slots}) => slots === 4));
  t.ok(inventory.servers.every(({connections}) => connections === 55));
  t.ok(inventory.places.some(({name}) => name === example.place));
  const {churn, imbalance, unavailable} = rules.weights;
  t.ok(unavailable > Math.max(imbalance, churn), 'unavailable weighs most');
  const hold = matchOperation(rules, 'holds', 'POST', '/beds');
  const lookup = matchOperation(rules, 'vacancy', 'GET', '');
  const report = matchOperation(rules, 'rounds', 'GET', '');
  t.ok(hold.once);
  t.ok(hold.precedence < lookup.precedence, 'holds go first');
  t.ok(lookup.precedence < report.precedence, 'reports may wait');
});
