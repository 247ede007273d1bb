import {
  AUTHORITY,
  DRIFT,
  HOLD,
  RANGE_LEADERS,
  RANGE_SERVERS,
  setLeaderRun,
  setRun,
  setView,
  TERM_FENCES,
  type LateGrant,
  type LeaderRun,
  type RangeLeader,
  type RangeSafeguards,
  type RangeScope,
  type RangeServer,
  type RangeState,
  type ServerRun,
} from './range-state.js';

/** What the steps of one specification depend on. */
export interface RangeContext {
  readonly guards: RangeSafeguards;
  readonly scope: RangeScope;
}

type Can = (
  ctx: RangeContext,
  state: RangeState,
  leader: RangeLeader,
  server: RangeServer,
) => boolean;

type Next = (
  ctx: RangeContext,
  state: RangeState,
  leader: RangeLeader,
  server: RangeServer,
) => RangeState;

/** One kind of step. */
export interface RangeStep {
  /** How a trace names it; `M` stands for the leader, `P` for the server. */
  readonly says: string;
  readonly can: Can;
  readonly next: Next;
}

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
  ask: {
    says: 'M asks the store whether it still leads',
    can: (_ctx, state, leader) => leader === 'L' && mayAsk(state),
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
    can: (_ctx, {hasSuccessor, leaders}, leader) =>
      leader === 'L' && hasSuccessor && !leaders.L.isOver,
    next: (_ctx, state, leader) => setLeaderRun(state, leader, {isOver: true}),
  },
} satisfies Readonly<Record<string, RangeStep>>;

/** Steps of a leader that concern a server. */
export const ORDER_RANGE_STEPS = {
  assign: {
    says: 'M records the range for P',
    can: (ctx, state, leader) =>
      mayAct(ctx, state.leaders[leader]) && isFree(ctx, state, leader),
    next: assign,
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
    can: (_ctx, {slowLeft}) => slowLeft > 0,
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
    can: () => true,
    next: (ctx, state) => passTick(ctx, state, null, null),
  },
  tickSuspended: {
    says: 'a tick passes while L’s host is suspended',
    can: (_ctx, {suspendedLeft, leaders}) =>
      suspendedLeft > 0 && !leaders.L.isOver,
    next: (ctx, state) => ({
      ...passTick(ctx, state, null, 'L'),
      suspendedLeft: state.suspendedLeft - 1,
    }),
  },
  succeed: {
    says: 'N is chosen, shuts L’s records out and adopts the record',
    can: (_ctx, {hasSuccessor}) => !hasSuccessor,
    next: succeed,
  },
  losePower: {
    says: 'all lose power; servers come back',
    can: (_ctx, {powerLossLeft}) => powerLossLeft > 0,
    next(_ctx, state) {
      let next = setLeaderRun(state, 'L', {isOver: true});
      next = setLeaderRun(next, 'N', {isOver: true});
      for (const server of RANGE_SERVERS) next = restart(next, server);
      return {...next, powerLossLeft: 0};
    },
  },
} satisfies Readonly<Record<string, RangeStep>>;

function mayAct({guards}: RangeContext, leader: LeaderRun): boolean {
  if (leader.isOver) return false;
  return leader.authority > 0 || !guards.boundsAuthority;
}

function mayAsk({hasSuccessor, leaders}: RangeState): boolean {
  return !hasSuccessor && !leaders.L.isOver && leaders.L.asked === null;
}

/** Renewals, and a first order to a holder that an earlier leader had. */
function canGrant(
  ctx: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): boolean {
  const {view} = state.leaders[leader];
  if (!mayAct(ctx, state.leaders[leader])) return false;
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
  return !isOver && view.phase === 'moving';
}

/** Whether another run answers at the holder's address. */
function isEnded(state: RangeState, leader: RangeLeader): boolean {
  const {view} = state.leaders[leader];
  return state.servers[view.server].run !== view.run;
}

/** Whether nobody holds the range any more, by the leader's count. */
function isFree(
  {guards}: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): boolean {
  const {phase, lapse, unproved, foreign} = state.leaders[leader].view;
  if (phase === 'free') return true;
  if (phase === 'released') return unproved === 0 && foreign === 0;
  if (phase !== 'lapsing') return false;
  return lapse === 0 || !guards.waitsForLapse;
}

/** A server's state after a grant; null where it refuses. */
function obey(
  state: RangeState,
  server: RangeServer,
  fence: number,
  left: number,
): RangeState | null {
  const {seen} = state.servers[server];
  if (fence < seen) return null;
  const {top} = state;
  const hasSunk =
    state.hasSunk || (top.server !== server && fence <= top.fence);
  const held = setRun(state, server, {left, seen: fence});
  if (fence < top.fence) return {...held, hasSunk};
  return {...held, hasSunk, top: {fence, server}};
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

function lapseTime({addsDrift}: RangeSafeguards): number {
  return addsDrift ? HOLD + DRIFT : HOLD;
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
  const isShutOut = leader === 'L' && state.hasSuccessor;
  if (isShutOut && guards.fencesRecords && guards.recordsFirst) {
    return setLeaderRun(state, leader, {isOver: true});
  }
  const {run} = state.servers[server];
  const holding = {server, run, fence: view.fence + 1};
  const next = setLeaderRun(state, leader, {
    moved: moved + 1,
    view: {...view, ...holding, phase: 'held', lapse: 0, ...NOTHING_OPEN},
  });
  // Without a record first, a leader may be lost before it writes.
  return guards.recordsFirst ? {...next, record: holding} : next;
}

const NOTHING_OPEN = {unproved: 0, foreign: 0};

function succeed({guards}: RangeContext, state: RangeState): RangeState {
  const {record} = state;
  const foreign = guards.waitsForAuthority
    ? AUTHORITY + lapseTime(guards)
    : lapseTime(guards);
  const holding = {
    ...record,
    fence: guards.fencesRise ? TERM_FENCES + 1 : 1,
  };
  const next = setLeaderRun(state, 'N', {
    isOver: false,
    authority: AUTHORITY,
    view: {
      ...holding,
      phase: 'held',
      lapse: foreign,
      unproved: 0,
      foreign: guards.countsForeign ? foreign : 0,
    },
  });
  return {...next, hasSuccessor: true, record: holding};
}

function restart(state: RangeState, server: RangeServer): RangeState {
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
  let next = state;
  for (const server of RANGE_SERVERS) {
    if (server === slow) continue;
    next = setRun(next, server, ageServer(next.servers[server]));
  }
  for (const leader of RANGE_LEADERS) {
    const own = next.leaders[leader];
    next = setLeaderRun(next, leader, {
      ...(leader === suspended
        ? ageSuspended(ctx, own)
        : ageLeader(own, leader)),
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

function ageLeader(leader: LeaderRun, name: RangeLeader): Partial<LeaderRun> {
  const {authority, asked, view} = leader;
  const {lapse, unproved, foreign} = view;
  const times = {
    lapse: less(lapse),
    unproved: less(unproved),
    foreign: less(foreign),
  };
  return {
    // N stays in touch with the store: what a second successor would do is
    // what N does here.
    authority: name === 'L' ? less(authority) : authority,
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
  return {...ageLeader(leader, 'L'), view: leader.view};
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
