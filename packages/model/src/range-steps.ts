import {
  AUTHORITY,
  HOLD,
  RANGE_LEADERS,
  RANGE_SERVERS,
  setLeaderRun,
  setRun,
  setView,
  type LateGrant,
  type LeaderRun,
  type RangeHolding,
  type RangeLeader,
  type RangeServer,
  type RangeState,
  type ServerRun,
} from './range-state.js';
import {
  isEnded,
  lapseTime,
  mayAct,
  obey,
  type RangeContext,
  type RangeStep,
} from './range-rules.js';
import {ageSent, hasSent, mayTick} from './range-takeover.js';
import {
  beginTerm,
  firstFence,
  isNewest,
  isOfHistory,
  isOutdated,
  unknownView,
} from './range-restore.js';

/** Steps of a leader that concern no server by name. */
export const LEADER_RANGE_STEPS = {
  grant: {
    says: 'M grants, the server answers',
    can: canGrant,
    next: (ctx, state, leader) =>
      isEnded(state, leader)
        ? setView(state, leader, {phase: 'free'})
        : grantAnswered(ctx, state, leader),
  },
  grantUnheard: {
    says: 'M grants, the answer is lost',
    can: canGrantRun,
    next: (ctx, state, leader) =>
      noteUnproved(ctx, obeyNow(state, leader) ?? state, leader),
  },
  grantLate: {
    says: 'M grants, the server will obey later without an answer',
    can: (ctx, state, leader) =>
      ctx.scope.lateOrders && canGrantRun(ctx, state, leader),
    next: (ctx, state, leader) =>
      noteUnproved(ctx, addLate(state, leader), leader),
  },
  grantOnItsWay: {
    says: 'M renews, the renewal is on its way while M goes on',
    can: (ctx, state, leader) =>
      !ctx.guards.ordersInTurn && canGrantRun(ctx, state, leader),
    next: (_ctx, state, leader) => addLate(state, leader),
  },
  startMove: {
    says: 'M starts to move the range',
    can: (ctx, state, leader) =>
      mayAct(ctx, state.leaders[leader]) &&
      state.leaders[leader].view.phase === 'held' &&
      state.leaders[leader].moved < ctx.scope.moves[leader],
    next: (_ctx, state, leader) => setView(state, leader, {phase: 'moving'}),
  },
  release: {
    says: 'M has the range released, the server answers',
    can: (_ctx, state, leader) => isMoving(state, leader),
    next: (_ctx, state, leader) =>
      isEnded(state, leader)
        ? setView(state, leader, {phase: 'free'})
        : setView(dropHold(state, leader), leader, {phase: 'released'}),
  },
  releaseUnheard: {
    says: 'M has the range released, the answer is lost',
    can: (_ctx, state, leader) =>
      isMoving(state, leader) && !isEnded(state, leader),
    next: (_ctx, state, leader) =>
      setView(dropHold(state, leader), leader, {phase: 'lapsing'}),
  },
  releaseLost: {
    says: 'M cannot reach the holder',
    can: (_ctx, state, leader) => isMoving(state, leader),
    next: (_ctx, state, leader) => setView(state, leader, {phase: 'lapsing'}),
  },
  takeForEnded: {
    says: 'M finds the holder in no list and takes its run for ended',
    can: ({guards}, state, leader) =>
      !guards.provesEnds && isMoving(state, leader),
    next: (_ctx, state, leader) => setView(state, leader, {phase: 'free'}),
  },
  recordAgain: {
    says: 'M repeats its record, the store answers',
    can: (ctx, state, leader) =>
      mayAct(ctx, state.leaders[leader]) &&
      isOfHistory(ctx, state, leader) &&
      state.leaders[leader].view.phase === 'recording',
    next: recordAgain,
  },
  ask: {
    says: 'M asks the store whether it still leads',
    can: (ctx, state, leader) => leader === 'L' && mayAsk(ctx, state),
    next: (_ctx, state, leader) => setLeaderRun(state, leader, {asked: 0}),
  },
  hear: {
    says: 'the store’s answer reaches M: it led when it asked',
    can: (_ctx, {leaders}, leader) =>
      leader === 'L' && !leaders.L.isOver && leaders.L.asked !== null,
    next: ({guards}, state, leader) => {
      const asked = guards.countsFromAsking ? state.leaders[leader].asked! : 0;
      const authority = Math.max(0, AUTHORITY - asked);
      return setLeaderRun(state, leader, {authority, asked: null});
    },
  },
  resign: {
    says: 'M learns that another was chosen',
    can: (_ctx, {newest, storeEpoch, leaders}, leader) =>
      newest !== leader &&
      leaders[leader].storeEpoch === storeEpoch &&
      !leaders[leader].isOver,
    next: (_ctx, state, leader) => setLeaderRun(state, leader, {isOver: true}),
  },
} satisfies Readonly<Record<string, RangeStep>>;

