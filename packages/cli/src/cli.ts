import type {ArgsDef} from 'citty';
import type {Clock} from '@banyandrum/base/clock.js';
import type {OperatorsClient} from '@banyandrum/operators/client.js';
import type {ExitCode} from './exit-codes.js';

/** The world outside the process, so that tests can stand in for it. */
export interface CliIo {
  /** Writes to the standard output. */
  readonly out: (text: string) => void;
  /** Writes to the standard error. */
  readonly err: (text: string) => void;
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Aborted when the user stops the command. */
  readonly signal: AbortSignal;
  readonly clock: Clock;
  readonly readFile: (path: string) => Promise<Uint8Array>;
  readonly connect: (address: string, token: string) => OperatorsClient;
  readonly fetch: typeof fetch;
}

/** A command line, parsed and checked. */
export interface CliArgs {
  readonly positionals: readonly string[];
  /** Empty where it was left out and has no default. */
  text(name: string): string;
  flag(name: string): boolean;
}

/** One command of the binary. */
export interface CliCommand {
  readonly description: string;
  readonly args: ArgsDef;
  /** How many positionals it takes at most; as declared where absent. */
  readonly maxPositionals?: number;
  run(args: CliArgs, io: CliIo): Promise<ExitCode>;
}

/** Something the user can put right; ends the command with one line. */
export class CliError extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
    /** Further lines, one for each problem. */
    readonly details: readonly string[] = [],
  ) {
    super(message);
    this.name = 'CliError';
  }
}
