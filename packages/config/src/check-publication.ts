import {Err, Ok} from '@banyandrum/base/result.js';
import type {Result} from '@banyandrum/base/result.js';
import type {Inventory, Server, Service} from './inventory.js';
import {parseInventory} from './parse-inventory.js';
import {parseRules} from './parse-rules.js';
import type {Problem} from './problem.js';
import {describeValue, inFile} from './problem.js';
import type {Rules, Timing} from './rules.js';

const FIXED_OF_SERVICES = ['shards', 'cells', 'checksFences'] as const;
const FIXED_TIMES = ['leaseMs', 'authorityMs', 'driftPpm'] as const;
const TIMING_KEYS = {
  leaseMs: 'lease_ms',
  authorityMs: 'authority_ms',
  driftPpm: 'drift_ppm',
} as const;

export interface PublicationFiles {
  readonly inventoryToml: string | Uint8Array;
  readonly rulesToml: string | Uint8Array;
}

export interface CheckedPublication {
  readonly inventory: Inventory;
  readonly rules: Rules;
}

/** What is in force, as far as a later publication is held to it. */
export interface InForce {
  readonly servers: readonly Server[];
  readonly timing: Timing;
}

/**
 * Reads both files and checks them against each other and against the
 * services known so far (also those once removed), and against what is in
 * force, where something is; never throws.
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
  inForce: InForce | null = null,
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
    ...(inForce ? checkAgainst(inForce, inventory.val, rules.val) : []),
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
    return FIXED_OF_SERVICES.filter(key => service[key] !== old[key]).map(
      key => ({
        place: `services[${index}].${key}`,
        expected: `${old[key]} as published first; it cannot change`,
        found: describeValue(service[key]),
      }),
    );
  });
}

function checkAgainst(
  inForce: InForce,
  inventory: Inventory,
  rules: Rules,
): readonly Problem[] {
  return [
    ...inFile('inventory', checkAddresses(inventory, inForce.servers)),
    ...inFile('rules', checkTiming(rules.timing, inForce.timing)),
  ];
}

// A shard table names servers. A successor would take the process at the new
// address for the owner, while the one at the old address may still hold its
// lease: two owners.
function checkAddresses(
  inventory: Inventory,
  servers: readonly Server[],
): readonly Problem[] {
  const before = new Map(servers.map(server => [server.name, server]));
  return inventory.servers.flatMap((server, index) => {
    const old = before.get(server.name);
    if (old === undefined) return [];
    return (['address', 'service'] as const)
      .filter(key => server[key] !== old[key])
      .map(key => ({
        place: `servers[${index}].${key}`,
        expected: `${old[key]} as it is in force, or another server name`,
        found: describeValue(server[key]),
      }));
  });
}

// A successor waits out its predecessor's authority and leases by its own
// numbers. With other numbers on the two it would act too early.
function checkTiming(timing: Timing, before: Timing): readonly Problem[] {
  return FIXED_TIMES.filter(key => timing[key] !== before[key]).map(key => ({
    place: `timing.${TIMING_KEYS[key]}`,
    expected: `${before[key]} as published first; it cannot change`,
    found: describeValue(timing[key]),
  }));
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
