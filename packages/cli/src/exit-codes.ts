import type {ClientError} from '@banyandrum/operators/call.js';

/** What the process ends with; stated in `--help` of each command. */
export const EXIT = {
  ok: 0,
  /** Refused: a conflict, invalid content, no such thing, not allowed. */
  refused: 1,
  /** The command line or a file is wrong; nothing was sent. */
  usage: 2,
  /** No answer, or the router cannot do it now; nothing was changed. */
  unavailable: 3,
  /** No answer to a change that may have been accepted. */
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

/** The exit code for a router's error. */
export function exitCodeOf(error: ClientError): ExitCode {
  return EXIT_OF_ERRORS[error.kind];
}
