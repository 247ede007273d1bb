import type {CliCommand} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {formatJson} from '../format.js';
import {CHANGE_ARGS, changeIdOf, unwrapChange, withClient} from '../session.js';

/** `banyandrum drain NAME`: drains a server, or ends its drain. */
export const drainCommand: CliCommand = {
  description: 'Take a server or a router out of use, or back into it (--off)',
  args: {
    name: {
      type: 'positional',
      required: true,
      description: 'Name of a server or of a router host',
    },
    off: {type: 'boolean', description: 'End the drain'},
    ...CHANGE_ARGS,
  },
  async run(args, io) {
    const target = args.text('name');
    const draining = !args.flag('off');
    const changeId = changeIdOf(args);
    const reason = args.text('reason');
    const accepted = await withClient(args, io, async client =>
      unwrapChange(
        await client.drain({changeId, target, draining, reason}),
        changeId,
      ),
    );
    const done = draining ? 'is drained' : 'is in use again';
    if (args.flag('json')) io.out(formatJson(accepted));
    else io.out(`${target} ${done}, change ${accepted.changeId}\n`);
    return EXIT.ok;
  },
};
