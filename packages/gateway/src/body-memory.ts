import type {Clock} from '@banyandrum/base/clock.js';

/** The memory that the bodies of callers' requests take together. */
export interface BodyMemory {
  /**
   * Starts to count a body that is being received. `evict` must end its reading
   * and release its memory.
   */
  open(evict: () => void): BodyHolding;
  heldBytes(): number;
  /** Number of bodies that were refused or evicted since the start. */
  refused(): number;
}

/** The memory of one body. */
export interface BodyHolding {
  /** Counts bytes of a body that takes `bodyBytes` so far; false if too many. */
  tryHold(bytes: number, bodyBytes: number): boolean;
  /** The body was received whole: it is held until it is released. */
  complete(): void;
  /** Ends the count; further calls do nothing. */
  release(): void;
}

interface Holding {
  readonly openedAt: number;
  /** What counts towards the limit. */
  bytes: number;
  isLarge: boolean;
  isComplete: boolean;
  evict(): void;
}

/** Larger bodies leave a part of the memory to smaller ones, in bytes. */
const SMALL_BODY_BYTES = 256 * 1024;
/** Part of the memory that larger bodies may take. */
const LARGE_BODIES_SHARE = 0.75;
/** Bodies that are received for a shorter time, in ms, are not evicted. */
const MIN_EVICTED_AGE_MS = 500;

/**
 * Limits the memory of all bodies together, since each is held until its request
 * ends. A few large ones would otherwise end the process, with all that it does
 * for other callers. A large body is held whatever its size while there is no
 * other one, and then counts as large bodies may together.
 *
 * Where there is no room, the bodies that arrive slowest give up theirs. Callers
 * that stop short of the end of their bodies would otherwise keep all others
 * from sending theirs.
 *
 * @example
 * ```ts
 * const bodies = createBodyMemory(64 * 1024 ** 2, clock);
 * const holding = bodies.open(giveUp);
 * if (!holding.tryHold(chunk.length, size)) refuse();
 * ```
 */
export function createBodyMemory(
  maxBytes: number,
  clock: Pick<Clock, 'now'>,
): BodyMemory {
  const maxLargeBytes = maxBytes * LARGE_BODIES_SHARE;
  const holdings = new Set<Holding>();
  let held = 0;
  let largeCount = 0;
  let refused = 0;

  const bytesPerMs = ({bytes, openedAt}: Holding): number =>
    bytes / (clock.now() - openedAt);

  const isEvictable = ({isComplete, bytes, openedAt}: Holding): boolean =>
    !isComplete && bytes > 0 && clock.now() - openedAt >= MIN_EVICTED_AGE_MS;

  /** Evicts the slowest others if that makes enough room. */
  const makeRoom = (needed: number, self: Holding): boolean => {
    const candidates = [...holdings]
      .filter(holding => holding !== self && isEvictable(holding))
      .sort((a, b) => bytesPerMs(a) - bytesPerMs(b));
    const evicted: Holding[] = [];
    let room = 0;
    for (const holding of candidates) {
      if (room >= needed) break;
      evicted.push(holding);
      room += holding.bytes;
    }
    if (room < needed) return false;
    refused += evicted.length;
    for (const {evict} of evicted) evict();
    return true;
  };

  return {
    open(evict) {
      const holding: Holding = {
        ...{openedAt: clock.now(), bytes: 0},
        ...{isLarge: false, isComplete: false, evict},
      };
      holdings.add(holding);
      const noteLarge = (isLarge: boolean): void => {
        if (holding.isLarge === isLarge) return;
        holding.isLarge = isLarge;
        largeCount += isLarge ? 1 : -1;
      };
      const hold = (bytes: number): true => {
        holding.bytes += bytes;
        held += bytes;
        return true;
      };
      return {
        tryHold(bytes, bodyBytes) {
          noteLarge(bodyBytes > SMALL_BODY_BYTES);
          const {isLarge} = holding;
          if (isLarge && largeCount === 1)
            return hold(Math.min(bytes, maxLargeBytes - holding.bytes));
          const excess = held + bytes - (isLarge ? maxLargeBytes : maxBytes);
          if (excess <= 0 || makeRoom(excess, holding)) return hold(bytes);
          refused++;
          return false;
        },
        complete() {
          holding.isComplete = true;
        },
        release() {
          holdings.delete(holding);
          noteLarge(false);
          held -= holding.bytes;
          holding.bytes = 0;
        },
      };
    },
    heldBytes: () => held,
    refused: () => refused,
  };
}