/** Steps of a leader that concern a server. */
export const ORDER_RANGE_STEPS = {
  assign: {
    says: 'M records the range for P',
    can: mayAssign,
    next: assign,
  },
  recordUnheard: {
    says: 'M records the range for P, the answer is lost',
    can: (ctx, state, leader, server) =>
      mayRecordUnheard(ctx, state, leader, server) && state.newest === leader,
    next: (ctx, state, leader, server) => {
      const next = awaitRecord(ctx, state, leader, server);
      return {...next, record: nextHolding(state, leader, server)};
    },
  },
  recordLost: {
    says: 'M records the range for P, the write is lost',
    can: mayRecordUnheard,
    next: awaitRecord,
  },
  obeyLate: {
    says: 'P obeys a late grant of M',
    can: (_ctx, state, leader, server) =>
      state.leaders[leader].late[server] !== null,
    next(_ctx, state, leader, server) {
      const late = state.leaders[leader].late[server]!;
      const done = setLate(state, leader, server, null);
      if (late.run !== state.servers[server].run) return done;
      return obey(done, server, late.fence, HOLD - late.age) ?? done;
    },
  },
} satisfies Readonly<Record<string, RangeStep>>;

/** Steps of one server. */
export const SERVER_RANGE_STEPS = {
  restart: {
    says: 'P restarts at its address',
    can: (_ctx, {restartsLeft}) => restartsLeft > 0,
    next: (_ctx, state, _leader, server) => ({
      ...restart(state, server),
      restartsLeft: state.restartsLeft - 1,
    }),
  },
  tickSlow: {
    says: 'a tick passes that P’s clock misses',
    can: (_ctx, state) => state.slowLeft > 0 && mayTick(state),
    next: (ctx, state, _leader, server) => ({
      ...passTick(ctx, state, server, null),
      slowLeft: state.slowLeft - 1,
    }),
  },
} satisfies Readonly<Record<string, RangeStep>>;

/** Steps of all. */
export const WHOLE_RANGE_STEPS = {
  tick: {
    says: 'a tick passes',
    can: (_ctx, state) => mayTick(state),
    next: (ctx, state) => passTick(ctx, state, null, null),
  },
  tickSuspended: {
    says: 'a tick passes while L’s host is suspended',
    can: (_ctx, state) =>
      state.suspendedLeft > 0 && !state.leaders.L.isOver && mayTick(state),
    next: (ctx, state) => ({
      ...passTick(ctx, state, null, 'L'),
      suspendedLeft: state.suspendedLeft - 1,
    }),
  },
  succeed: {
    says: 'N is chosen, shuts L’s records out and adopts the record',
    // One that led before a restore goes on by what it remembers instead.
    can: (_ctx, {newest, leaders}) => newest !== 'N' && leaders.N.isOver,
    next: succeed,
  },
  losePower: {
    says: 'all lose power; servers come back',
    can: (_ctx, {powerLossLeft}) => powerLossLeft > 0,
    next(_ctx, state) {
      let next = setLeaderRun(state, 'L', {isOver: true});
      next = setLeaderRun(next, 'N', {isOver: true});
      for (const server of RANGE_SERVERS) next = restart(next, server);
      return {...next, powerLossLeft: 0, isLRunning: false, sent: null};
    },
  },
} satisfies Readonly<Record<string, RangeStep>>;

function mayAsk(ctx: RangeContext, state: RangeState): boolean {
  const {L} = state.leaders;
  if (L.isOver || L.asked !== null) return false;
  return isNewest(ctx, state, 'L');
}

