import type {AuditMessage} from '@banyandrum/operators/messages.js';
import type {CliArgs, CliCommand} from '../cli.js';
import {CliError} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {formatJson, formatTable} from '../format.js';
import {CONNECTION_ARGS, unwrap, withClient} from '../session.js';

const MAX_LIMIT = 1_000;

/** `banyandrum history`: shows the audit trail, or one change's outcome. */
export const historyCommand: CliCommand = {
  description: 'Show the audit trail: who, when, what, why; the newest first',
  args: {
    limit: {
      type: 'string',
      default: '20',
      description: `How many entries, 1 to ${MAX_LIMIT}`,
    },
    'change-id': {
      type: 'string',
      description: 'Show what became of this change alone',
    },
    ...CONNECTION_ARGS,
  },
  async run(args, io) {
    const limit = limitOf(args);
    const changeId = args.text('change-id');
    const entries = await withClient(args, io, async client => {
      if (changeId !== '') return [unwrap(await client.change(changeId))];
      return unwrap(await client.history(limit)).entries;
    });
    io.out(args.flag('json') ? formatJson({entries}) : formatEntries(entries));
    return EXIT.ok;
  },
};

function limitOf(args: CliArgs): number {
  const text = args.text('limit');
  const limit = Number(text);
  if (/^\d+$/.test(text) && limit >= 1 && limit <= MAX_LIMIT) return limit;
  const message = `--limit: expected 1 to ${MAX_LIMIT}, found "${text}"`;
  throw new CliError(EXIT.usage, message);
}

function formatEntries(entries: readonly AuditMessage[]): string {
  const head = ['OFFSET', 'WHEN', 'WHO', 'WHAT', 'OUTCOME', 'WHY', 'CHANGE'];
  const rows = entries.map(entry => [
    String(entry.offset),
    entry.at,
    entry.author,
    entry.kind,
    entry.detail === '' ? entry.outcome : `${entry.outcome}: ${entry.detail}`,
    entry.reason,
    entry.changeId,
  ]);
  return formatTable([head, ...rows]);
}
