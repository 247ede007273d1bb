import type {CliCommand} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {formatJson} from '../format.js';
import {CHANGE_ARGS, changeIdOf, unwrapChange, withClient} from '../session.js';

/** `banyandrum attest-lost HOST`: declares a host lost for good. */
export const attestLostCommand: CliCommand = {
  description:
    'Give your word that the router process on a host is gone for good. ' +
    'If it is not, two routers may lead one cell: keys get two owners',
  args: {
    host: {
      type: 'positional',
      required: true,
      description: "Name of the router's host",
    },
    boot: {
      type: 'string',
      description: 'Its run, as in "status --json"; else the last one known',
    },
    ...CHANGE_ARGS,
  },
  async run(args, io) {
    const host = args.text('host');
    const boot = args.text('boot');
    const changeId = changeIdOf(args);
    const request = {changeId, host, reason: args.text('reason')};
    const accepted = await withClient(args, io, async client =>
      unwrapChange(
        await client.attest(boot === '' ? request : {...request, boot}),
        changeId,
      ),
    );
    if (args.flag('json')) io.out(formatJson(accepted));
    else io.out(`${host} counts as lost, change ${accepted.changeId}\n`);
    return EXIT.ok;
  },
};
