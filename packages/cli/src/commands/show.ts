import type {
  PublicationMessage,
  StateMessage,
} from '@banyandrum/operators/messages.js';
import type {CliCommand} from '../cli.js';
import {CliError} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {formatAge, formatJson, formatTable} from '../format.js';
import {CONNECTION_ARGS, unwrap, withClient} from '../session.js';

/** `banyandrum show`: prints the publication in force on a router. */
export const showCommand: CliCommand = {
  description: 'Show what is in force on the router asked',
  args: {
    inventory: {type: 'boolean', description: 'Print the inventory, TOML'},
    rules: {type: 'boolean', description: 'Print the rules, TOML'},
    ...CONNECTION_ARGS,
  },
  async run(args, io) {
    const wantsInventory = args.flag('inventory');
    const wantsRules = args.flag('rules');
    if (wantsInventory && wantsRules) {
      const message = 'give --inventory or --rules, not both';
      throw new CliError(EXIT.usage, message);
    }
    await withClient(args, io, async client => {
      if (!wantsInventory && !wantsRules) {
        const state = unwrap(await client.state());
        io.out(args.flag('json') ? formatJson(state) : formatState(state));
        return;
      }
      const publication = unwrap(await client.publication());
      if (args.flag('json')) io.out(formatJson(publication));
      else io.out(textOf(publication, wantsRules));
    });
    return EXIT.ok;
  },
};

function formatState(state: StateMessage): string {
  const {publication, drains} = state;
  const rows = [['version', String(state.version)]];
  if (publication !== null) {
    rows.push(['author', publication.author]);
    rows.push(['reason', publication.reason]);
    rows.push(['published', publication.publishedAt]);
    rows.push(['change', publication.changeId]);
  }
  const age = state.confirmedAgeMs;
  rows.push(['log read', age === null ? 'never' : `${formatAge(age)} ago`]);
  rows.push(['drains', drains.join(', ') || 'none']);
  return formatTable(rows);
}

/** Returns the file as published, with a newline at its end. */
function textOf(publication: PublicationMessage, wantsRules: boolean): string {
  const {inventoryToml, rulesToml} = publication;
  const text = wantsRules ? rulesToml : inventoryToml;
  return text.endsWith('\n') ? text : `${text}\n`;
}
