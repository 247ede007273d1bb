import {
  DIGEST_SCOPES,
  type ContentDigests,
  type DigestScope,
} from './content-digests.js';

/** A crash of a server instance while it ran the request. */
export interface Strike {
  /** Id of the server instance. */
  readonly server: string;
  /**
   * Whether the request was sent as a trial: it was already suspected, and no
   * other suspected request was at the server.
   */
  readonly isTrial: boolean;
  /**
   * The request's digest in the next narrower scope; empty in the narrowest.
   */
  readonly by: string;
}

/** Record of why a suspected or quarantined request was cleared. */
export interface Clearing {
  /** `answered`, or the name of the operator. */
  readonly by: string;
  readonly reason: string;
  /** Wall-clock time, in ms since 1970. */
  readonly at: number;
}

/** Row for one digest of a request that may have crashed servers. */
export interface Suspect {
  /** One of the request's content digests, and its scope. */
  readonly content: string;
  readonly scope: DigestScope;
  /** Widest digest of the request; the same in all its rows. */
  readonly family: string;
  readonly caller: string;
  readonly service: string;
  readonly route: string;
  /** Number of times it was cleared; strikes of earlier rounds are void. */
  readonly round: number;
  readonly strikes: readonly Strike[];
  /** Whether it is refused until it is cleared. */
  readonly isQuarantined: boolean;
  readonly cleared: Clearing | null;
}

/** Whether a request is believed to crash servers. */
export type Standing = 'unknown' | 'suspected' | 'quarantined';

/** A request that was at a server instance when it crashed. */
export interface StruckRequest {
  readonly contents: ContentDigests;
  readonly caller: string;
  readonly service: string;
  readonly route: string;
}

/** Fields of a row that don't change. */
type SuspectIdentity = Omit<
  Suspect,
  'round' | 'strikes' | 'isQuarantined' | 'cleared'
>;

/** Maximum number of strikes that a row keeps. */
const MAX_STRIKES = 16;

/**
 * Rows with fewer strikes aren't sent to all routers. Each request at a crashed
 * server gets a strike, and nearly all are cleared when they are retried. If 80
 * of 400 servers crash together, sending all rows would saturate the leader's
 * network link for seconds.
 */
const MIN_BROADCAST_STRIKES = 2;

/** Returns the rows for a strike, one for each digest scope. */
export function strikeRows(
  {contents, caller, service, route}: StruckRequest,
  server: string,
  isTrial: boolean,
): readonly Suspect[] {
  return DIGEST_SCOPES.map((scope, index) => {
    const narrower = DIGEST_SCOPES[index - 1];
    const by = narrower === undefined ? '' : contents[narrower];
    const identity: SuspectIdentity = {
      ...{content: contents[scope], scope, family: contents.anyQuery},
      ...{caller, service, route},
    };
    const strikes = [{server, isTrial, by}];
    return {
      ...identity,
      round: 0,
      strikes,
      isQuarantined: false,
      cleared: null,
    };
  });
}

/** Merges two rows of the same digest; returns `known` if nothing changes. */
export function mergeSuspects(known: Suspect, other: Suspect): Suspect {
  if (other.round < known.round) return known;
  if (other.round > known.round) return other;
  const strikes = new Map(known.strikes.map(each => [each.server, each]));
  for (const strike of other.strikes) {
    const {server, by} = strike;
    const last = strikes.get(server);
    strikes.set(server, {
      server,
      isTrial: strike.isTrial || (last?.isTrial ?? false),
      by: last !== undefined && last.by < by ? last.by : by,
    });
  }
  const isQuarantined = known.isQuarantined || other.isQuarantined;
  const kept = [...strikes.values()].sort(trialsFirst).slice(0, MAX_STRIKES);
  const next = {...known, strikes: kept, isQuarantined};
  return isSame(known, next) ? known : next;
}

/** Whether the leader should send the row to the other routers. */
export function shouldBroadcast({isQuarantined, strikes}: Suspect): boolean {
  return isQuarantined || strikes.length >= MIN_BROADCAST_STRIKES;
}

/**
 * Sorts strikes from trials first, so that they are kept if there are too many.
 * A request that crashed servers at many routers while there was no leader
 * would otherwise never be quarantined, as that requires a trial.
 */
function trialsFirst(a: Strike, b: Strike): number {
  if (a.isTrial !== b.isTrial) return a.isTrial ? -1 : 1;
  return a.server < b.server ? -1 : 1;
}

function isSame(a: Suspect, b: Suspect): boolean {
  return (
    a.isQuarantined === b.isQuarantined &&
    a.strikes.length === b.strikes.length &&
    a.strikes.every(({server, isTrial, by}, index) => {
      const other = b.strikes[index]!;
      const isAlike = isTrial === other.isTrial && by === other.by;
      return server === other.server && isAlike;
    })
  );
}
