/**
 * Whether a request that failed may have run on a backend server.
 *
 * - `not-run`: proved. Nothing was written, or the server refused explicitly.
 * - `may-have-run`: bytes were written and no answer proves the outcome.
 * - `ran`: the server executed it, but the answer cannot be given whole.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';
