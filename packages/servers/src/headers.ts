/** The headers of the protocol towards backend servers. */
export const REQUEST_ID = 'banyandrum-request-id';
export const CELL = 'banyandrum-cell';
export const SHARD = 'banyandrum-shard';
export const FENCE = 'banyandrum-fence';
export const DEADLINE = 'banyandrum-deadline';
export const START_BY = 'banyandrum-start-by';
export const ONCE = 'banyandrum-once';
export const VERDICT = 'banyandrum-verdict';
export const RETRY_AFTER_MS = 'retry-after-ms';

/** Prefix of the product's headers, which callers can't set or see. */
export const OWN_PREFIX = 'banyandrum-';

/** Paths of lease orders and load requests. */
export const LEASE_PATH = '/control/v1/lease';
export const LOAD_PATH = '/control/v1/load';
