import {parseArgs} from 'citty';
import type {ArgsDef} from 'citty';
import type {CliArgs, CliCommand} from './cli.js';
import {CliError} from './cli.js';
import {EXIT} from './exit-codes.js';

/**
 * Parses a command's arguments. Unlike the library, it rejects unknown options:
 * if a misspelled `--resaon` were ignored, a change would lack its reason.
 *
 * @example
 * ```ts
 * const args = parseCommandLine(command, ['--reason', 'repair', 'holds-3']);
 * args.text('reason'); // 'repair'
 * ```
 */
export function parseCommandLine(
  command: CliCommand,
  argv: readonly string[],
): CliArgs {
  const parsed = parse(argv, command.args);
  rejectUnknown(parsed, command.args);
  const {_: positionals} = parsed;
  const maxCount = command.maxPositionals ?? countPositionals(command.args);
  if (positionals.length > maxCount) {
    throw usage(`unexpected argument ${positionals[maxCount]}`);
  }
  rejectEmpty(parsed, command.args);
  return {
    positionals,
    text: name => String(parsed[name] ?? ''),
    flag: name => parsed[name] === true,
  };
}

type Parsed = Readonly<Record<string, unknown>> & {
  readonly _: readonly string[];
};

function parse(argv: readonly string[], defs: ArgsDef): Parsed {
  try {
    return parseArgs([...argv], defs);
  } catch (err) {
    throw usage(err instanceof Error ? err.message : String(err));
  }
}

function rejectUnknown(parsed: Parsed, defs: ArgsDef): void {
  const known = new Set(Object.keys(defs).flatMap(key => [key, camel(key)]));
  const unknown = Object.keys(parsed).find(
    key => key !== '_' && !known.has(key),
  );
  if (unknown === undefined) return;
  const dashes = unknown.length === 1 ? '-' : '--';
  throw usage(`unknown option ${dashes}${unknown}`);
}

/** Rejects empty values: the library returns one for an option without it. */
function rejectEmpty(parsed: Parsed, defs: ArgsDef): void {
  for (const [name, def] of Object.entries(defs)) {
    if (def.type === 'boolean' || parsed[name] !== '') continue;
    const label = def.type === 'positional' ? name.toUpperCase() : `--${name}`;
    throw usage(`${label} needs a value`);
  }
}

function countPositionals(defs: ArgsDef): number {
  return Object.values(defs).filter(def => def.type === 'positional').length;
}

function camel(key: string): string {
  return key.replace(/-(.)/g, (_dash, letter: string) => letter.toUpperCase());
}

function usage(message: string): CliError {
  return new CliError(EXIT.usage, message);
}
