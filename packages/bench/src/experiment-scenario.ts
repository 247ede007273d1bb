import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parse} from 'smol-toml';
import {z} from 'zod';

const loadSchema = z
  .strictObject({
    /** Name of a level of precedence in the user's rules. */
    level: z.string(),
    /** Name in the report; else that of its level. */
    as: z.string().optional(),
    /** Offered load, as a share of all servers' nominal capacity. */
    share: z.number().positive(),
    deadline_ms: z.number().positive(),
    once: z.boolean().default(false),
    /** Mean service time where it differs from the servers'. */
    service_ms: z.number().positive().optional(),
    keys: z.number().int().positive().default(2000),
    zipf: z.number().nonnegative().default(0),
    /** Share of the requests that all ask for one key. */
    hot_share: z.number().min(0).max(1).default(0),
    callers: z.number().int().positive().default(40),
    /** Times that a caller tries again at once after a failure. */
    retries: z.number().int().nonnegative().default(0),
  })
  .readonly();

const phaseSchema = z
  .strictObject({
    at_s: z.number().nonnegative(),
    /** The offered load from then on, times its share. */
    factor: z.number().nonnegative(),
  })
  .readonly();

const eventSchema = z
  .strictObject({
    at_s: z.number().nonnegative(),
    kind: z.enum([
      'join',
      'leave',
      'die',
      'restart',
      'slow',
      'stall',
      'lie',
      'change-leader',
    ]),
    server: z.string().default(''),
    /** `slow`: its service times are multiplied by this. */
    factor: z.number().positive().default(1),
    /** `stall`: how long it does nothing. */
    for_ms: z.number().positive().default(1000),
  })
  .readonly();

const requiredSchema = z
  .strictObject({
    /** Useful throughput at each scale, by the greatest of them, at least. */
    useful_of_peak: z.number().optional(),
    /** Share of each level's requests served in time, at least. */
    served: z.record(z.string(), z.number()).default({}),
    most_moves: z.number().int().optional(),
    hot_keys_found: z.number().int().optional(),
  })
  .readonly();

const scenarioSchema = z
  .strictObject({
    about: z.string(),
    user: z.enum(['board', 'co-operative']),
    servers: z.number().int().positive(),
    slots: z.number().int().positive(),
    shards: z.number().int().positive().default(64),
    service_ms: z.number().positive(),
    seconds: z.number().positive(),
    /** Nothing before this counts. */
    warm_up_s: z.number().nonnegative(),
    /** Random short stalls of each server, a minute. */
    stalls_per_minute: z.number().nonnegative().default(0),
    stall_ms: z.number().positive().default(200),
    /** Offered loads to run one after the other, times the shares. */
    scales: z.array(z.number().positive()).default([1]),
    policies: z.array(z.string()),
    load: z.array(loadSchema).min(1),
    phases: z.array(phaseSchema).default([]),
    events: z.array(eventSchema).default([]),
    required: requiredSchema.default({served: {}}),
  })
  .readonly();

/** One experiment, as its file states it; names as in the file. */
export type Scenario = z.infer<typeof scenarioSchema> & {
  readonly name: string;
};
export type Load = z.infer<typeof loadSchema>;
export type ScenarioEvent = z.infer<typeof eventSchema>;

const FOLDER = fileURLToPath(new URL('../scenarios/', import.meta.url));

/** Names of all scenarios, in alphabetical order. */
export function scenarioNames(): readonly string[] {
  return readdirSync(FOLDER)
    .filter(file => file.endsWith('.toml'))
    .map(file => file.slice(0, -'.toml'.length))
    .sort();
}

/**
 * Reads one scenario.
 *
 * @throws Error where there is none of this name or it breaks its schema.
 *
 * @example
 * ```ts
 * const scenario = readScenario('overload');
 * ```
 */
export function readScenario(name: string): Scenario {
  const text = readFileSync(`${FOLDER}${name}.toml`, 'utf8');
  return {...scenarioSchema.parse(parse(text)), name};
}
