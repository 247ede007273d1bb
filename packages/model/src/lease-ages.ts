import type {LeaseContext} from './lease-rules.js';
import {
  type Account,
  type LeaderName,
  type LeaderState,
  type LeaseState,
  type ServerName,
  type ServerState,
  NEW_ACCOUNT,
  OLD,
  TTL,
} from './lease-state.js';

/** A tick passes for all, but for the server whose clock is slow. */
export function passTick(
  ctx: LeaseContext,
  state: LeaseState,
  slow: ServerName | null,
): LeaseState {
  const server = (name: ServerName): ServerState =>
    name === slow ? state.servers[name] : growOldServer(state.servers[name]);
  const leader = (name: LeaderName): LeaderState => ({
    ...state.leaders[name],
    accounts: {
      A: growOldAccount(ctx, state, name, 'A', slow),
      B: growOldAccount(ctx, state, name, 'B', slow),
    },
  });
  const isCleared = state.phase === 'cleared';
  return {
    ...state,
    clearedFor: isCleared ? Math.min(OLD, state.clearedFor + 1) : 0,
    servers: {A: server('A'), B: server('B')},
    leaders: {L: leader('L'), N: leader('N')},
    slowLeft: slow === null ? state.slowLeft : state.slowLeft - 1,
  };
}

function growOldServer(server: ServerState): ServerState {
  const left = Math.max(0, server.left - 1);
  // Without a deadline a request that is under way never gets too late.
  const isEndless = server.requestLeft === OLD;
  const requestLeft = isEndless ? OLD : Math.max(0, server.requestLeft - 1);
  const requestBy = requestLeft > 0 ? server.requestBy : null;
  return {...server, left, requestLeft, requestBy};
}

function growOldAccount(
  {guards}: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
  server: ServerName,
  slow: ServerName | null,
): Account {
  const account = state.leaders[leader].accounts[server];
  const {stray, openAge, acked} = account;
  const stampAge = (stray?.stampAge ?? 0) + (server === slow ? 0 : 1);
  const isVoid = guards.countsFromEcho && stampAge >= TTL;
  const kept = stray && {...stray, stampAge: Math.min(TTL, stampAge)};
  return {
    stray: isVoid ? null : kept,
    openAge: Math.min(OLD, openAge + 1),
    acked: acked && {...acked, age: Math.min(OLD, acked.age + 1)},
  };
}

/**
 * Forgets what nothing depends on any more, so that states which behave alike
 * are counted once: a stopped leader's account but for its late orders, and
 * counts for a shard that its leader will not move again.
 */
export function trim(ctx: LeaseContext, state: LeaseState): LeaseState {
  const isOver = state.phase === 'cleared';
  return {
    ...state,
    leaders: {
      L: isOver ? stopped(state.leaders.L) : settle(ctx, state, 'L'),
      N: settle(ctx, state, 'N'),
    },
  };
}

function stopped({accounts}: LeaderState): LeaderState {
  const keepStray = ({stray}: Account): Account => ({...NEW_ACCOUNT, stray});
  return {
    place: {kind: 'free', server: null},
    moved: 0,
    accounts: {A: keepStray(accounts.A), B: keepStray(accounts.B)},
  };
}

function settle(
  ctx: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
): LeaderState {
  const self = state.leaders[leader];
  const {place, moved, accounts} = self;
  if (place.kind !== 'held' || moved < ctx.scope.moves[leader]) return self;
  const keep = (server: ServerName): Account => {
    const {stray, acked} = accounts[server];
    const isUsed = !ctx.scope.checksFences && place.server === server;
    return {...NEW_ACCOUNT, stray, acked: isUsed ? acked : null};
  };
  return {...self, accounts: {A: keep('A'), B: keep('B')}};
}
