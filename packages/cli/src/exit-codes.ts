import type {ClientError} from '@banyandrum/operators/call.js';

/** Exit codes of the process, listed in the `--help` of each command. */
export const EXIT = {
  ok: 0,
  /** Rejected: a conflict, invalid content, not found, or not permitted. */
  refused: 1,
  /** The command line or a file is invalid; nothing was sent. */
  usage: 2,
  /** No response, or the router is unable to at present; nothing changed. */
  unavailable: 3,
  /** No response to a change, which may have been accepted. */
  unknown: 4,
} as const;

export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

export const EXIT_CODES_HELP =
  'Exit codes: 0 done, 1 refused or conflict, 2 usage or bad file, ' +
  '3 unavailable, 4 may have been accepted.';

const EXIT_OF_ERRORS: Readonly<Record<ClientError['kind'], ExitCode>> = {
  invalid: EXIT.refused,
  conflict: EXIT.refused,
  'not-found': EXIT.refused,
  forbidden: EXIT.refused,
  unauthorised: EXIT.refused,
  'too-large': EXIT.refused,
  'bad-request': EXIT.usage,
  unavailable: EXIT.unavailable,
  internal: EXIT.unavailable,
  unknown: EXIT.unknown,
};

/** Returns the exit code for an error that a router responded with. */
export function exitCodeOf(error: ClientError): ExitCode {
  return EXIT_OF_ERRORS[error.kind];
}
