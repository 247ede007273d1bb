import type {CliArgs, CliCommand} from '../cli.js';
import {CliError} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {FILE_ARGS, readFiles} from '../files.js';
import {formatJson} from '../format.js';
import {CHANGE_ARGS, changeIdOf, unwrapChange, withClient} from '../session.js';

/** `banyandrum publish`: replaces inventory and rules. */
export const publishCommand: CliCommand = {
  description: 'Publish an inventory and rules',
  args: {
    ...FILE_ARGS,
    'based-on': {
      type: 'string',
      required: true,
      description: 'The version it is based on, of "show"; 0 for the first',
      valueHint: 'VERSION',
    },
    ...CHANGE_ARGS,
  },
  async run(args, io) {
    const basedOn = versionOf(args);
    const {inventoryToml, rulesToml} = await readFiles(args, io);
    const changeId = changeIdOf(args);
    const reason = args.text('reason');
    const accepted = await withClient(args, io, async client =>
      unwrapChange(
        await client.publish({
          changeId,
          basedOn,
          reason,
          inventoryToml,
          rulesToml,
        }),
        changeId,
      ),
    );
    if (args.flag('json')) io.out(formatJson(accepted));
    else io.out(`version ${accepted.offset}, change ${accepted.changeId}\n`);
    return EXIT.ok;
  },
};

function versionOf(args: CliArgs): number {
  const text = args.text('based-on');
  if (/^\d{1,15}$/.test(text)) return Number(text);
  const message = `--based-on: expected a version, found "${text}"`;
  throw new CliError(EXIT.usage, message);
}
