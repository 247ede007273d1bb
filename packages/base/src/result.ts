/**
 * Results of calls that can fail, from `ts-results`.
 *
 * The library's CommonJS build hides its named exports from ES modules, so
 * that a direct named import fails at load time; every package imports them
 * from here.
 */
import tsResults from 'ts-results';

export type {Result} from 'ts-results';

export const Ok = tsResults.Ok;
export const Err = tsResults.Err;
