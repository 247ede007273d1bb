import {
  AUTHORITY,
  HOLD,
  setLeaderRun,
  setView,
  type RangeLeader,
  type RangeState,
  type SentGrant,
} from './range-state.js';
import {
  isEnded,
  lapseTime,
  mayAct,
  obey,
  type RangeContext,
  type RangeStep,
} from './range-rules.js';

/** Ticks after which a running leader has reset an order without an answer. */
const RESET_AFTER = 1;

/**
 * Steps by which N learns that L's term has ended, and the faults that such a
 * proof must withstand: orders in transit, a lost process, an earlier leader.
 */
export const TAKEOVER_STEPS = {
  send: {
    says: 'L sends a grant, which is in transit',
    can: maySend,
    next(_ctx, state) {
      const {server, fence, run} = state.leaders.L.view;
      return {...state, sent: {server, fence, run, age: 0}};
    },
  },
  arrive: {
    says: 'the grant of L arrives, the answer is lost',
    can: (_ctx, {sent}) => sent !== null,
    next: (ctx, state) => noteUnproved(ctx, arrive(state)),
  },
  reset: {
    says: 'L resets the connection of its grant',
    can: (_ctx, {sent, isLRunning}) => sent !== null && isLRunning,
    next: (ctx, state) => noteUnproved(ctx, {...state, sent: null}),
  },
  loseProcess: {
    says: 'the process of L is lost; its order may be held up by a cut',
    can: ({scope}, {newest, isLRunning}) =>
      scope.processLoss === true && isLRunning && newest === 'L',
    next: (_ctx, state) => ({
      ...setLeaderRun(state, 'L', {isOver: true}),
      isLRunning: false,
    }),
  },
  renewEarlier: {
    says: 'a leader before L renews the range at A',
    can: (_ctx, {earlierActs, servers}) =>
      earlierActs > 0 && servers.A.seen === 0 && servers.A.run === 0,
    next: (_ctx, state) => obey(state, 'A', 0, HOLD) ?? state,
  },
  proveEnd: {
    says: 'L answers N that its term has ended',
    can: mayProveEnd,
    next: proveEnd,
  },
} satisfies Readonly<Record<string, RangeStep>>;

/** Whether an order of the leader is in transit. */
export function hasSent({sent}: RangeState, leader: RangeLeader): boolean {
  return leader === 'L' && sent !== null;
}

/** A running leader resets its order before a further tick. */
export function mayTick({sent, isLRunning}: RangeState): boolean {
  return sent === null || !isLRunning || sent.age < RESET_AFTER;
}

/** A cut holds up an order of a lost process for less than the authority. */
export function ageSent(sent: SentGrant | null): SentGrant | null {
  if (sent === null || sent.age >= AUTHORITY) return null;
  return {...sent, age: sent.age + 1};
}

function maySend(ctx: RangeContext, state: RangeState): boolean {
  const {L} = state.leaders;
  if (ctx.scope.transit !== true || state.sent !== null) return false;
  return mayAct(ctx, L) && L.view.phase === 'held' && !isEnded(state, 'L');
}

function arrive(state: RangeState): RangeState {
  const {server, fence, run} = state.sent!;
  const done = {...state, sent: null};
  if (run !== state.servers[server].run) return done;
  return obey(done, server, fence, HOLD) ?? done;
}

function noteUnproved({guards}: RangeContext, state: RangeState): RangeState {
  const unproved = lapseTime(guards);
  const lapse = Math.max(state.leaders.L.view.lapse, unproved);
  return setView(state, 'L', {unproved, lapse});
}

function mayProveEnd(
  {scope, guards}: RangeContext,
  state: RangeState,
): boolean {
  const {newest, storeEpoch, leaders, sent, isLRunning} = state;
  const {L, N} = leaders;
  if (scope.asksEnd !== true || newest !== 'N' || N.isOver) return false;
  if (L.storeEpoch !== storeEpoch || N.storeEpoch !== storeEpoch) return false;
  if (!isLRunning && guards.asksSameRun) return false;
  if (sent !== null && isLRunning && guards.drainsOrders) return false;
  if (N.view.phase === 'unknown') return N.view.lapse > 0;
  return N.view.foreign > 0 && KNOWN_PHASES.has(N.view.phase);
}

const KNOWN_PHASES: ReadonlySet<string> = new Set([
  'held',
  'moving',
  'released',
  'lapsing',
]);

/** Only leaders before L may act from now on. */
function proveEnd({guards}: RangeContext, state: RangeState): RangeState {
  const earlier = guards.inheritsWait ? state.earlierWait : 0;
  const {foreign, unproved, phase, lapse} = state.leaders.N.view;
  const until = earlier + lapseTime(guards);
  const proved = Math.min(foreign, until);
  const next = setView(
    state,
    'N',
    phase === 'unknown'
      ? {lapse: Math.min(lapse, until)}
      : {foreign: proved, lapse: Math.max(proved, unproved)},
  );
  return guards.endsTerm ? setLeaderRun(next, 'L', {isOver: true}) : next;
}
