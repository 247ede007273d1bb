import type {ArgsDef} from 'citty';
import {createId} from '@banyandrum/base/ids.js';
import type {Result} from '@banyandrum/base/result.js';
import {parseAddress} from '@banyandrum/base/address.js';
import type {ClientError} from '@banyandrum/operators/call.js';
import type {OperatorsClient} from '@banyandrum/operators/client.js';
import type {CliArgs, CliIo} from './cli.js';
import {CliError} from './cli.js';
import {EXIT, exitCodeOf} from './exit-codes.js';

/** Options of every command that connects to a router. */
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

/** Options of every command that makes a change. */
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
 * Runs a task with a client of the router given by the options or the
 * environment, then closes the client.
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

/** Returns the value of a router's response; throws a `CliError` for an error. */
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
 * Returns the value of the response to a change. If the change may have been
 * accepted, the error explains how to check that, and how to retry it so that it
 * is applied once.
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

/** Returns the id given by the user, or a new one. */
export function changeIdOf(args: CliArgs): string {
  return args.text('change-id') || createId();
}

/** Returns the value of an option, or of the corresponding variable. */
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
