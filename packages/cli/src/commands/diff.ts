import {parseInventory} from '@banyandrum/config/parse-inventory.js';
import {DEFAULT_RULES} from '@banyandrum/config/default-rules.js';
import {parseRules} from '@banyandrum/config/parse-rules.js';
import {diffPublications, formatChange} from '@banyandrum/config/diff.js';
import type {DiffSide} from '@banyandrum/config/diff.js';
import type {OperatorsClient} from '@banyandrum/operators/client.js';
import type {CliCommand} from '../cli.js';
import {CliError} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {FILE_ARGS, readFiles} from '../files.js';
import {formatJson, plain} from '../format.js';
import {CONNECTION_ARGS, unwrap, withClient} from '../session.js';

/** The publication in force, with its version. */
interface InForce extends DiffSide {
  readonly version: number;
}

/** `banyandrum diff`: shows what publishing the files would change. */
export const diffCommand: CliCommand = {
  description: 'Show what publishing the files would change',
  args: {...FILE_ARGS, ...CONNECTION_ARGS},
  async run(args, io) {
    const inForce = await withClient(args, io, readInForce);
    const {version} = inForce;
    const files = await readFiles(args, io, inForce.inventory.services);
    const changes = diffPublications(inForce, files);
    if (args.flag('json')) {
      io.out(formatJson({version, changes}));
      return EXIT.ok;
    }
    const lines = changes.map(change => `${plain(formatChange(change))}\n`);
    io.out(`against version ${version}\n${lines.join('') || 'no change\n'}`);
    return EXIT.ok;
  },
};

async function readInForce(client: OperatorsClient): Promise<InForce> {
  const result = await client.publication();
  if (result.err && result.val.kind === 'not-found') {
    const inventory = {places: [], services: [], servers: []};
    return {version: 0, inventory, rules: DEFAULT_RULES};
  }
  const {version, inventoryToml, rulesToml} = unwrap(result);
  const inventory = parseInventory(inventoryToml);
  const rules = parseRules(rulesToml);
  if (inventory.ok && rules.ok) {
    return {version, inventory: inventory.val, rules: rules.val};
  }
  throw new CliError(
    EXIT.refused,
    `version ${version} cannot be read: it is of another release`,
  );
}
