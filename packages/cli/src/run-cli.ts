import {readFileSync} from 'node:fs';
import {defineCommand, renderUsage} from 'citty';
import type {CommandDef} from 'citty';
import type {CliCommand, CliIo} from './cli.js';
import {CliError} from './cli.js';
import {attestLostCommand} from './commands/attest-lost.js';
import {checkCommand} from './commands/check.js';
import {diffCommand} from './commands/diff.js';
import {drainCommand} from './commands/drain.js';
import {explainCommand} from './commands/explain.js';
import {historyCommand} from './commands/history.js';
import {logLevelCommand} from './commands/log-level.js';
import {publishCommand} from './commands/publish.js';
import {quarantineCommand} from './commands/quarantine.js';
import {readmitCommand} from './commands/readmit.js';
import {showCommand} from './commands/show.js';
import {statusCommand} from './commands/status.js';
import {watchCommand} from './commands/watch.js';
import {EXIT, EXIT_CODES_HELP} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';
import {plain} from './format.js';
import {parseCommandLine} from './parse-command-line.js';

const COMMANDS: Readonly<Record<string, CliCommand>> = {
  check: checkCommand,
  publish: publishCommand,
  show: showCommand,
  diff: diffCommand,
  history: historyCommand,
  status: statusCommand,
  drain: drainCommand,
  watch: watchCommand,
  'attest-lost': attestLostCommand,
  explain: explainCommand,
  'log-level': logLevelCommand,
  quarantine: quarantineCommand,
  readmit: readmitCommand,
};

const HELP = new Set(['--help', '-h']);
const VERSION = new Set(['--version', '-v']);

/**
 * Runs a command and returns its exit code; never throws. Errors are written to
 * the standard error, one line each.
 *
 * @example
 * ```ts
 * process.exitCode = await runCli(['show', '--json'], io);
 * ```
 */
export async function runCli(
  argv: readonly string[],
  io: CliIo,
): Promise<ExitCode> {
  const [name = '', ...rest] = argv;
  if (HELP.has(name)) return printUsage(null, io);
  if (VERSION.has(name)) {
    io.out(`${readVersion()}\n`);
    return EXIT.ok;
  }
  if (!Object.hasOwn(COMMANDS, name)) {
    const problem = name === '' ? 'no command' : `unknown command ${name}`;
    io.err(`banyandrum: ${plain(problem)}; see banyandrum --help\n`);
    return EXIT.usage;
  }
  if (rest.some(arg => HELP.has(arg))) return printUsage(name, io);
  try {
    const command = COMMANDS[name]!;
    return await command.run(parseCommandLine(command, rest), io);
  } catch (err) {
    return printError(name, err, io);
  }
}

function printError(name: string, err: unknown, io: CliIo): ExitCode {
  const prefix = `banyandrum ${name}: `;
  if (!(err instanceof CliError)) {
    io.err(`${prefix}${plain(String(err))}\n`);
    return EXIT.unavailable;
  }
  for (const line of [err.message, ...err.details]) {
    io.err(`${prefix}${plain(line)}\n`);
  }
  return err.exitCode;
}

async function printUsage(name: string | null, io: CliIo): Promise<ExitCode> {
  const root = toRoot();
  const command = name === null ? null : toDefinition(name);
  const usage =
    command === null
      ? await renderUsage(root)
      : await renderUsage(command, root);
  io.out(`${usage}\n\n${EXIT_CODES_HELP}\n`);
  return EXIT.ok;
}

function toRoot(): CommandDef {
  return defineCommand({
    meta: {
      name: 'banyandrum',
      version: readVersion(),
      description: "The operators' command line",
    },
    subCommands: Object.fromEntries(
      Object.keys(COMMANDS).map(name => [name, toDefinition(name)]),
    ),
  });
}

function toDefinition(name: string): CommandDef {
  const {description, args} = COMMANDS[name]!;
  return defineCommand({meta: {name, description}, args});
}

function readVersion(): string {
  const file = new URL('../package.json', import.meta.url);
  const {version} = JSON.parse(readFileSync(file, 'utf8')) as {
    readonly version: string;
  };
  return version;
}
