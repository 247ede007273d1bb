import {sleep} from '@banyandrum/base/clock.js';
import type {OperatorsClient} from '@banyandrum/operators/client.js';
import type {WatchEvent} from '@banyandrum/operators/messages.js';
import type {CliArgs, CliCommand, CliIo} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {formatJson, plain} from '../format.js';
import {CONNECTION_ARGS, unwrap, withClient} from '../session.js';

const PAUSE_MS = 1_000;

/** `banyandrum watch`: prints changes as they take effect, until Ctrl-C. */
export const watchCommand: CliCommand = {
  description: 'Print changes as they come into force, until Ctrl-C',
  args: CONNECTION_ARGS,
  async run(args, io) {
    await withClient(args, io, async client => {
      // Fails at once on a wrong token or address; only streams that break later
      // are reopened.
      unwrap(await client.state());
      while (!io.signal.aborted) await follow(client, args, io);
    });
    return EXIT.ok;
  },
};

async function follow(
  client: OperatorsClient,
  args: CliArgs,
  io: CliIo,
): Promise<void> {
  try {
    for await (const event of client.watch(io.signal)) {
      if (event.kind === 'alive') continue;
      io.out(args.flag('json') ? formatJson(event) : formatEvent(event));
    }
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    io.err(`banyandrum watch: ${plain(detail)}; opening it again\n`);
  }
  await sleep(io.clock, PAUSE_MS, io.signal);
}

function formatEvent(event: WatchEvent): string {
  const {at, kind, version, offset, detail} = event;
  const line = `${at} ${kind} version ${version} offset ${offset} ${detail}`;
  return `${plain(line).trimEnd()}\n`;
}
