import {LOG_LEVELS} from '@banyandrum/base/logger.js';
import type {LogLevel} from '@banyandrum/base/logger.js';
import type {CliCommand} from '../cli.js';
import {CliError} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {formatJson} from '../format.js';
import {CONNECTION_ARGS, unwrap, withClient} from '../session.js';

/** `banyandrum log-level LEVEL`: sets a router's log level until it exits. */
export const logLevelCommand: CliCommand = {
  description: 'Change the log level of the router asked, until it ends',
  args: {
    level: {
      type: 'positional',
      required: true,
      description: `One of ${LOG_LEVELS.join(', ')}`,
    },
    ...CONNECTION_ARGS,
  },
  async run(args, io) {
    const level = toLevel(args.text('level'));
    const set = await withClient(args, io, async client =>
      unwrap(await client.setLogLevel(level)),
    );
    if (args.flag('json')) io.out(formatJson(set));
    else io.out(`log level ${set.level}\n`);
    return EXIT.ok;
  },
};

function toLevel(text: string): LogLevel {
  const level = LOG_LEVELS.find(one => one === text);
  if (level !== undefined) return level;
  const message = `LEVEL: expected one of ${LOG_LEVELS.join(', ')}`;
  throw new CliError(EXIT.usage, `${message}, found "${text}"`);
}
