/**
 * Results of calls that can fail, from `ts-results`.
 *
 * ES modules can't see the named exports of the library's CommonJS build, so a
 * direct named import fails at load time. All packages import from this module
 * instead.
 */
import tsResults from 'ts-results';

export type {Result} from 'ts-results';

export const Ok = tsResults.Ok;
export const Err = tsResults.Err;
