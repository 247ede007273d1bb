import type {CliCommand} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {formatJson} from '../format.js';
import {askRouter, ROUTER_ARGS} from '../quarantine-client.js';

/** `banyandrum readmit CONTENT`: clears a quarantined request. */
export const readmitCommand: CliCommand = {
  description: 'Send a request to servers again under which some ended',
  args: {
    content: {
      type: 'positional',
      required: true,
      description: 'Its content, as `banyandrum quarantine` shows it',
    },
    reason: {
      type: 'string',
      required: true,
      description: 'Why; kept with it as its audit trail',
    },
    ...ROUTER_ARGS,
  },
  async run(args, io) {
    const content = args.text('content');
    const reason = args.text('reason');
    const body = {content, reason};
    const done = await askRouter(args, io, 'POST', '/quarantine/clear', body);
    if (args.flag('json')) io.out(formatJson(done));
    else io.out(`${content} is sent to servers again\n`);
    return EXIT.ok;
  },
};
