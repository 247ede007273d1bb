/** Types and rules that the steps of the range specification share. */
import {
  DRIFT,
  HOLD,
  setRun,
  type LeaderRun,
  type RangeLeader,
  type RangeSafeguards,
  type RangeScope,
  type RangeServer,
  type RangeState,
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

export function mayAct({guards}: RangeContext, leader: LeaderRun): boolean {
  if (leader.isOver) return false;
  return leader.authority > 0 || !guards.boundsAuthority;
}

/** Whether another run answers at the holder's address. */
export function isEnded(state: RangeState, leader: RangeLeader): boolean {
  const {view} = state.leaders[leader];
  return state.servers[view.server].run !== view.run;
}

/** A server's state after a grant; null where it refuses. */
export function obey(
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

export function lapseTime({addsDrift}: RangeSafeguards): number {
  return addsDrift ? HOLD + DRIFT : HOLD;
}
