import {Err, Ok} from '@banyandrum/base/result.js';
import type {Result} from '@banyandrum/base/result.js';
import {z} from 'zod';
import type {Inventory, Server, Service} from './inventory.js';
import type {Problem} from './problem.js';
import {describeValue} from './problem.js';
import {checkTable, readToml, reportProblems} from './read-toml.js';
import {
  addressSchema,
  flagSchema,
  list,
  nameSchema,
  table,
  whole,
} from './schema.js';

const MAX_SHARDS = 65_536;
const MAX_SLOTS = 10_000;
const MAX_CONNECTIONS = 65_535;

const placeSchema = table({name: nameSchema, data_centre: nameSchema});

const serviceSchema = table({
  name: nameSchema,
  shards: whole(1, MAX_SHARDS),
  cells: whole(1, MAX_SHARDS),
  checks_fences: flagSchema,
});

const serverSchema = table({
  name: nameSchema,
  service: nameSchema,
  place: nameSchema,
  address: addressSchema,
  slots: whole(1, MAX_SLOTS),
  connections: whole(1, MAX_CONNECTIONS),
});

// An empty file is taken for a mistake: it would remove every service.
const inventorySchema = table({
  places: list(placeSchema).min(1, {error: 'at least one place'}),
  services: list(serviceSchema).min(1, {error: 'at least one service'}),
  servers: list(serverSchema).default([]),
});

/**
 * Reads an inventory; never throws.
 *
 * What this accepts is a part of the log's format: every reader parses each
 * publication by itself, and readers that disagree would be in different
 * states. Change the rules here only with a new format of the records.
 *
 * @example
 * ```ts
 * const result = parseInventory(await readFile('inventory.toml'));
 * if (result.err) console.error(result.val.map(formatProblem).join('\n'));
 * ```
 */
export function parseInventory(
  input: string | Uint8Array,
): Result<Inventory, readonly Problem[]> {
  const read = readToml(input);
  if (read.err) return read;
  const {text, table} = read.val;
  const checked = checkTable(table, inventorySchema);
  if (checked.err) return Err(reportProblems(text, checked.val));
  const inventory = toInventory(checked.val);
  const problems = checkInventory(inventory);
  if (problems.length > 0) return Err(reportProblems(text, problems));
  return Ok(inventory);
}

function toInventory(file: z.output<typeof inventorySchema>): Inventory {
  return {
    places: file.places.map(place => ({
      name: place.name,
      dataCentre: place.data_centre,
    })),
    services: file.services.map(service => ({
      name: service.name,
      shards: service.shards,
      cells: service.cells,
      checksFences: service.checks_fences,
    })),
    servers: file.servers,
  };
}

function checkInventory(inventory: Inventory): Problem[] {
  const {places, services, servers} = inventory;
  const placeNames = new Set(places.map(place => place.name));
  const serviceNames = new Set(services.map(service => service.name));
  return [
    ...findRepeats('places', 'name', places),
    ...findRepeats('services', 'name', services),
    ...services.flatMap(checkService),
    ...findRepeats('servers', 'name', servers),
    ...findRepeats('servers', 'address', servers),
    ...servers.flatMap((server, index) =>
      checkServer(server, index, placeNames, serviceNames),
    ),
  ];
}

function checkService(service: Service, index: number): Problem[] {
  if (service.cells <= service.shards) return [];
  return [
    {
      place: `services[${index}].cells`,
      expected: `no more cells than shards (${service.shards})`,
      found: describeValue(service.cells),
    },
  ];
}

function checkServer(
  server: Server,
  index: number,
  places: ReadonlySet<string>,
  services: ReadonlySet<string>,
): Problem[] {
  const problems: Problem[] = [];
  const report = (key: keyof Server, expected: string): void => {
    const place = `servers[${index}].${key}`;
    problems.push({place, expected, found: describeValue(server[key])});
  };
  if (!services.has(server.service)) report('service', 'a service listed');
  if (!places.has(server.place)) report('place', 'a place listed');
  if (server.connections < server.slots) {
    report('connections', `at least as many as slots (${server.slots})`);
  }
  return problems;
}

/** Reports entries that repeat an earlier one's `key`. */
function findRepeats<K extends string>(
  listName: string,
  key: K,
  entries: readonly Readonly<Record<K, string>>[],
): Problem[] {
  const firstIndex = new Map<string, number>();
  const problems: Problem[] = [];
  entries.forEach((entry, index) => {
    const first = firstIndex.get(entry[key]);
    if (first === undefined) {
      firstIndex.set(entry[key], index);
      return;
    }
    const place = `${listName}[${index}].${key}`;
    const expected = `a ${key} other than that of ${listName}[${first}]`;
    problems.push({place, expected, found: describeValue(entry[key])});
  });
  return problems;
}
