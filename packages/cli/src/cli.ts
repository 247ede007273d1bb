import type {ArgsDef} from 'citty';
import type {Clock} from '@banyandrum/base/clock.js';
import type {OperatorsClient} from '@banyandrum/operators/client.js';
import type {ExitCode} from './exit-codes.js';

/** Access to everything outside of the command, replaced by tests. */
export interface CliIo {
  /** Writes to the standard output. */
  readonly out: (text: string) => void;
  /** Writes to the standard error. */
  readonly err: (text: string) => void;
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Aborts when the user interrupts the command. */
  readonly signal: AbortSignal;
  readonly clock: Clock;
  readonly readFile: (path: string) => Promise<Uint8Array>;
  readonly connect: (address: string, token: string) => OperatorsClient;
  readonly fetch: typeof fetch;
}

/** The parsed and validated arguments of a command. */
export interface CliArgs {
  readonly positionals: readonly string[];
  /** Returns the value of an option; empty if it is absent without a default. */
  text(name: string): string;
  flag(name: string): boolean;
}

/** A subcommand of the binary. */
export interface CliCommand {
  readonly description: string;
  readonly args: ArgsDef;
  /** Maximum number of positionals; by default those declared in `args`. */
  readonly maxPositionals?: number;
  run(args: CliArgs, io: CliIo): Promise<ExitCode>;
}

/** An error that the user can correct, reported on one line. */
export class CliError extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
    /** Further problems, one per line. */
    readonly details: readonly string[] = [],
  ) {
    super(message);
    this.name = 'CliError';
  }
}
