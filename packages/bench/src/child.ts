import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

/** A process of the deployment under test. */
export interface Child {
  readonly name: string;
  readonly pid: number;
  /** The first line that it printed, parsed as JSON. */
  readonly hello: unknown;
  /** Sends a signal; SIGSTOP and SIGCONT pause it and let it go on. */
  signal(signal: NodeJS.Signals): void;
  /** Resolves with its exit code, or null where a signal ended it. */
  readonly exited: Promise<number | null>;
}

export interface ChildOptions {
  readonly name: string;
  /** The compiled script and its arguments. */
  readonly args: readonly string[];
  /** Where its log lines go; dropped by default. */
  readonly onLog?: (line: string) => void;
}

/**
 * Starts a Node process and waits for the line by which it tells its
 * addresses.
 *
 * @throws Error where it ends before that line.
 *
 * @example
 * ```ts
 * const log = await startChild({name: 'log', args: [RUN_LOG]});
 * ```
 */
export async function startChild(options: ChildOptions): Promise<Child> {
  const child = spawn(process.execPath, [...options.args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const exited = once(child, 'exit').then(([code]) => code as number | null);
  const lastLines: string[] = [];
  createInterface({input: child.stderr!}).on('line', line => {
    lastLines.push(line);
    if (lastLines.length > 20) lastLines.shift();
    options.onLog?.(line);
  });
  const line = await firstLine(child, exited);
  if (line === null) {
    throw new Error(`${options.name} ended at once: ${lastLines.join('\n')}`);
  }
  return {
    name: options.name,
    pid: child.pid!,
    hello: JSON.parse(line) as unknown,
    signal: signal => void child.kill(signal),
    exited,
  };
}

async function firstLine(
  child: ChildProcess,
  exited: Promise<number | null>,
): Promise<string | null> {
  const lines = createInterface({input: child.stdout!});
  const line = once(lines, 'line').then(([text]) => text as string);
  return Promise.race([line, exited.then(() => null)]);
}
