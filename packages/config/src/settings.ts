import {LOG_LEVELS} from '@banyandrum/base/logger.js';
import type {LogLevel} from '@banyandrum/base/logger.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {Result} from '@banyandrum/base/result.js';
import {z} from 'zod';
import type {Problem} from './problem.js';
import {describeValue} from './problem.js';
import {checkTable, readToml, reportProblems} from './read-toml.js';
import type {TomlText} from './read-toml.js';
import {
  addressSchema,
  flagSchema,
  list,
  listenSchema,
  nameSchema,
  table,
  text,
  whole,
} from './schema.js';

/** A `viewer` changes nothing; a `publisher` may do all. */
export const OPERATOR_ROLES = ['viewer', 'publisher'] as const;
export type OperatorRole = (typeof OPERATOR_ROLES)[number];

export interface OperatorToken {
  /** Goes into the audit trail. */
  readonly operator: string;
  readonly role: OperatorRole;
  /** SHA-256 of the token, 64 hexadecimal digits in small letters. */
  readonly sha256: string;
}

/** The settings of one router process. */
export interface Settings {
  readonly router: {
    readonly host: string;
    readonly place: string;
    readonly dataCentre: string;
  };
  readonly callers: {readonly listen: string};
  readonly operators: {
    readonly listen: string;
    /** Whether metrics and health are given without a token. */
    readonly openMetrics: boolean;
    readonly tokens: readonly OperatorToken[];
  };
  readonly peers: {readonly listen: string; readonly advertise: string};
  readonly log: {
    readonly address: string;
    readonly stream: string;
    readonly timeoutMs: number;
    readonly retentionMs: number;
  };
  readonly hostList: {readonly address: string; readonly pollMs: number};
  readonly logging: {readonly level: LogLevel};
}

/** Variables of the environment that go before the file. */
export const SETTINGS_VARIABLES: Readonly<
  Record<string, readonly [section: string, key: string]>
> = {
  BANYANDRUM_CALLERS_LISTEN: ['callers', 'listen'],
  BANYANDRUM_OPERATORS_LISTEN: ['operators', 'listen'],
  BANYANDRUM_PEERS_LISTEN: ['peers', 'listen'],
  BANYANDRUM_PEERS_ADVERTISE: ['peers', 'advertise'],
};

const MINUTE_MS = 60_000;
const DAY_MS = 86_400_000;
const MAX_RETENTION_MS = 366 * DAY_MS;

const streamError =
  'the name of a stream, 1 to 128 letters, digits, ".", "_" and "-"';
const sha256Error = 'a SHA-256 as 64 hexadecimal digits in small letters';
const roleError = `one of ${OPERATOR_ROLES.join(', ')}`;
const levelError = `one of ${LOG_LEVELS.join(', ')}`;

const tokenSchema = table({
  operator: text('the name of an operator', 64),
  role: z.enum(OPERATOR_ROLES, {error: roleError}),
  sha256: z
    .string({error: sha256Error})
    .regex(/^[0-9a-f]{64}$/, {error: sha256Error}),
});

const settingsSchema = table({
  router: table({
    host: nameSchema,
    place: nameSchema,
    data_centre: nameSchema,
  }),
  callers: table({listen: listenSchema}),
  operators: table({
    listen: listenSchema,
    open_metrics: flagSchema.default(false),
    tokens: list(tokenSchema).default([]),
  }),
  peers: table({listen: listenSchema, advertise: listenSchema.optional()}),
  log: table({
    address: addressSchema,
    stream: z
      .string({error: streamError})
      .regex(/^[A-Za-z0-9._-]{1,128}$/, {error: streamError})
      .default('banyandrum'),
    timeout_ms: whole(10, MINUTE_MS).default(1_000),
    retention_ms: whole(MINUTE_MS, MAX_RETENTION_MS).default(3_600_000),
  }),
  host_list: table({
    address: addressSchema,
    poll_ms: whole(10, MINUTE_MS).default(1_000),
  }),
  logging: table({
    level: z.enum(LOG_LEVELS, {error: levelError}).default('info'),
  }).prefault({}),
});

