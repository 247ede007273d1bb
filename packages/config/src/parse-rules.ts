import {Err, Ok} from '@banyandrum/base/result.js';
import type {Result} from '@banyandrum/base/result.js';
import {z} from 'zod';
import {
  DEFAULT_DEADLINE_MS,
  DEFAULT_LIMITS,
  DEFAULT_PRECEDENCE,
  DEFAULT_TIMING,
  DEFAULT_WEIGHTS,
  ONCE_METHODS,
} from './default-rules.js';
import type {Problem} from './problem.js';
import {describeValue} from './problem.js';
import {checkTable, readToml, reportProblems} from './read-toml.js';
import type {
  Limits,
  Operation,
  PrecedenceLevel,
  Rules,
  Timing,
} from './rules.js';
import {flagSchema, list, nameSchema, number, table, whole} from './schema.js';

const DAY_MS = 86_400_000;
const MINUTE_MS = 60_000;
const MAX_COUNT = 1_000_000;
const MAX_BYTES = 1024 ** 3;
const MAX_WEIGHT = 1_000_000;
const MAX_DRIFT_PPM = 100_000;

const methodError = 'a method in capitals, such as "POST"';
const prefixError = 'a path that starts with "/", or an empty text';

const precedenceSchema = table({
  name: nameSchema,
  age_after_ms: whole(1, DAY_MS).default(DAY_MS),
});

