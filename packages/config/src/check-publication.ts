import {Err, Ok} from '@banyandrum/base/result.js';
import type {Result} from '@banyandrum/base/result.js';
import type {Inventory, Service} from './inventory.js';
import {parseInventory} from './parse-inventory.js';
import {parseRules} from './parse-rules.js';
import type {Problem} from './problem.js';
import {describeValue, inFile} from './problem.js';
import type {Rules} from './rules.js';

export interface PublicationFiles {
  readonly inventoryToml: string | Uint8Array;
  readonly rulesToml: string | Uint8Array;
}

export interface CheckedPublication {
  readonly inventory: Inventory;
  readonly rules: Rules;
}

/**
 * Reads both files and checks them against each other and against the
 * services known so far (also those once removed); never throws.
 *
 * @example
 * ```ts
 * const result = checkPublication({inventoryToml, rulesToml}, []);
 * if (result.err) result.val.map(formatProblem).forEach(print);
 * ```
 */
export function checkPublication(
  files: PublicationFiles,
  known: readonly Service[],
): Result<CheckedPublication, readonly Problem[]> {
  const inventory = parseInventory(files.inventoryToml);
  const rules = parseRules(files.rulesToml);
  if (inventory.err || rules.err) {
    return Err([
      ...(inventory.err ? inFile('inventory', inventory.val) : []),
      ...(rules.err ? inFile('rules', rules.val) : []),
    ]);
  }
  const problems = [
    ...inFile('inventory', checkFixed(inventory.val, known)),
    ...inFile('rules', checkServices(rules.val, inventory.val)),
  ];
  if (problems.length > 0) return Err(problems);
  return Ok({inventory: inventory.val, rules: rules.val});
}

// Another number of shards maps keys to other shards and cells. A leader that
// has not read of the change yet would then grant a key by the old map while
// another grants it by the new one: two owners. So both stay as they are for
// the life of the service's name, also where the service is removed between.
function checkFixed(
  inventory: Inventory,
  known: readonly Service[],
): readonly Problem[] {
  const before = new Map(known.map(service => [service.name, service]));
  return inventory.services.flatMap((service, index) => {
    const old = before.get(service.name);
    if (old === undefined) return [];
    return (['shards', 'cells'] as const)
      .filter(key => service[key] !== old[key])
      .map(key => ({
        place: `services[${index}].${key}`,
        expected: `${old[key]} as published first; it cannot change`,
        found: describeValue(service[key]),
      }));
  });
}

function checkServices(rules: Rules, inventory: Inventory): readonly Problem[] {
  const names = new Set(inventory.services.map(service => service.name));
  const unknown = new Set(
    rules.operations
      .map(operation => operation.service)
      .filter(service => !names.has(service)),
  );
  return [...unknown].map(service => ({
    place: 'operations',
    expected: 'services of the inventory only',
    found: describeValue(service),
  }));
}
