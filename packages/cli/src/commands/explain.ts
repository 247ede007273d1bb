import type {CliCommand} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {formatJson, formatTable, plain} from '../format.js';
import {CONNECTION_ARGS, unwrap, withClient} from '../session.js';

/** `banyandrum explain SERVICE KEY`: shows how requests are routed. */
export const explainCommand: CliCommand = {
  description: 'Show where a key is, and why',
  args: {
    service: {type: 'positional', required: true, description: 'A service'},
    key: {type: 'positional', required: true, description: 'A key of it'},
    ...CONNECTION_ARGS,
  },
  async run(args, io) {
    const explained = await withClient(args, io, async client =>
      unwrap(await client.explain(args.text('service'), args.text('key'))),
    );
    if (args.flag('json')) {
      io.out(formatJson(explained));
      return EXIT.ok;
    }
    const {shard, leader, standby, owner} = explained;
    const rows = [
      ['cell', explained.cell],
      ['epoch', String(explained.epoch)],
      ['shard', shard ?? 'unknown'],
      ['leader', leader ?? 'none'],
      ['standby', standby ?? 'none'],
      ['owner', owner ?? 'none'],
    ];
    const steps = explained.steps.map(step => `${plain(step)}\n`);
    io.out(formatTable(rows) + steps.join(''));
    return EXIT.ok;
  },
};