const operationSchema = table({
  service: nameSchema,
  methods: list(
    z.string({error: methodError}).regex(/^[A-Z]{1,32}$/, {error: methodError}),
  ).default([]),
  path_prefix: z
    .string({error: prefixError})
    .max(1024, {error: 'at most 1024 characters'})
    .regex(/^(\/[^?#]*)?$/, {error: prefixError})
    .default(''),
  precedence: nameSchema.optional(),
  once: flagSchema.optional(),
  deadline_ms: whole(1, DAY_MS).optional(),
});

const placementSchema = table({
  imbalance: number(0, MAX_WEIGHT).default(DEFAULT_WEIGHTS.imbalance),
  churn: number(0, MAX_WEIGHT).default(DEFAULT_WEIGHTS.churn),
  unavailable: number(0, MAX_WEIGHT).default(DEFAULT_WEIGHTS.unavailable),
});

const limitsSchema = table({
  max_body_bytes: whole(1, MAX_BYTES).default(DEFAULT_LIMITS.maxBodyBytes),
  max_queued: whole(1, MAX_COUNT).default(DEFAULT_LIMITS.maxQueued),
  max_queued_bytes: whole(1, MAX_BYTES).default(DEFAULT_LIMITS.maxQueuedBytes),
  max_deadline_ms: whole(1, DAY_MS).default(DEFAULT_LIMITS.maxDeadlineMs),
  retry_percent: whole(0, 100).default(DEFAULT_LIMITS.retryPercent),
});

const timingSchema = table({
  renew_ms: whole(10, MINUTE_MS).default(DEFAULT_TIMING.renewMs),
  lease_ms: whole(10, MINUTE_MS).default(DEFAULT_TIMING.leaseMs),
  authority_ms: whole(10, MINUTE_MS).default(DEFAULT_TIMING.authorityMs),
  suspicion_ms: whole(10, MINUTE_MS).default(DEFAULT_TIMING.suspicionMs),
  drift_ppm: whole(0, MAX_DRIFT_PPM).default(DEFAULT_TIMING.driftPpm),
});

const rulesSchema = table({
  precedence: list(precedenceSchema)
    .min(1, {error: 'at least one level'})
    .max(16, {error: 'at most 16 levels'})
    .optional(),
  operations: list(operationSchema).default([]),
  placement: placementSchema.prefault({}),
  limits: limitsSchema.prefault({}),
  timing: timingSchema.prefault({}),
});

type RulesFile = z.output<typeof rulesSchema>;
type OperationEntry = RulesFile['operations'][number];

/**
 * Reads rules; never throws. Like `parseInventory`, a part of the log's
 * format. An operation that names no `once` becomes two where its methods
 * differ in that.
 *
 * @example
 * ```ts
 * const result = parseRules('[placement]\nchurn = 5');
 * if (result.ok) plan(result.val.weights);
 * ```
 */
export function parseRules(
  input: string | Uint8Array,
): Result<Rules, readonly Problem[]> {
  const read = readToml(input);
  if (read.err) return read;
  const {text, table} = read.val;
  const checked = checkTable(table, rulesSchema);
  if (checked.err) return Err(reportProblems(text, checked.val));
  const rules = toRules(checked.val);
  const problems = checkRules(checked.val, rules);
  if (problems.length > 0) return Err(reportProblems(text, problems));
  return Ok(rules);
}

/** Level of what the rules don't mention: it never goes before what they do. */
export function lowestLevel(levels: readonly PrecedenceLevel[]): string {
  return levels.at(-1)?.name ?? '';
}

function toRules(file: RulesFile): Rules {
  const {placement, limits, timing} = file;
  const precedence =
    file.precedence?.map(level => ({
      name: level.name,
      ageAfterMs: level.age_after_ms,
    })) ?? DEFAULT_PRECEDENCE;
  const lowest = lowestLevel(precedence);
  const deadlineMs = Math.min(DEFAULT_DEADLINE_MS, limits.max_deadline_ms);
  return {
    precedence,
    operations: file.operations.flatMap(entry =>
      toOperations(entry, lowest, deadlineMs),
    ),
    weights: placement,
    limits: {
      maxBodyBytes: limits.max_body_bytes,
      maxQueued: limits.max_queued,
      maxQueuedBytes: limits.max_queued_bytes,
      maxDeadlineMs: limits.max_deadline_ms,
      retryPercent: limits.retry_percent,
    },
    timing: {
      renewMs: timing.renew_ms,
      leaseMs: timing.lease_ms,
      authorityMs: timing.authority_ms,
      suspicionMs: timing.suspicion_ms,
      driftPpm: timing.drift_ppm,
    },
  };
}

function toOperations(
  entry: OperationEntry,
  lowest: string,
  deadlineMs: number,
): Operation[] {
  const toOperation = (methods: readonly string[], once: boolean) => ({
    service: entry.service,
    methods,
    pathPrefix: entry.path_prefix,
    precedence: entry.precedence ?? lowest,
    once,
    deadlineMs: entry.deadline_ms ?? deadlineMs,
  });
  const {methods, once} = entry;
  if (once !== undefined) return [toOperation(methods, once)];
  if (methods.length === 0) {
    return [toOperation(ONCE_METHODS, true), toOperation([], false)];
  }
  const onceOnes = methods.filter(method => ONCE_METHODS.includes(method));
  const others = methods.filter(method => !ONCE_METHODS.includes(method));
  return [
    ...(onceOnes.length > 0 ? [toOperation(onceOnes, true)] : []),
    ...(others.length > 0 ? [toOperation(others, false)] : []),
  ];
}

function checkRules(file: RulesFile, rules: Rules): Problem[] {
  const levels = new Set<string>();
  const problems: Problem[] = [];
  rules.precedence.forEach(({name}, index) => {
    if (levels.has(name)) {
      const place = `precedence[${index}].name`;
      const expected = 'a name other than those of the levels above';
      problems.push({place, expected, found: describeValue(name)});
    }
    levels.add(name);
  });
  file.operations.forEach((entry, index) => {
    problems.push(...checkOperation(entry, index, levels, rules.limits));
  });
  return [...problems, ...checkTiming(rules.timing)];
}

function checkOperation(
  entry: OperationEntry,
  index: number,
  levels: ReadonlySet<string>,
  limits: Limits,
): Problem[] {
  const problems: Problem[] = [];
  const {precedence, deadline_ms: deadlineMs} = entry;
  if (precedence !== undefined && !levels.has(precedence)) {
    problems.push({
      place: `operations[${index}].precedence`,
      expected: `one of ${[...levels].join(', ')}`,
      found: describeValue(precedence),
    });
  }
  if (deadlineMs !== undefined && deadlineMs > limits.maxDeadlineMs) {
    problems.push({
      place: `operations[${index}].deadline_ms`,
      expected: `at most limits.max_deadline_ms (${limits.maxDeadlineMs})`,
      found: describeValue(deadlineMs),
    });
  }
  return problems;
}

// Times that leave no room for one lost renewal would let leases lapse and
// leaders lose their authority in ordinary running.
function checkTiming(timing: Timing): Problem[] {
  const {renewMs, leaseMs, authorityMs, suspicionMs} = timing;
  const checks: readonly (readonly [string, number, number])[] = [
    ['lease_ms', leaseMs, 2 * renewMs],
    ['authority_ms', authorityMs, renewMs],
    ['suspicion_ms', suspicionMs, renewMs],
  ];
  return checks
    .filter(([, value, least]) => value < least)
    .map(([key, value, least]) => ({
      place: `timing.${key}`,
      expected: `at least ${least}, by renew_ms`,
      found: describeValue(value),
    }));
}
