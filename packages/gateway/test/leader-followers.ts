import {createCanceller} from '@banyandrum/base/cancel.js';
import {createClock} from '@banyandrum/base/clock.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import type {SlotProvider, SlotRequest} from '@banyandrum/dispatch/slots.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createKeyOwners} from '@banyandrum/gateway/key-owners.js';
import {admitAsks} from '@banyandrum/gateway/ask-admission.js';
import {followLeader} from '@banyandrum/gateway/link-client.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import {MAX_KEY} from '@banyandrum/ranges/table.js';
import {kindOf} from '@banyandrum/service-times/kind.js';
import {dataCentreOf, KEYED_SERVICE, PLAIN_SERVICE} from './leader-rig.js';

/** What the followers have seen since the last call of `take`. */
export interface FollowerView {
  readonly asked: number;
  readonly granted: number;
  readonly refused: number;
  /** Requests without a reply, as the follower had left its leader. */
  readonly unavailable: number;
  readonly followersLost: number;
  /** Time from the request to the reply, in ms. */
  readonly grantP50Ms: number;
  readonly grantP99Ms: number;
  readonly refusalP99Ms: number;
  /** The longest delay of a timer in this process, in ms. */
  readonly ownLagMs: number;
}

/** Followers in one process that request slots at a given rate. */
export interface FollowerLoad {
  setRate(perSecond: number): void;
  take(): FollowerView;
  stop(): void;
}

interface RequestClass {
  readonly until: number;
  readonly service: string;
  readonly priority: number;
  readonly aimMs: number;
  readonly timeoutMs: number;
  readonly heldMs: number;
  readonly kind: number;
}

type PlannedRequest = SlotRequest & Pick<RequestClass, 'heldMs' | 'timeoutMs'>;

/** The classes of requests, by the upper bound of their share. */
const CLASSES: readonly RequestClass[] = [
  {
    ...{until: 0.59, service: KEYED_SERVICE, priority: 0, aimMs: 500},
    ...{timeoutMs: 3_000, heldMs: 160, kind: kindOf('check')},
  },
  {
    ...{until: 0.81, service: KEYED_SERVICE, priority: 1, aimMs: 800},
    ...{timeoutMs: 5_000, heldMs: 160, kind: kindOf('confirm')},
  },
  {
    ...{until: 1, service: PLAIN_SERVICE, priority: 2, aimMs: 2_500},
    ...{timeoutMs: 8_000, heldMs: 160, kind: kindOf('history')},
  },
];
const CALLERS = 720;
/** Retries of a caller that is refused. */
const RETRIES = 2;
const TICK_MS = 5;
const PROCESSORS = 0.5;

/** Starts the followers, without load at first. */
export function startFollowers(leader: string, count: number): FollowerLoad {
  const clock = createClock();
  let view = emptyView();
  let lastId = 0;
  let perSecond = 0;
  let due = 0;
  let tickAt = performance.now();
  const emit = (): void => undefined;
  const links = Array.from({length: count}, (_, i) =>
    followLeader({
      ...{clock, emit, list: createServerList(clock, emit, 2_000)},
      self: {
        address: `127.0.0.1:${i + 1}`,
        room: {processors: PROCESSORS, linkMbps: 10},
        dataCentre: dataCentreOf(i),
      },
      chosenAddress: () => leader,
      owners: createKeyOwners(clock, emit),
      suspects: createSuspects(clock, emit),
      limits: createServerLimits({clock, emit}),
      isLeading: () => false,
      onLeadershipOffered: () => undefined,
      onLeaderLost: () => void view.followersLost++,
      isGone: () => false,
      ownDeputies: () => [],
      unreachableCount: () => 0,
      termEpoch: () => null,
      onConfigCursor: () => undefined,
      applyConfig: () => undefined,
      confirmConfig: () => undefined,
      configPosition: () => null,
      applyPosition: () => true,
      setRouterCount: () => undefined,
    }),
  );
  const providers = links.map(provider =>
    admitAsks({
      ...{clock, emit, provider, random: Math.random},
      whenLimited: () => ({
        ...{kind: 'refused', isUnheld: false},
        retryAfterMs: 600 + Math.random() * 400,
      }),
    }),
  );

  const request = async (slots: SlotProvider): Promise<void> => {
    const planned = createRequest(++lastId);
    for (let attempt = 0; attempt <= RETRIES; attempt++) {
      const retryAfterMs = await attemptRequest(slots, planned);
      if (retryAfterMs === null) return;
      await new Promise(resolve => setTimeout(resolve, retryAfterMs));
    }
  };

  /** Returns when to retry, in ms; null if it isn't retried. */
  const attemptRequest = async (
    slots: SlotProvider,
    {heldMs, timeoutMs, ...req}: PlannedRequest,
  ): Promise<number | null> => {
    const now = performance.now();
    view.asked++;
    const canceller = createCanceller();
    const timer = setTimeout(() => canceller.abort(), timeoutMs);
    const slot = await slots.acquire(req, canceller.signal);
    clearTimeout(timer);
    const tookMs = performance.now() - now;
    if (slot.kind === 'unavailable') {
      view.unavailable++;
      return null;
    }
    if (slot.kind === 'refused') {
      view.refusalTimes.push(tookMs);
      return slot.retryAfterMs;
    }
    view.grantTimes.push(tookMs);
    setTimeout(() => slot.release('answered', heldMs), heldMs);
    return null;
  };

  const tick = (): void => {
    const now = performance.now();
    view.ownLagMs = Math.max(view.ownLagMs, now - tickAt - TICK_MS);
    due += ((now - tickAt) * perSecond) / 1_000;
    tickAt = now;
    for (; due >= 1; due--)
      void request(providers[Math.floor(Math.random() * count)]!);
  };
  const timer = setInterval(tick, TICK_MS);

  return {
    setRate(rate) {
      perSecond = rate;
    },
    take() {
      const {grantTimes, refusalTimes, ...counts} = view;
      view = emptyView();
      return {
        ...counts,
        granted: grantTimes.length,
        refused: refusalTimes.length,
        grantP50Ms: percentile(grantTimes, 0.5),
        grantP99Ms: percentile(grantTimes, 0.99),
        refusalP99Ms: percentile(refusalTimes, 0.99),
      };
    },
    stop() {
      clearInterval(timer);
      for (const link of links) link.stop();
    },
  };
}

function emptyView(): {
  asked: number;
  unavailable: number;
  followersLost: number;
  ownLagMs: number;
  readonly grantTimes: number[];
  readonly refusalTimes: number[];
} {
  return {
    ...{asked: 0, unavailable: 0, followersLost: 0, ownLagMs: 0},
    ...{grantTimes: [], refusalTimes: []},
  };
}

function createRequest(id: number): PlannedRequest {
  const draw = Math.random();
  const {aimMs, timeoutMs, heldMs, service, priority, kind} = CLASSES.find(
    ({until}) => draw < until,
  )!;
  const isKeyed = service === KEYED_SERVICE;
  return {
    ...{id: `${id}`.padStart(16, 'r'), service, priority, kind},
    key: isKeyed ? Math.floor(Math.random() * (MAX_KEY + 1)) : null,
    ...{leftMs: timeoutMs, aimLeftMs: aimMs, askedMs: 0, excluded: []},
    caller: 1 + Math.floor(Math.random() * CALLERS),
    ...{dataCentre: '', heldMs, timeoutMs},
  };
}

function percentile(times: readonly number[], share: number): number {
  const sorted = [...times].sort((a, b) => a - b);
  const at = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return Math.round((sorted[at] ?? 0) * 10) / 10;
}