/** Renewals, and a first order to a holder that an earlier leader had. */
function canGrant(
  ctx: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): boolean {
  const {view} = state.leaders[leader];
  if (!mayAct(ctx, state.leaders[leader]) || hasSent(state, leader))
    return false;
  return view.phase === 'held' || (view.phase === 'moving' && view.foreign > 0);
}

function canGrantRun(
  ctx: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): boolean {
  return canGrant(ctx, state, leader) && !isEnded(state, leader);
}

function isMoving(state: RangeState, leader: RangeLeader): boolean {
  const {isOver, view} = state.leaders[leader];
  return !isOver && view.phase === 'moving' && !hasSent(state, leader);
}

/** Whether nobody holds the range any more, by the leader's count. */
function isFree(
  {guards}: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): boolean {
  const {phase, lapse, unproved, foreign} = state.leaders[leader].view;
  if (phase === 'free') return true;
  if (phase === 'unknown') return lapse === 0;
  if (phase === 'released') return unproved === 0 && foreign === 0;
  if (phase !== 'lapsing') return false;
  return lapse === 0 || !guards.waitsForLapse;
}

function obeyNow(state: RangeState, leader: RangeLeader): RangeState | null {
  const {server, fence} = state.leaders[leader].view;
  return obey(state, server, fence, HOLD);
}

function grantAnswered(
  {guards}: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): RangeState {
  const obeyed = obeyNow(state, leader);
  // The server has seen a higher fence: another leads.
  if (obeyed === null) return setLeaderRun(state, leader, {isOver: true});
  const {unproved} = state.leaders[leader].view;
  const lapse = Math.max(lapseTime(guards), unproved);
  return setView(obeyed, leader, {lapse, foreign: 0});
}

function noteUnproved(
  {guards}: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): RangeState {
  if (!guards.countsUnproved) return state;
  const unproved = lapseTime(guards);
  const lapse = Math.max(state.leaders[leader].view.lapse, unproved);
  return setView(state, leader, {unproved, lapse});
}

/**
 * N stays in touch with the store while that knows it: what a second successor
 * would do is what N does here.
 */
function isInTouch(
  {storeEpoch, newest, leaders}: RangeState,
  name: RangeLeader,
): boolean {
  if (name !== 'N' || newest !== 'N') return false;
  return leaders.N.storeEpoch === storeEpoch;
}

function addLate(state: RangeState, leader: RangeLeader): RangeState {
  const {server, fence, run} = state.leaders[leader].view;
  return setLate(state, leader, server, {fence, run, age: 0});
}

function setLate(
  state: RangeState,
  leader: RangeLeader,
  server: RangeServer,
  late: LateGrant | null,
): RangeState {
  const all = {...state.leaders[leader].late, [server]: late};
  return setLeaderRun(state, leader, {late: all});
}

/** A release is never refused. */
function dropHold(state: RangeState, leader: RangeLeader): RangeState {
  return setRun(state, state.leaders[leader].view.server, {left: 0});
}

function assign(
  {guards}: RangeContext,
  state: RangeState,
  leader: RangeLeader,
  server: RangeServer,
): RangeState {
  const {view, moved} = state.leaders[leader];
  const isShutOut = state.newest !== leader;
  if (isShutOut && guards.fencesRecords && guards.recordsFirst) {
    return setLeaderRun(state, leader, {isOver: true});
  }
  const holding = nextHolding(state, leader, server);
  const next = setLeaderRun(state, leader, {
    moved: moved + 1,
    view: {...view, ...holding, phase: 'held', lapse: 0, ...NOTHING_OPEN},
  });
  // Without a record first, a leader may be lost before it writes.
  return guards.recordsFirst ? {...next, record: holding} : next;
}

function mayAssign(
  ctx: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): boolean {
  if (!mayAct(ctx, state.leaders[leader])) return false;
  return isOfHistory(ctx, state, leader) && isFree(ctx, state, leader);
}

function mayRecordUnheard(
  ctx: RangeContext,
  state: RangeState,
  leader: RangeLeader,
  server: RangeServer,
): boolean {
  if (ctx.scope.unansweredRecords !== true) return false;
  if (server === state.leaders[leader].view.server) return false;
  return mayAssign(ctx, state, leader);
}

function nextHolding(
  {servers, leaders}: RangeState,
  leader: RangeLeader,
  server: RangeServer,
): RangeHolding {
  const {run} = servers[server];
  return {server, run, fence: leaders[leader].view.fence + 1};
}

