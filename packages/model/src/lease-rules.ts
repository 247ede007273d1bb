import {
  type Account,
  type LeaderName,
  type LeaseSafeguards,
  type LeaseScope,
  type LeaseState,
  type Place,
  type ServerName,
  type ServerState,
  EPOCHS,
  MARGIN,
  SERVERS,
  TTL,
} from './lease-state.js';

/** What the rules and steps of one specification depend on. */
export interface LeaseContext {
  readonly guards: LeaseSafeguards;
  readonly scope: LeaseScope;
}

/** Whether a leader may write an order to a server now. */
export function mayOrder(
  {guards, scope}: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
): boolean {
  if (leader === 'L') return state.phase !== 'cleared';
  if (state.phase === 'old') return false;
  if (state.phase === 'cleared' || !guards.waitsForCleared) return true;
  return scope.checksFences && scope.hasTable;
}

/** Whether a leader may change where the shard is. */
export function mayMove(
  {guards}: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
): boolean {
  // L's changes need the standby, which stores none once it withdrew.
  if (leader === 'L') {
    if (state.phase === 'cleared') return false;
    return state.phase === 'old' || !guards.refusesLateTables;
  }
  if (state.phase === 'old') return false;
  return state.phase === 'cleared' || !guards.waitsForCleared;
}

/** Ticks after which a lease surely is over by a leader's count. */
export function lapseTime({guards}: LeaseContext): number {
  return guards.lapseMargin ? TTL + MARGIN : TTL;
}

/** Whether no order that the old leader wrote can be obeyed any more. */
export function isForeignOver(ctx: LeaseContext, state: LeaseState): boolean {
  if (!ctx.guards.waitsForLateOrders) return true;
  if (!ctx.guards.waitsForCleared && state.phase === 'taken') return true;
  return state.phase === 'cleared' && state.clearedFor >= lapseTime(ctx);
}

/** Whether a server surely doesn't hold the shard, by a leader's count. */
export function isReleased(
  ctx: LeaseContext,
  state: LeaseState,
  leader: LeaderName,
  server: ServerName,
): boolean {
  const {guards, scope} = ctx;
  const account = state.leaders[leader].accounts[server];
  const {acked, openAge} = account;
  if (acked?.holds && acked.age < lapseTime(ctx)) return false;
  if (guards.waitsForUnanswered && openAge < lapseTime(ctx)) return false;
  if (guards.drainsRequests && isRequestOpen(state, leader, server)) {
    return false;
  }
  if (leader === 'L') return true;
  if (scope.checksFences && shutsOut(guards, account)) return true;
  return isForeignOver(ctx, state);
}

/**
 * Whether an acknowledgement shows that a server which checks fences obeys no
 * former leader any more. Before `cleared` it may restart, forget the fence,
 * and be told by the former leader again.
 */
function shutsOut(guards: LeaseSafeguards, {acked}: Account): boolean {
  if (acked === null) return false;
  return acked.afterCleared || !guards.distrustsEarlyAcks;
}

function isRequestOpen(
  state: LeaseState,
  leader: LeaderName,
  server: ServerName,
): boolean {
  const {requestLeft, requestBy} = state.servers[server];
  return requestBy === leader && requestLeft > 0;
}

/** Whether the leader's orders to a server name the shard. */
export function wants({place}: {place: Place}, server: ServerName): boolean {
  return place.kind === 'held' && place.server === server;
}

/** What a server makes of an order: its new state, or null if it refuses. */
export function obey(
  {guards, scope}: LeaseContext,
  server: ServerState,
  leader: LeaderName,
  order: {sequence: number; stampAge: number; holds: boolean},
): ServerState | null {
  const {sequence, stampAge, holds} = order;
  const epoch = EPOCHS[leader];
  const isOlder =
    epoch < server.epoch ||
    (epoch === server.epoch && sequence < server.sequence);
  if (scope.checksFences && guards.checksFence && isOlder) return null;
  const rest = TTL - stampAge;
  if (guards.countsFromEcho && rest <= 0) return null;
  const left = guards.countsFromEcho ? rest : TTL;
  const isDeposed = scope.checksFences && epoch < server.epoch;
  const misdeed = isDeposed
    ? 'obeyed a deposed leader'
    : holds && left > rest
      ? 'prolonged a lease'
      : server.misdeed;
  return {
    ...server,
    left: holds ? left : 0,
    epoch: scope.checksFences ? epoch : 0,
    sequence: scope.checksFences ? sequence : 0,
    misdeed,
  };
}

/** Says which promise is broken in a state, or null. */
export function findLeaseBreach(
  {scope}: LeaseContext,
  {servers}: LeaseState,
): string | null {
  const {A, B} = servers;
  if (A.left > 0 && B.left > 0) return 'A and B both hold the shard';
  for (const name of SERVERS) {
    const other = name === 'A' ? B : A;
    const self = servers[name];
    if (scope.ownersOnly && self.misdeed !== 'none') continue;
    if (self.misdeed !== 'none') return `${name} ${self.misdeed}`;
    // A server that checks its lease for each request is covered above.
    if (scope.checksFences || self.requestLeft === 0 || other.left === 0) {
      continue;
    }
    return `${name} may run a request while the other server holds the shard`;
  }
  return null;
}
