import {type LeaseContext, obey, wants} from './lease-rules.js';
import {
  type LeaderName,
  type LeaseState,
  type Place,
  type ServerName,
  type ServerState,
  OLD,
  restarted,
  setAccount,
  setLeader,
  setServer,
} from './lease-state.js';

/** The sequence of a leader's orders; it grows with each change. */
export function sequenceOf(state: LeaseState, leader: LeaderName): number {
  const {place, moved} = state.leaders[leader];
  return 1 + 2 * moved + (place.kind === 'moving' ? 1 : 0);
}

/** The server after an order that reaches it at once, with a new echo. */
export function orderNow(
  ctx: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
  server: ServerName,
): ServerState | null {
  const holds = wants(state.leaders[leader], server);
  const sequence = sequenceOf(state, leader);
  const order = {sequence, stampAge: 0, holds};
  return obey(ctx, state.servers[server], leader, order);
}

/** An order that is obeyed, or refused, and answered at once. */
export function exchange(
  ctx: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
  server: ServerName,
): LeaseState {
  const obeyed = orderNow(ctx, state, leader, server);
  if (obeyed === null) return state;
  const {guards, scope} = ctx;
  const holds = wants(state.leaders[leader], server);
  const account = state.leaders[leader].accounts[server];
  const afterCleared = leader === 'L' || state.phase === 'cleared';
  const told = setServer(state, server, obeyed);
  // An acknowledged order may be delivered once more to a checking server.
  const isRepeated = holds && (scope.checksFences || !guards.deliversOnce);
  const repeated = {sequence: sequenceOf(state, leader), stampAge: 0};
  return setAccount(told, leader, server, {
    stray: isRepeated ? repeated : account.stray,
    // A server that checks fences refuses whatever is older.
    openAge: scope.checksFences ? OLD : account.openAge,
    acked: {holds, age: 0, afterCleared},
  });
}

/** It stays under way: another such order may have been sent. */
export function arrive(
  ctx: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
  server: ServerName,
): LeaseState {
  const stray = state.leaders[leader].accounts[server].stray!;
  const order = {...stray, holds: true};
  const obeyed = obey(ctx, state.servers[server], leader, order);
  return obeyed === null ? state : setServer(state, server, obeyed);
}

/** Changes where a leader has the shard; L tells its standby first. */
export function moveTo(
  {guards, scope}: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
  place: Place,
): LeaseState {
  const {moved} = state.leaders[leader];
  const isEnd = place.kind === 'held';
  const next = setLeader(state, leader, {
    place,
    moved: isEnd ? moved + 1 : moved,
  });
  if (leader === 'N' || !guards.writesAhead || !scope.hasTable) return next;
  return state.phase === 'old' ? {...next, table: place} : next;
}

/** A shard that was moving stays where it was; see `recovery.ts`. */
export function takeOver({scope}: LeaseContext, state: LeaseState): LeaseState {
  const {server} = state.table;
  const table: Place = {kind: 'free', server: null};
  const taken: LeaseState = {...state, phase: 'taken', table};
  if (!scope.hasTable || server === null) return taken;
  return setLeader(taken, 'N', {place: {kind: 'held', server}});
}

/** Orders that echo the old run's stamps are void at the new one. */
export function restart(state: LeaseState, server: ServerName): LeaseState {
  let next = setServer(state, server, restarted(state.servers[server]));
  next = setAccount(next, 'L', server, {stray: null});
  next = setAccount(next, 'N', server, {stray: null});
  return {...next, restartsLeft: state.restartsLeft - 1};
}
