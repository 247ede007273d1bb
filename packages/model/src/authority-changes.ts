import {
  type AuthorityContext,
  believedView,
  foldClaim,
  isCut,
  waitTime,
} from './authority-rules.js';
import {
  type AuthorityState,
  type Process,
  type ProcessState,
  PROCESSES,
  T,
  update,
} from './authority-state.js';

/** The log takes a claim; its reply is lost. */
export function applyClaim(
  ctx: AuthorityContext,
  state: AuthorityState,
  proc: Process,
): AuthorityState {
  const sent = update(state, proc, {pending: null});
  if (state.views.length > ctx.scope.maxViews) return sent;
  const view = foldClaim(ctx, state, state.procs[proc].pending!);
  return view === null ? sent : {...sent, views: [...sent.views, view]};
}

/** Takes in what a read showed; a view never goes back. */
export function learn(
  {guards}: AuthorityContext,
  state: AuthorityState,
  proc: Process,
  seen: number,
  age: number,
): AuthorityState {
  const self = state.procs[proc];
  if (seen === self.known) return confirm(state, proc, age);
  if (seen < self.known && guards.viewsOnlyAdvance) return state;
  const view = state.views[seen]!;
  const isLeader = view.leader === proc;
  const goesOn = isLeader && believedView(state, proc).leader === proc;
  return update(state, proc, {
    known: seen,
    wentBack: self.wentBack || seen < self.known,
    readAge: isLeader ? Math.min(T, age) : T,
    consentAge: T,
    question: null,
    openClaims: 0,
    cleared: goesOn && self.cleared,
    waited: goesOn ? self.waited : 0,
    cutFor: isLeader ? view.unsettled.map(() => -1) : [],
  });
}

/** The view is still the newest one, as of a read sent so long ago. */
function confirm(
  state: AuthorityState,
  proc: Process,
  age: number,
): AuthorityState {
  if (believedView(state, proc).leader !== proc) return state;
  const readAge = Math.min(age, state.procs[proc].readAge);
  return update(state, proc, {readAge});
}

/** Asks all former pairs that can be asked, in one step. */
export function askPairs(state: AuthorityState, proc: Process): AuthorityState {
  let asked = state;
  const pairs = believedView(state, proc).unsettled;
  for (const pair of pairs) {
    const {standby, epoch} = pair;
    if (isCut(asked, pair) || standby === null) continue;
    asked = update(asked, standby, {withdrawn: epoch});
  }
  const cutFor = pairs.map((pair, i) => {
    const age = state.procs[proc].cutFor[i]!;
    return age === -1 && isCut(asked, pair) ? 0 : age;
  });
  return update(asked, proc, {cutFor});
}

/** A tick passes for all; for L only where its clock isn't slow. */
export function passTick(
  ctx: AuthorityContext,
  state: AuthorityState,
  slow: boolean,
): AuthorityState {
  const procs: Record<Process, ProcessState> = {...state.procs};
  for (const proc of PROCESSES) {
    if (slow && proc === 'L') continue;
    procs[proc] = growOld(ctx, state, proc);
  }
  const slowLeft = slow ? state.slowLeft - 1 : state.slowLeft;
  return {...state, slowLeft, procs};
}

/** Ages stop at the shortest one that nothing tells from older ones. */
function growOld(
  ctx: AuthorityContext,
  state: AuthorityState,
  proc: Process,
): ProcessState {
  const self = state.procs[proc];
  const {read, question} = self;
  const older = (age: number): number => Math.min(T, age + 1);
  const waitOn = (age: number): number => Math.min(waitTime(ctx), age + 1);
  const isWaiting =
    !self.cleared && !self.gone && believedView(state, proc).leader === proc;
  if (self.readAge === T && self.consentAge === T && !isWaiting) {
    if (read === null && question === null) return self;
  }
  return {
    ...self,
    readAge: older(self.readAge),
    read: read && {...read, age: older(read.age)},
    consentAge: older(self.consentAge),
    question: question && {...question, age: older(question.age)},
    waited: isWaiting ? waitOn(self.waited) : self.waited,
    cutFor: self.cutFor.map(age => (age < 0 ? age : waitOn(age))),
  };
}
