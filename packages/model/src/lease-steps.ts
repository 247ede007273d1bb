import {passTick} from './lease-ages.js';
import {
  arrive,
  exchange,
  moveTo,
  orderNow,
  restart,
  sequenceOf,
  takeOver,
} from './lease-changes.js';
import {
  type LeaseContext,
  isForeignOver,
  isReleased,
  mayMove,
  mayOrder,
  wants,
} from './lease-rules.js';
import {
  type LeaderName,
  type LeaseState,
  type ServerName,
  OLD,
  SERVERS,
  TTL,
  setAccount,
  setLeader,
  setServer,
} from './lease-state.js';

type Can = (
  ctx: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
  server: ServerName,
) => boolean;

type Next = (
  ctx: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
  server: ServerName,
) => LeaseState;

/** One kind of step of a leader at a server. */
export interface LeaseStep {
  /** How a trace names it; `L` stands for the leader, `P` for the server. */
  readonly says: string;
  readonly can: Can;
  readonly next: Next;
}

/** Steps of a leader that concern one server. */
export const LEADER_STEPS = {
  exchange: {
    says: 'L orders P its set, P acknowledges',
    can: canOrder,
    next: exchange,
  },
  orderLate: {
    says: 'L orders P the shard, the order is late',
    can: (ctx, state, leader, server) =>
      canOrder(ctx, state, leader, server) &&
      wants(state.leaders[leader], server),
    next: (_ctx, state, leader, server) =>
      setAccount(state, leader, server, {
        stray: {sequence: sequenceOf(state, leader), stampAge: 0},
        openAge: 0,
      }),
  },
  releaseUnheard: {
    says: 'L orders P to release, P does, its answer is lost',
    can: (ctx, state, leader, server) =>
      canOrder(ctx, state, leader, server) &&
      !wants(state.leaders[leader], server),
    next: (ctx, state, leader, server) =>
      setServer(state, server, orderNow(ctx, state, leader, server) ?? {}),
  },
  arrive: {
    says: 'a late order of L with the shard arrives at P',
    can: (_ctx, state, leader, server) =>
      state.leaders[leader].accounts[server].stray !== null,
    next: arrive,
  },
  arriveHeard: {
    says: 'an earlier order of L arrives at P, its answer at L',
    can: ({guards}, state, leader, server) => {
      const {stray, acked} = state.leaders[leader].accounts[server];
      return (
        !guards.oneOrderInFlight && stray !== null && acked?.holds === false
      );
    },
    next: (ctx, state, leader, server) =>
      setAccount(arrive(ctx, state, leader, server), leader, server, {
        stray: null,
        openAge: OLD,
      }),
  },
  dispatch: {
    says: 'L sends P a request, it is late',
    can: canDispatch,
    next: ({guards}, state, leader, server) => {
      const {acked} = state.leaders[leader].accounts[server];
      const requestLeft = guards.deadlineInLease ? TTL - acked!.age : OLD;
      return setServer(state, server, {requestLeft, requestBy: leader});
    },
  },
  answer: {
    says: "P's answer to the request of L arrives",
    can: (_ctx, state, leader, server) =>
      state.servers[server].requestBy === leader,
    next: (_ctx, state, _leader, server) =>
      setServer(state, server, {requestLeft: 0, requestBy: null}),
  },
  startMove: {
    says: 'L records that the shard moves away from P',
    can: (ctx, state, leader, server) =>
      mayMove(ctx, state, leader) &&
      wants(state.leaders[leader], server) &&
      state.leaders[leader].moved < ctx.scope.moves[leader],
    next: (ctx, state, leader, server) =>
      moveTo(ctx, state, leader, {kind: 'moving', server}),
  },
  endMove: {
    says: 'L holds the shard for released and records it at P',
    can: canGrant,
    next: (ctx, state, leader, server) =>
      moveTo(ctx, state, leader, {kind: 'held', server}),
  },
  recordUnheard: {
    says: "L records the shard at P, the standby's answer is lost",
    can: (ctx, state, leader, server) =>
      leader === 'L' &&
      ctx.scope.hasTable &&
      state.phase === 'old' &&
      canGrant(ctx, state, leader, server),
    next: (_ctx, state, _leader, server) => ({
      ...state,
      table: {kind: 'held', server},
    }),
  },
  ask: {
    says: 'L asks P, which reports the shard',
    can: (_ctx, state, leader, server) =>
      leader === 'N' &&
      state.phase === 'cleared' &&
      state.leaders.N.place.kind === 'unknown' &&
      state.servers[server].left > 0,
    next: (_ctx, state, leader, server) =>
      setLeader(state, leader, {place: {kind: 'held', server}}),
  },
} satisfies Readonly<Record<string, LeaseStep>>;

/** Steps of a server alone; the leader given does not matter. */
export const SERVER_STEPS = {
  restart: {
    says: 'P restarts',
    can: (_ctx, state) => state.restartsLeft > 0,
    next: (_ctx, state, _leader, server) => restart(state, server),
  },
  tickSlow: {
    says: "a tick passes that P's clock misses",
    can: (_ctx, state) => state.slowLeft > 0,
    next: (ctx, state, _leader, server) => passTick(ctx, state, server),
  },
} satisfies Readonly<Record<string, LeaseStep>>;

/** Steps of the whole cell. */
export const CELL_STEPS = {
  tick: {
    says: 'a tick passes',
    can: () => true,
    next: (ctx, state) => passTick(ctx, state, null),
  },
  takeOver: {
    says: 'the standby withdraws and claims: N leads',
    can: (_ctx, state) => state.phase === 'old',
    next: takeOver,
  },
  clear: {
    says: 'L cannot act any more: cleared',
    can: (_ctx, state) => state.phase === 'taken',
    next: (_ctx, state) => ({...state, phase: 'cleared', clearedFor: 0}),
  },
  giveUpAsking: {
    says: 'N holds the shard for free, since no server reported it',
    can: (ctx, state) => {
      if (state.phase !== 'cleared') return false;
      if (state.leaders.N.place.kind !== 'unknown') return false;
      const {A, B} = state.servers;
      if (isForeignOver(ctx, state)) return true;
      return !ctx.guards.waitsWhenAsking && A.left + B.left === 0;
    },
    next: (_ctx, state) =>
      setLeader(state, 'N', {place: {kind: 'free', server: null}}),
  },
} satisfies Readonly<Record<string, LeaseStep>>;

/** Orders matter at the server that has the shard, or is to release it. */
function canOrder(
  ctx: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
  server: ServerName,
): boolean {
  if (!mayOrder(ctx, state, leader)) return false;
  return state.leaders[leader].place.server === server;
}

function canDispatch(
  ctx: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
  server: ServerName,
): boolean {
  // Servers that check their lease for each request need no model of it.
  if (ctx.scope.checksFences || !mayOrder(ctx, state, leader)) return false;
  if (!wants(state.leaders[leader], server)) return false;
  const {acked} = state.leaders[leader].accounts[server];
  return acked !== null && acked.holds && acked.age < TTL;
}

function canGrant(
  ctx: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
  server: ServerName,
): boolean {
  if (!mayMove(ctx, state, leader)) return false;
  const {place} = state.leaders[leader];
  if (place.kind === 'held' || place.kind === 'unknown') return false;
  if (place.server === server) return false;
  // A table says which server may hold it; asked servers say less.
  const others = SERVERS.filter(name => name !== server);
  return others.every(name => isReleased(ctx, state, leader, name));
}