type SettingsFile = z.output<typeof settingsSchema>;

/**
 * Reads the settings of a router; never throws. Where the file names no
 * address to advertise to other routers, it is the one listened at.
 *
 * @example
 * ```ts
 * const read = parseSettings(await readFile(file), process.env);
 * if (read.err) console.error(formatProblem(inFile(file, read.val)[0]!));
 * ```
 */
export function parseSettings(
  input: string | Uint8Array,
  env: Readonly<Record<string, string | undefined>> = {},
): Result<Settings, readonly Problem[]> {
  const read = readToml(input);
  if (read.err) return read;
  const overridden = override(read.val.table, env);
  const checked = checkTable(overridden, settingsSchema);
  const problems = checked.err ? checked.val : checkSettings(checked.val);
  if (problems.length > 0) {
    const located = reportProblems(read.val.text, problems);
    return Err(located.map(problem => nameVariable(problem, env)));
  }
  return checked.ok ? Ok(toSettings(checked.val)) : Err(checked.val);
}

function override(
  file: TomlText['table'],
  env: Readonly<Record<string, string | undefined>>,
): TomlText['table'] {
  const merged: Record<string, unknown> = {...file};
  for (const [name, [section, key]] of Object.entries(SETTINGS_VARIABLES)) {
    const value = env[name];
    if (value === undefined || value === '') continue;
    const old = merged[section] ?? {};
    if (typeof old !== 'object') continue;
    merged[section] = {...old, [key]: value};
  }
  return merged;
}

/** Names the variable rather than the key that it went before. */
function nameVariable(
  problem: Problem,
  env: Readonly<Record<string, string | undefined>>,
): Problem {
  const variable = Object.entries(SETTINGS_VARIABLES).find(
    ([name, path]) => env[name] && path.join('.') === problem.place,
  );
  if (variable === undefined) return problem;
  const {expected, found} = problem;
  return {place: variable[0], expected, found};
}

function checkSettings(file: SettingsFile): readonly Problem[] {
  const problems: Problem[] = [];
  const {peers, callers, operators} = file;
  const isWildcard = /^(0\.0\.0\.0|\[::\]):/;
  if (peers.advertise === undefined && isWildcard.test(peers.listen)) {
    problems.push({
      place: 'peers.advertise',
      expected: 'the address that other routers reach this one at',
      found: 'nothing',
    });
  }
  if (peers.advertise !== undefined && isWildcard.test(peers.advertise)) {
    problems.push({
      place: 'peers.advertise',
      expected: 'one address, which other routers can reach',
      found: describeValue(peers.advertise),
    });
  }
  // The operators' interface must never stand open to callers.
  const isShared = operators.listen === callers.listen;
  if (isShared && !callers.listen.endsWith(':0')) {
    problems.push({
      place: 'operators.listen',
      expected: 'another address than callers.listen',
      found: describeValue(operators.listen),
    });
  }
  return [...problems, ...findRepeatedTokens(operators.tokens)];
}

function findRepeatedTokens(tokens: readonly OperatorToken[]): Problem[] {
  return tokens.flatMap((token, index) => {
    const first = tokens.findIndex(other => other.sha256 === token.sha256);
    if (first === index) return [];
    const place = `operators.tokens[${index}].sha256`;
    const expected = `another token than that of operators.tokens[${first}]`;
    return [{place, expected, found: 'the same'}];
  });
}

function toSettings(file: SettingsFile): Settings {
  const {router, callers, operators, peers, log, logging} = file;
  return {
    router: {
      host: router.host,
      place: router.place,
      dataCentre: router.data_centre,
    },
    callers,
    operators: {
      listen: operators.listen,
      openMetrics: operators.open_metrics,
      tokens: operators.tokens,
    },
    peers: {
      listen: peers.listen,
      advertise: peers.advertise ?? peers.listen,
    },
    log: {
      address: log.address,
      stream: log.stream,
      timeoutMs: log.timeout_ms,
      retentionMs: log.retention_ms,
    },
    hostList: {
      address: file.host_list.address,
      pollMs: file.host_list.poll_ms,
    },
    logging,
  };
}
