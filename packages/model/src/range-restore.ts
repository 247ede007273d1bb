import {
  AUTHORITY,
  EPOCH_FENCES,
  HOLD,
  setLeaderRun,
  setRun,
  setView,
  TERM_FENCES,
  type RangeLeader,
  type RangeSafeguards,
  type RangeState,
  type RangeView,
} from './range-state.js';
import {
  isEnded,
  lapseTime,
  mayAct,
  obey,
  type RangeContext,
  type RangeStep,
} from './range-rules.js';

/** The store comes back from a copy that has the first record only. */
export const RESTORE_STEP: RangeStep = {
  says: 'the store is restored: all but the first record is forgotten',
  can: (_ctx, {restoresLeft}) => restoresLeft > 0,
  next: (_ctx, state) => ({
    ...state,
    newest: 'L',
    storeEpoch: state.storeEpoch + 1,
    terms: 0,
    record: {server: 'A', run: 0, fence: 1},
    earlierLeft: AUTHORITY,
    restoresLeft: state.restoresLeft - 1,
  }),
};

/** Steps of a leader after a restore. */
export const RESTORED_LEADER_STEPS = {
  goOn: {
    says: 'M learns of the restore and goes on in a new term',
    can: (ctx, state, leader) =>
      state.leaders[leader].storeEpoch < state.storeEpoch &&
      mayAct(ctx, state.leaders[leader]),
    next: goOn,
  },
  confirm: {
    says: 'M renews under its old fence, the server answers',
    can: mayConfirm,
    next: confirm,
  },
  confirmUnheard: {
    says: 'M renews under its old fence, the answer is lost',
    can: (ctx, state, leader) =>
      mayConfirm(ctx, state, leader) && !isEnded(state, leader),
    next: (_ctx, state, leader) => renewOld(state, leader) ?? state,
  },
  releaseAsked: {
    says: 'M has the range released by the first of the two',
    can: (ctx, state, leader) =>
      state.leaders[leader].view.phase === 'asked' &&
      mayAct(ctx, state.leaders[leader]),
    next: releaseAsked,
  },
  forget: {
    says: 'M may ask for what it remembers no longer',
    can: ({guards}, {leaders}, leader) =>
      guards.boundsRemembered &&
      !leaders[leader].isOver &&
      leaders[leader].view.phase === 'remembered' &&
      leaders[leader].confirmLeft === 0,
    next: loseTrack,
  },
} satisfies Readonly<Record<string, RangeStep>>;

/** Whether the store records and confirms for a leader's term at all. */
export function isOfHistory(
  {guards}: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): boolean {
  const {storeEpoch} = state.leaders[leader];
  return storeEpoch === state.storeEpoch || !guards.staysInHistory;
}

/** Whether the store says that nobody began after the leader. */
export function isNewest(
  ctx: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): boolean {
  return state.newest === leader && isOfHistory(ctx, state, leader);
}

/** Whether the record is of an earlier history. */
export function isOutdated({record, storeEpoch}: RangeState): boolean {
  return Math.floor(record.fence / EPOCH_FENCES) < storeEpoch;
}

/** The first fence of a term that begins now. */
export function firstFence(
  {fencesRiseOverRestores}: RangeSafeguards,
  {storeEpoch, terms}: RangeState,
): number {
  const base = fencesRiseOverRestores ? storeEpoch * EPOCH_FENCES : 0;
  return base + (terms + 1) * TERM_FENCES + 1;
}

/** The leader begins a term, and shuts out those before it. */
export function beginTerm(state: RangeState, leader: RangeLeader): RangeState {
  const next = setLeaderRun(state, leader, {
    isOver: false,
    authority: AUTHORITY,
    asked: null,
    storeEpoch: state.storeEpoch,
  });
  const earlierWait = leader === 'L' ? AUTHORITY : state.earlierWait;
  return {...next, newest: leader, terms: state.terms + 1, earlierWait};
}

