import {checkPublication} from '@banyandrum/config/check-publication.js';
import type {
  CheckedPublication,
  PublicationFiles,
} from '@banyandrum/config/check-publication.js';
import type {Service} from '@banyandrum/config/inventory.js';
import {formatProblem} from '@banyandrum/config/problem.js';
import type {Problem} from '@banyandrum/config/problem.js';
import type {CliArgs, CliIo} from './cli.js';
import {CliError} from './cli.js';
import {EXIT} from './exit-codes.js';

/** The validated files of a publication, with their contents. */
export interface ReadFiles extends CheckedPublication {
  readonly inventoryToml: string;
  readonly rulesToml: string;
}

/** Options for the paths of a publication's files. */
export const FILE_ARGS = {
  inventory: {
    type: 'string',
    required: true,
    description: 'The inventory, TOML',
    valueHint: 'FILE',
  },
  rules: {
    type: 'string',
    required: true,
    description: 'The rules, TOML',
    valueHint: 'FILE',
  },
} as const;

/** Reads a file; throws a `CliError` if that fails. */
export async function readInput(io: CliIo, path: string): Promise<Uint8Array> {
  try {
    return await io.readFile(path);
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    throw new CliError(EXIT.usage, `${path}: cannot be read: ${detail}`);
  }
}

/**
 * Reads and validates the files given by the options.
 *
 * @example
 * ```ts
 * const files = await readFiles(args, io, inForce.inventory.services);
 * ```
 */
export async function readFiles(
  args: CliArgs,
  io: CliIo,
  known: readonly Service[] = [],
): Promise<ReadFiles> {
  const names = {
    inventory: args.text('inventory'),
    rules: args.text('rules'),
  };
  const inventoryToml = await readInput(io, names.inventory);
  const rulesToml = await readInput(io, names.rules);
  const checked = checkFiles({inventoryToml, rulesToml}, names, known);
  return {
    ...checked,
    inventoryToml: new TextDecoder().decode(inventoryToml),
    rulesToml: new TextDecoder().decode(rulesToml),
  };
}

/** Validates both files; problems are reported with the files' paths. */
export function checkFiles(
  files: PublicationFiles,
  names: Readonly<Record<'inventory' | 'rules', string>>,
  known: readonly Service[],
): CheckedPublication {
  const checked = checkPublication(files, known);
  if (checked.ok) return checked.val;
  const toName = (file?: string): string =>
    file === 'rules' ? names.rules : names.inventory;
  throw problemsError(
    checked.val.map(problem => ({...problem, file: toName(problem.file)})),
  );
}

/** Returns an error with the first problem as its message. */
export function problemsError(problems: readonly Problem[]): CliError {
  const [first = '', ...others] = problems.map(formatProblem);
  return new CliError(EXIT.usage, first, others);
}
