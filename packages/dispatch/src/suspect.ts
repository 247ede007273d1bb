import {
  DIGEST_SCOPES,
  type ContentDigests,
  type DigestScope,
} from './content-digests.js';

/** A server's run that ended while the request was there. */
export interface Strike {
  /** The id of the run. */
  readonly server: string;
  /** Whether it was sent as a trial: known to be suspected, no other beside it. */
  readonly isTrial: boolean;
  /** The request's digest in the next narrower scope. */
  readonly by: string;
}

/** Why a request is believed to be harmless after all. */
export interface Clearing {
  /** `answered`, or the operator's name. */
  readonly by: string;
  readonly reason: string;
  /** Time of day, ms since 1970. */
  readonly at: number;
}

/** What routers know of a request under which servers ended. */
export interface Suspect {
  /** One of the digests of what it asks (`content.ts`), and which. */
  readonly content: string;
  readonly scope: DigestScope;
  /** The same for all rows of one request: its widest digest. */
  readonly family: string;
  readonly caller: string;
  readonly service: string;
  readonly route: string;
  /** Counts its clearings; what belongs to an earlier round is void. */
  readonly round: number;
  readonly strikes: readonly Strike[];
  /** Not sent to any server until it is cleared. */
  readonly isQuarantined: boolean;
  readonly cleared: Clearing | null;
}

/** What a request is to be taken for. */
export type Standing = 'unknown' | 'suspected' | 'quarantined';

/** A request at whose server's end it was there. */
export interface StruckRequest {
  readonly contents: ContentDigests;
  readonly caller: string;
  readonly service: string;
  readonly route: string;
}

/** What is the same in all rounds of a row. */
type SuspectIdentity = Omit<
  Suspect,
  'round' | 'strikes' | 'isQuarantined' | 'cleared'
>;

/** Ended servers that are told of one request. */
const MAX_STRIKES = 16;

/**
 * All that ran at a server that ended is struck once, and nearly all of it is
 * answered as it is sent again: told to all routers, a fifth of 400 servers that
 * end together would fill the leader's link for seconds.
 */
const MIN_BROADCAST_STRIKES = 2;

/** A strike as the rows of each scope have it. */
export function strikeRows(
  {contents, caller, service, route}: StruckRequest,
  server: string,
  isTrial: boolean,
): readonly Suspect[] {
  return DIGEST_SCOPES.map((scope, at) => {
    const narrower = DIGEST_SCOPES[at - 1];
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

/** What both rows say together; `known` itself where that is nothing new. */
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

/** Whether it concerns other routers than the leader. */
export function shouldBroadcast({isQuarantined, strikes}: Suspect): boolean {
  return isQuarantined || strikes.length >= MIN_BROADCAST_STRIKES;
}

/**
 * Of many strikes those of trials are kept: without one a request that ended
 * servers at all routers, while nobody led, would never be quarantined.
 */
function trialsFirst(a: Strike, b: Strike): number {
  if (a.isTrial !== b.isTrial) return a.isTrial ? -1 : 1;
  return a.server < b.server ? -1 : 1;
}

function isSame(a: Suspect, b: Suspect): boolean {
  return (
    a.isQuarantined === b.isQuarantined &&
    a.strikes.length === b.strikes.length &&
    a.strikes.every(({server, isTrial, by}, at) => {
      const other = b.strikes[at]!;
      const isAlike = isTrial === other.isTrial && by === other.by;
      return server === other.server && isAlike;
    })
  );
}