/** A holding that nobody knows: it is free once all holds have lapsed. */
export function unknownView(
  guards: RangeSafeguards,
  state: RangeState,
): Partial<RangeView> {
  const lapse = state.earlierLeft + lapseTime(guards);
  const fence = firstFence(guards, {...state, terms: state.terms - 1});
  const none = {unproved: 0, foreign: 0, other: null};
  return {phase: 'unknown', lapse, fence, ...none};
}

function goOn(
  {guards, scope}: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): RangeState {
  const {authority, view, confirmLeft: before} = state.leaders[leader];
  const begun = beginTerm(state, leader);
  if (!isOutdated(state)) {
    const fence = firstFence(guards, state);
    const foreign = AUTHORITY + lapseTime(guards);
    const holding = {...state.record, fence};
    const taken = {lapse: foreign, unproved: 0, foreign, other: null};
    const next = setView(begun, leader, {...holding, ...taken, phase: 'held'});
    return {...next, record: holding};
  }
  const isDoubted = view.other !== null && guards.doubtsRecords;
  if (view.phase === 'unknown' || isDoubted)
    return loseTrack({guards}, begun, leader);
  const isStill = view.phase === 'remembered';
  const confirmLeft = isStill ? Math.min(before, authority) : authority;
  const next = setLeaderRun(begun, leader, {confirmLeft});
  const foreign = state.earlierLeft + lapseTime(guards);
  const remembered = {lapse: foreign, unproved: 0, foreign};
  const known = setView(next, leader, {
    ...remembered,
    ...(scope.asksRecordedFirst === true ? {} : swapOther(view)),
    phase: 'remembered',
  });
  return guards.confirmsRemembered ? known : takeOver(guards, known, leader);
}

/** The holding is this term's from now on, by its record and its fence. */
function takeOver(
  guards: RangeSafeguards,
  state: RangeState,
  leader: RangeLeader,
): RangeState {
  const {server, run} = state.leaders[leader].view;
  const fence = firstFence(guards, {...state, terms: state.terms - 1});
  const next = setView(state, leader, {phase: 'held', fence});
  // One that was replaced meanwhile can't record it.
  if (state.newest !== leader) {
    return setLeaderRun(next, leader, {isOver: true});
  }
  return {...next, record: {server, run, fence}};
}

/** The server before the recorded one is asked first. */
function swapOther({server, run, fence, other}: RangeView): Partial<RangeView> {
  return other === null ? {} : {...other, other: {server, run, fence}};
}

function releaseAsked(
  _ctx: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): RangeState {
  const {server, other} = state.leaders[leader].view;
  const released = setRun(state, server, {left: 0});
  return setView(released, leader, {
    ...other!,
    ...{phase: 'remembered', other: null},
  });
}

function mayConfirm(
  ctx: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): boolean {
  const {view, confirmLeft} = state.leaders[leader];
  if (view.phase !== 'remembered') return false;
  if (confirmLeft === 0 && ctx.guards.boundsRemembered) return false;
  return mayAct(ctx, state.leaders[leader]);
}

function confirm(
  {guards}: RangeContext,
  state: RangeState,
  leader: RangeLeader,
): RangeState {
  const renewed = isEnded(state, leader) ? null : renewOld(state, leader);
  if (renewed === null) return loseTrack({guards}, state, leader);
  if (state.leaders[leader].view.other !== null)
    return setView(renewed, leader, {phase: 'asked'});
  return takeOver(guards, renewed, leader);
}

function renewOld(state: RangeState, leader: RangeLeader): RangeState | null {
  const {server, fence} = state.leaders[leader].view;
  return obey(state, server, fence, HOLD);
}

function loseTrack(
  {guards}: Pick<RangeContext, 'guards'>,
  state: RangeState,
  leader: RangeLeader,
): RangeState {
  return setView(state, leader, unknownView(guards, state));
}