/** The leader doesn't know whether its record is in the store. */
function awaitRecord(
  _ctx: RangeContext,
  state: RangeState,
  leader: RangeLeader,
  server: RangeServer,
): RangeState {
  const {view, moved} = state.leaders[leader];
  const {server: from, run, fence} = view;
  const target = nextHolding(state, leader, server);
  return setLeaderRun(state, leader, {
    moved: moved + 1,
    view: {
      ...{...view, ...target, ...NOTHING_OPEN, lapse: 0},
      ...{phase: 'recording', other: {server: from, run, fence}},
    },
  });
}

function recordAgain(
  _ctx: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): RangeState {
  if (state.newest !== leader)
    return setLeaderRun(state, leader, {isOver: true});
  const {server, run, fence} = state.leaders[leader].view;
  const next = setView(state, leader, {phase: 'held', other: null});
  return {...next, record: {server, run, fence}};
}

const NOTHING_OPEN = {unproved: 0, foreign: 0};

function succeed({guards}: RangeContext, state: RangeState): RangeState {
  const {record} = state;
  const foreign = guards.waitsForAuthority
    ? AUTHORITY + lapseTime(guards)
    : lapseTime(guards);
  const begun = beginTerm(state, 'N');
  if (guards.distrustsCopies && isOutdated(state)) {
    return setView(begun, 'N', unknownView(guards, begun));
  }
  const holding = {
    ...record,
    fence: guards.fencesRise ? firstFence(guards, state) : 1,
  };
  const next = setView(begun, 'N', {
    ...holding,
    phase: 'held',
    other: null,
    lapse: foreign,
    unproved: 0,
    foreign: guards.countsForeign ? foreign : 0,
  });
  return {...next, record: holding};
}

export function restart(state: RangeState, server: RangeServer): RangeState {
  const run = state.servers[server].run + 1;
  return setRun(state, server, {run, left: 0, seen: 0});
}

/** One tick; `slow` is a server and `suspended` a leader that miss it. */
function passTick(
  ctx: RangeContext,
  state: RangeState,
  slow: RangeServer | null,
  suspended: RangeLeader | null,
): RangeState {
  let next: RangeState = {
    ...state,
    earlierLeft: less(state.earlierLeft),
    earlierActs: less(state.earlierActs),
    earlierWait: less(state.earlierWait),
    sent: ageSent(state.sent),
  };
  for (const server of RANGE_SERVERS) {
    if (server === slow) continue;
    next = setRun(next, server, ageServer(next.servers[server]));
  }
  for (const leader of RANGE_LEADERS) {
    const own = next.leaders[leader];
    next = setLeaderRun(next, leader, {
      ...(leader === suspended
        ? ageSuspended(ctx, own)
        : ageLeader(own, isInTouch(state, leader))),
      late: {
        A: ageLate(own.late.A, slow === 'A'),
        B: ageLate(own.late.B, slow === 'B'),
      },
    });
  }
  return next;
}

function ageServer({left}: ServerRun): Partial<ServerRun> {
  return {left: less(left)};
}

function ageLeader(
  leader: LeaderRun,
  isConfirmed: boolean,
): Partial<LeaderRun> {
  const {authority, asked, confirmLeft, view} = leader;
  const {lapse, unproved, foreign} = view;
  const times = {
    lapse: less(lapse),
    unproved: less(unproved),
    foreign: less(foreign),
  };
  return {
    authority: isConfirmed ? authority : less(authority),
    confirmLeft: less(confirmLeft),
    asked: asked === null ? null : Math.min(AUTHORITY, asked + 1),
    view: {...view, ...times},
  };
}

/** Its steady clock stands still; its time of day tells how long. */
function ageSuspended(
  {guards}: RangeContext,
  leader: LeaderRun,
): Partial<LeaderRun> {
  if (!guards.seesSuspension) return {};
  return {...ageLeader(leader, false), view: leader.view};
}

function ageLate(late: LateGrant | null, isSlow: boolean): LateGrant | null {
  if (late === null) return null;
  const age = isSlow ? late.age : late.age + 1;
  // One whose time is over changes nothing any more.
  return age >= HOLD ? null : {...late, age};
}

function less(ticks: number): number {
  return Math.max(0, ticks - 1);
}
