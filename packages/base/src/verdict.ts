/**
 * Whether a failed request may have been executed by a backend server.
 *
 * - `not-run`: certainly not. Nothing was written to a server, or the server
 *   refused it explicitly.
 * - `may-have-run`: bytes were written, and no response shows the outcome.
 * - `ran`: the server executed it, but its response can't be delivered
 *   completely.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';
