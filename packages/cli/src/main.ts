import {readFile} from 'node:fs/promises';
import {stripVTControlCharacters} from 'node:util';
import {createClock} from '@banyandrum/base/clock.js';
import {createOperatorsClient} from '@banyandrum/operators/client.js';
import {runCli} from './run-cli.js';

/**
 * Runs the command given by the process arguments and sets the exit code.
 *
 * @example
 * ```ts
 * await main();
 * ```
 */
export async function main(
  argv: readonly string[] = process.argv.slice(2),
): Promise<void> {
  const stopping = new AbortController();
  // Only `watch` handles interrupts; other commands terminate at once.
  if (argv[0] === 'watch') {
    process.once('SIGINT', () => stopping.abort());
    process.once('SIGTERM', () => stopping.abort());
  }
  // A reader such as `head` may close the pipe early, which is not an error.
  process.stdout.on('error', () => process.exit());
  process.exitCode = await runCli(argv, {
    out: text => write(process.stdout, text),
    err: text => write(process.stderr, text),
    env: process.env,
    signal: stopping.signal,
    clock: createClock(),
    readFile: path => readFile(path),
    connect: (address, token) => createOperatorsClient({address, token}),
    fetch,
  });
}

function write(stream: NodeJS.WriteStream, text: string): void {
  stream.write(stream.isTTY ? text : stripVTControlCharacters(text));
}
