import tap from 'tap';
import {
  checkPublication,
  type InForce,
} from '@banyandrum/config/check-publication.js';

const INVENTORY = `
[[places]]
name = "vadaj"
data_centre = "vadaj"
[[services]]
name = "holds"
shards = 8
cells = 1
checks_fences = true
[[services]]
name = "rounds"
shards = 8
cells = 1
checks_fences = true
[[servers]]
name = "holds-1"
service = "holds"
place = "vadaj"
address = "127.0.0.1:7001"
slots = 4
connections = 8
`;

const RULES = `
[[precedence]]
name = "all"
age_after_ms = 1000
[timing]
lease_ms = 2000
authority_ms = 1000
`;

interface Change {
  readonly name: string;
  readonly inventory?: readonly [string, string];
  readonly rules?: readonly [string, string];
  /** The place of the one problem, or null where it is accepted. */
  readonly place: string | null;
}

// An operator changes something that a router may still hold to be otherwise:
// each refused change would let two servers own a key while routers that have
// read it and routers that have not count by different numbers or processes.
const CHANGES: readonly Change[] = [
  {name: 'nothing', place: null},
  {
    name: 'slots of a server',
    inventory: ['slots = 4', 'slots = 2'],
    place: null,
  },
  {
    name: 'address of a server',
    inventory: ['127.0.0.1:7001', '127.0.0.1:7002'],
    place: 'servers[0].address',
  },
  {
    name: 'service of a server',
    inventory: ['service = "holds"', 'service = "rounds"'],
    place: 'servers[0].service',
  },
  {
    name: 'address under another name',
    inventory: ['name = "holds-1"', 'name = "holds-2"'],
    place: null,
  },
  {
    name: 'kind of a service',
    inventory: ['checks_fences = true', 'checks_fences = false'],
    place: 'services[0].checksFences',
  },
  {
    name: 'lease time',
    rules: ['lease_ms = 2000', 'lease_ms = 3000'],
    place: 'timing.lease_ms',
  },
  {
    name: 'authority time',
    rules: ['authority_ms = 1000', 'authority_ms = 900'],
    place: 'timing.authority_ms',
  },
];

for (const {name, inventory, rules, place} of CHANGES) {
  void tap.test(`a publication that changes: ${name}`, async t => {
    const first = checkPublication(
      {inventoryToml: INVENTORY, rulesToml: RULES},
      [],
    ).unwrap();
    const inForce: InForce = {
      servers: first.inventory.servers,
      timing: first.rules.timing,
    };
    const files = {
      inventoryToml: inventory ? INVENTORY.replace(...inventory) : INVENTORY,
      rulesToml: rules ? RULES.replace(...rules) : RULES,
    };
    const {services} = first.inventory;
    const checked = checkPublication(files, services, inForce);
    const places = checked.err ? checked.val.map(entry => entry.place) : [];
    t.same(places, place === null ? [] : [place]);
  });
}
