import {readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {z} from 'zod';
import {createServerStandin} from './server.js';
import type {ServerStandin} from './server.js';
import {serviceTimeSchema} from './server-service-time.js';
import type {KeyState, ServerState} from './server-work.js';

const groupSchema = z.object({
  service: z.string().min(1),
  count: z.number().int().min(1),
  slots: z.number().int().min(1),
  checksFences: z.boolean(),
  serviceMs: serviceTimeSchema.default({kind: 'fixed', ms: 0}),
  coldStartMs: z.number().min(0).default(0),
  queueLimit: z.number().int().min(0).default(0),
  seed: z.number().int().default(1),
  /** Whether the service's servers share their keys' state. */
  sharedState: z.boolean().default(true),
});

const specSchema = z.object({groups: z.array(groupSchema).min(1)});

type Group = Readonly<z.infer<typeof groupSchema>>;

/**
 * Starts stand-in servers in this process, prints one JSON line
 * `{"servers": [{"name", "service", "slots", "checksFences", "address"}]}`
 * and ends on SIGTERM or SIGINT.
 *
 *     node run-servers.js spec.json
 *     node run-servers.js --service holds --count 8 --slots 4 --checks-fences
 *
 * The file holds `{"groups": [{"service", "count", "slots", ...}]}`.
 */
async function main(): Promise<void> {
  const groups = readGroups();
  const started = await Promise.all(groups.map(startGroup));
  const servers = started.flat();
  process.stdout.write(`${JSON.stringify({servers: servers.map(describe)})}\n`);
  const end = (): void => {
    const closed = servers.map(({standin}) => standin.close());
    void Promise.all(closed).then(() => process.exit(0));
  };
  process.once('SIGTERM', end);
  process.once('SIGINT', end);
}

interface Started {
  readonly group: Group;
  readonly standin: ServerStandin;
}

function readGroups(): readonly Group[] {
  const {values, positionals} = parseArgs({
    allowPositionals: true,
    options: {
      service: {type: 'string', default: 'holds'},
      count: {type: 'string', default: '1'},
      slots: {type: 'string', default: '4'},
      'checks-fences': {type: 'boolean', default: false},
      'service-ms': {type: 'string', default: '0'},
      'queue-limit': {type: 'string', default: '0'},
    },
  });
  const [path] = positionals;
  if (path !== undefined) {
    return specSchema.parse(JSON.parse(readFileSync(path, 'utf8'))).groups;
  }
  const group = {
    service: values.service,
    count: Number(values.count),
    slots: Number(values.slots),
    checksFences: values['checks-fences'],
    serviceMs: {kind: 'fixed', ms: Number(values['service-ms'])},
    queueLimit: Number(values['queue-limit']),
  };
  return [groupSchema.parse(group)];
}

function startGroup(group: Group): Promise<readonly Started[]> {
  const shared: ServerState = new Map<string, KeyState>();
  const starts = Array.from({length: group.count}, async (_, index) => {
    const standin = await createServerStandin({
      ...group,
      name: `${group.service}-${index + 1}`,
      seed: group.seed + index,
      state: group.sharedState ? shared : undefined,
    });
    return {group, standin};
  });
  return Promise.all(starts);
}

function describe({group, standin}: Started): object {
  const {service, slots, checksFences} = group;
  const {name, address} = standin;
  return {name, service, slots, checksFences, address};
}

await main();
