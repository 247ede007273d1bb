import {inFile} from '@banyandrum/config/problem.js';
import type {Problem} from '@banyandrum/config/problem.js';
import {parseInventory} from '@banyandrum/config/parse-inventory.js';
import {parseRules} from '@banyandrum/config/parse-rules.js';
import {readToml} from '@banyandrum/config/read-toml.js';
import {warningsOf} from '@banyandrum/config/warnings.js';
import type {Warning} from '@banyandrum/config/warnings.js';
import {parseSettings} from '@banyandrum/config/settings.js';
import type {Result} from '@banyandrum/base/result.js';
import type {CliCommand} from '../cli.js';
import {CliError} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {checkFiles, problemsError, readInput} from '../files.js';

type FileKind = 'settings' | 'inventory' | 'rules';

interface CheckedFile {
  readonly path: string;
  readonly kind: FileKind;
  readonly data: Uint8Array;
}

const PARSERS: Readonly<
  Record<FileKind, (data: Uint8Array) => Result<unknown, readonly Problem[]>>
> = {settings: parseSettings, inventory: parseInventory, rules: parseRules};

/** Top-level keys by which the kind of a file is recognized. */
const TELLING_KEYS: readonly (readonly [FileKind, readonly string[]])[] = [
  ['inventory', ['places', 'services', 'servers']],
  ['rules', ['precedence', 'operations', 'placement', 'limits', 'timing']],
  ['settings', ['router', 'callers', 'operators', 'peers', 'log', 'host_list']],
];

/** `banyandrum check FILES`: validates files without a router. */
export const checkCommand: CliCommand = {
  description:
    'Check files of settings, inventory and rules; the last two, given ' +
    'together, also against each other',
  args: {
    files: {type: 'positional', required: true, description: 'TOML files'},
  },
  maxPositionals: Infinity,
  async run(args, io) {
    const files: CheckedFile[] = [];
    for (const path of args.positionals) {
      files.push(toFile(path, await readInput(io, path)));
    }
    const problems = files.flatMap(checkFile);
    if (problems.length > 0) throw problemsError(problems);
    for (const {service, detail} of checkTogether(files)) {
      io.err(`warning: service ${service}: ${detail}\n`);
    }
    for (const {path, kind} of files) io.out(`${path}: ${kind} ok\n`);
    return EXIT.ok;
  },
};

function toFile(path: string, data: Uint8Array): CheckedFile {
  const read = readToml(data);
  if (read.err) throw problemsError(inFile(path, read.val));
  const keys = Object.keys(read.val.table);
  const kind = TELLING_KEYS.find(([, telling]) =>
    telling.some(key => keys.includes(key)),
  );
  if (kind !== undefined) return {path, kind: kind[0], data};
  const message = `${path}: no settings, inventory or rules`;
  throw new CliError(EXIT.usage, message);
}

function checkFile({path, kind, data}: CheckedFile): readonly Problem[] {
  const parsed = PARSERS[kind](data);
  return parsed.err ? inFile(path, parsed.val) : [];
}

function checkTogether(files: readonly CheckedFile[]): readonly Warning[] {
  const inventories = files.filter(({kind}) => kind === 'inventory');
  const rules = files.filter(({kind}) => kind === 'rules');
  const [inventory] = inventories;
  const [rulesFile] = rules;
  if (inventory === undefined || rulesFile === undefined) return [];
  if (inventories.length > 1 || rules.length > 1) return [];
  const checked = checkFiles(
    {inventoryToml: inventory.data, rulesToml: rulesFile.data},
    {inventory: inventory.path, rules: rulesFile.path},
    [],
  );
  return warningsOf(checked);
}
