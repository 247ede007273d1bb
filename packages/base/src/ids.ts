import {randomBytes} from 'node:crypto';

/** `service/index`, such as `holds/0`. */
export type CellId = string;

/**
 * A hash range's index (`'12'`), or a hot key that has a shard of its own
 * (`'k:ward-7'`).
 */
export type ShardId = string;

/** A position in the platform's log. */
export type Offset = number;

/**
 * One lifetime of a router process. A restarted process has lost its state, so
 * it is a new incarnation even at the same host and address.
 */
export interface Incarnation {
  readonly host: string;
  /** `ip:port` that it listens on for other routers. */
  readonly address: string;
  /** Random id, generated at each start. */
  readonly boot: string;
  readonly dataCentre: string;
}

/** A fencing token; ordered by epoch, then by sequence. */
export interface Fence {
  readonly epoch: Offset;
  readonly sequence: number;
}

const ID_BYTES = 8;
const IDS_PER_POOL = 512;

// Random bytes for many ids are generated at once: one call per id took about
// 6 % of the time of a small request at the frontend.
let pool = Buffer.alloc(0);
let poolUsed = 0;

/** A random id of 64 bits, as 16 hexadecimal digits. */
export function createId(): string {
  if (poolUsed === pool.length) {
    pool = randomBytes(ID_BYTES * IDS_PER_POOL);
    poolUsed = 0;
  }
  poolUsed += ID_BYTES;
  return pool.toString('hex', poolUsed - ID_BYTES, poolUsed);
}

/** Negative if `a` is older than `b`, 0 if they are equal. */
export function compareFences(a: Fence, b: Fence): number {
  return a.epoch - b.epoch || a.sequence - b.sequence;
}

/** Whether both are the same lifetime of a process, or both null. */
export function isSameIncarnation(
  a: Incarnation | null,
  b: Incarnation | null,
): boolean {
  if (a === null || b === null) return a === b;
  return a.host === b.host && a.boot === b.boot;
}
