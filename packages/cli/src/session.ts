import type {ArgsDef} from 'citty';
import {createId} from '@banyandrum/base/ids.js';
import type {Result} from '@banyandrum/base/result.js';
import {parseAddress} from '@banyandrum/base/address.js';
import type {ClientError} from '@banyandrum/operators/call.js';
import type {OperatorsClient} from '@banyandrum/operators/client.js';
import type {CliArgs, CliIo} from './cli.js';
import {CliError} from './cli.js';
import {EXIT, exitCodeOf} from './exit-codes.js';

/** Options of every command that speaks to a router. */
export const CONNECTION_ARGS = {
  operators: {
    type: 'string',
    description: "IP:PORT of a router's interface for operators",
    valueHint: 'BANYANDRUM_OPERATORS',
  },
  token: {
    type: 'string',
    description: 'Your token; others on this machine can read a flag',
    valueHint: 'BANYANDRUM_TOKEN',
  },
  json: {type: 'boolean', description: 'Print JSON'},
} as const satisfies ArgsDef;

/** Options of every command that changes something. */
export const CHANGE_ARGS = {
  reason: {
    type: 'string',
    required: true,
    description: 'Why; goes into the audit trail',
  },
  'change-id': {
    type: 'string',
    description: 'Repeat a change safely under the id that it had',
  },
  ...CONNECTION_ARGS,
} as const satisfies ArgsDef;

/**
 * Runs a task with a client of the router that the options or the environment
 * name, and closes it.
 *
 * @example
 * ```ts
 * const state = await withClient(args, io, async client =>
 *   unwrap(await client.state()),
 * );
 * ```
 */
export async function withClient<T>(
  args: CliArgs,
  io: CliIo,
  task: (client: OperatorsClient) => Promise<T>,
): Promise<T> {
  const address = required(args, io, 'operators', 'BANYANDRUM_OPERATORS');
  const token = required(args, io, 'token', 'BANYANDRUM_TOKEN');
  const parsed = parseAddress(address);
  if (parsed === null || parsed.port === 0) {
    const message = `--operators: expected IP:PORT, found "${address}"`;
    throw new CliError(EXIT.usage, message);
  }
  const client = io.connect(address, token);
  try {
    return await task(client);
  } finally {
    await client.close();
  }
}

/** The value of a router's answer; throws its error as one for the user. */
export function unwrap<T>(result: Result<T, ClientError>): T {
  if (result.ok) return result.val;
  const {kind, detail, problems} = result.val;
  throw new CliError(
    exitCodeOf(result.val),
    `${kind}: ${detail}`,
    problems ?? [],
  );
}

/**
 * The value of the answer to a change. Where it may have been accepted, the
 * error says how to find out, and how to repeat it without doing it twice.
 */
export function unwrapChange<T>(
  result: Result<T, ClientError>,
  changeId: string,
): T {
  if (result.ok || result.val.kind !== 'unknown') return unwrap(result);
  throw new CliError(
    EXIT.unknown,
    `may have been accepted: ${result.val.detail}; ask with ` +
      `"history --change-id ${changeId}", or repeat it with ` +
      `"--change-id ${changeId}"`,
  );
}

/** The id given, or a new one. */
export function changeIdOf(args: CliArgs): string {
  return args.text('change-id') || createId();
}

/** The value of an option, or of the variable that stands in for it. */
export function required(
  args: CliArgs,
  io: CliIo,
  name: string,
  variable: string,
): string {
  const value = args.text(name) || io.env[variable];
  if (value) return value;
  throw new CliError(EXIT.usage, `give --${name} or set ${variable}`);
}
