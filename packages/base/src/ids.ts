import {randomBytes} from 'node:crypto';

/** `service/index`, such as `holds/0`. */
export type CellId = string;

/** A hash range's index (`'12'`), or a hot key on its own (`'k:ward-7'`). */
export type ShardId = string;

/** A position in the platform's log. */
export type Offset = number;

/**
 * One run of a router process. A restarted process remembers nothing, so it
 * counts as another, though its host and address are the same.
 */
export interface Incarnation {
  readonly host: string;
  /** `ip:port` of its interface for other routers. */
  readonly address: string;
  /** Random for each run. */
  readonly boot: string;
  readonly dataCentre: string;
}

/** A fencing token; compared by epoch, then by sequence. */
export interface Fence {
  readonly epoch: Offset;
  readonly sequence: number;
}

const ID_BYTES = 8;
const IDS_PER_POOL = 512;

// One call for many ids: a call for each took some 6 % of the time of a
// small request at the callers' interface.
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

/** Below 0 where `a` is older than `b`, 0 where equal. */
export function compareFences(a: Fence, b: Fence): number {
  return a.epoch - b.epoch || a.sequence - b.sequence;
}

/** Whether both name the same run of a process. */
export function isSameIncarnation(
  a: Incarnation | null,
  b: Incarnation | null,
): boolean {
  if (a === null || b === null) return a === b;
  return a.host === b.host && a.boot === b.boot;
}
