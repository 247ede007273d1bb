import {applyClaim, askPairs, learn, passTick} from './authority-changes.js';
import {
  type AuthorityContext,
  believedView,
  consents,
  isCleared,
} from './authority-rules.js';
import {
  type AuthorityState,
  type PendingClaim,
  type Process,
  T,
  update,
} from './authority-state.js';

/** One kind of step: when it is possible, and what comes of it. */
export interface AuthorityStep {
  /** How a trace names it; `P` stands for the process. */
  readonly says: string;
  readonly can: (
    ctx: AuthorityContext,
    state: AuthorityState,
    proc: Process,
  ) => boolean;
  readonly next: (
    ctx: AuthorityContext,
    state: AuthorityState,
    proc: Process,
  ) => AuthorityState;
}

/** Steps of a process that lives. */
export const LIVING_STEPS = {
  read: {
    says: 'P reads the log to its end',
    can: (ctx, state, proc) => !isLate(ctx, proc) && hasUseOfRead(state, proc),
    next: (ctx, state, proc) => learn(ctx, state, proc, newest(state), 0),
  },
  sendRead: {
    says: 'P sends a read, the log answers it',
    can: (ctx, state, proc) =>
      isLate(ctx, proc) &&
      state.procs[proc].read === null &&
      hasUseOfRead(state, proc),
    next: (_ctx, state, proc) =>
      update(state, proc, {read: {age: 0, seen: newest(state)}}),
  },
  getRead: {
    says: 'P gets the answer to its read',
    can: (_ctx, state, proc) => state.procs[proc].read !== null,
    next: (ctx, state, proc) => {
      const {age, seen} = state.procs[proc].read!;
      const taken = update(state, proc, {read: null});
      const counted = ctx.guards.agesFromSending ? age : 0;
      return learn(ctx, taken, proc, seen, counted);
    },
  },
  hear: {
    says: 'P hears of the newest view from another process',
    can: (ctx, state, proc) =>
      isLate(ctx, proc) && state.procs[proc].known < newest(state),
    next: (ctx, state, proc) => learn(ctx, state, proc, newest(state), T),
  },
  getConsent: {
    says: 'P asks its standby for consent and gets it',
    can: (ctx, state, proc) =>
      !isLate(ctx, proc) &&
      state.procs[proc].consentAge > 0 &&
      isGranted(ctx, state, proc),
    next: (_ctx, state, proc) => update(state, proc, {consentAge: 0}),
  },
  ask: {
    says: 'P asks its standby for consent',
    can: (ctx, state, proc) =>
      isLate(ctx, proc) &&
      state.procs[proc].question === null &&
      believedView(state, proc).leader === proc &&
      believedView(state, proc).standby !== null,
    next: (_ctx, state, proc) =>
      update(state, proc, {question: {age: 0, granted: false}}),
  },
  grant: {
    says: "P's standby consents",
    can: (ctx, state, proc) =>
      state.procs[proc].question?.granted === false &&
      isGranted(ctx, state, proc),
    next: (_ctx, state, proc) => {
      const {age} = state.procs[proc].question!;
      return update(state, proc, {question: {age, granted: true}});
    },
  },
  getGrant: {
    says: 'P gets the answer of its standby',
    can: (_ctx, state, proc) => state.procs[proc].question?.granted === true,
    next: ({guards}, state, proc) => {
      const {question, consentAge} = state.procs[proc];
      const age = guards.agesFromSending ? question!.age : 0;
      const youngest = Math.min(age, consentAge);
      return update(state, proc, {question: null, consentAge: youngest});
    },
  },
  withdraw: {
    says: 'P, the standby, withdraws its consent',
    can: ({scope}, state, proc) =>
      proc in scope.claims &&
      believedView(state, proc).standby === proc &&
      state.procs[proc].withdrawn < state.procs[proc].known,
    next: (_ctx, state, proc) =>
      update(state, proc, {withdrawn: state.procs[proc].known}),
  },
  clear: {
    says: 'P finds former pairs without consent, or asks for that',
    can: (ctx, state, proc) => {
      if (believedView(state, proc).leader !== proc) return false;
      if (isCleared(ctx, state, proc)) return false;
      return state.procs[proc].cutFor.includes(-1) && canAskPairs(state, proc);
    },
    next: (_ctx, state, proc) => askPairs(state, proc),
  },
  claim: {
    says: 'P sends a claim',
    can: canClaim,
    next: (ctx, state, proc) => {
      const sent = sendClaim(state, proc, {
        previous: state.procs[proc].known,
        leader: proc,
        standby: ctx.scope.claims[proc] ?? null,
        settled: false,
      });
      // A claim has an effect only while its sender knows no later view, so
      // nothing the sender does meanwhile makes a difference, but its loss.
      if (ctx.scope.mortal.includes(proc)) return sent;
      return applyClaim(ctx, sent, proc);
    },
  },
  replace: {
    says: 'P, the leader, sends a claim with another standby',
    can: ({scope}, state, proc) => {
      const view = believedView(state, proc);
      const {pending, openClaims} = state.procs[proc];
      if (view.leader !== proc || pending) return false;
      if (openClaims >= scope.openClaims) return false;
      const next = scope.replaces[proc];
      return next !== undefined && next !== view.standby;
    },
    next: (ctx, state, proc) => {
      const {guards, scope} = ctx;
      const sent = sendClaim(state, proc, {
        previous: state.procs[proc].known,
        leader: proc,
        standby: scope.replaces[proc]!,
        settled: !guards.settlesWhenCleared || isCleared(ctx, state, proc),
      });
      if (!guards.dropsConsentOnReplace) return sent;
      const openClaims = state.procs[proc].openClaims + 1;
      return update(sent, proc, {openClaims});
    },
  },
  notApplied: {
    says: "P learns that its claim wasn't applied and never will be",
    can: ({scope}, state, proc) =>
      proc in scope.replaces && state.procs[proc].pending !== null,
    next: ({guards}, state, proc) => {
      const left = Math.max(0, state.procs[proc].openClaims - 1);
      const openClaims = guards.countsOpenClaims ? left : 0;
      return update(state, proc, {pending: null, openClaims});
    },
  },
  lose: {
    says: 'P is lost, and proved gone',
    can: ({scope}, _state, proc) => scope.mortal.includes(proc),
    next: (_ctx, state, proc) =>
      update(state, proc, {
        gone: true,
        read: null,
        question: null,
        readAge: T,
        consentAge: T,
        waited: 0,
        cutFor: [],
      }),
  },
} satisfies Readonly<Record<string, AuthorityStep>>;

/** Steps that need no living process. */
export const OUTER_STEPS = {
  apply: {
    says: "the log takes P's claim, the reply is lost",
    can: (_ctx, state, proc) => state.procs[proc].pending !== null,
    next: (ctx, state, proc) => applyClaim(ctx, state, proc),
  },
  tick: {
    says: 'a tick passes',
    can: (_ctx, _state, proc) => proc === 'L',
    next: (ctx, state) => passTick(ctx, state, false),
  },
  tickSlow: {
    says: "a tick passes that P's clock misses",
    can: (_ctx, state, proc) => proc === 'L' && state.slowLeft > 0,
    next: (ctx, state) => passTick(ctx, state, true),
  },
} satisfies Readonly<Record<string, AuthorityStep>>;

function isLate({scope}: AuthorityContext, proc: Process): boolean {
  return scope.lateAnswers && proc === 'L';
}

function newest(state: AuthorityState): number {
  return state.views.length - 1;
}

/** Reads that would change nothing are left out. */
function hasUseOfRead(state: AuthorityState, proc: Process): boolean {
  const {known, readAge} = state.procs[proc];
  if (known < newest(state)) return true;
  return readAge > 0 && believedView(state, proc).leader === proc;
}

function isGranted(
  ctx: AuthorityContext,
  state: AuthorityState,
  proc: Process,
): boolean {
  const {leader, standby} = believedView(state, proc);
  if (leader !== proc || standby === null) return false;
  return consents(ctx, state, standby, state.procs[proc].known);
}

function canClaim(
  {guards, scope}: AuthorityContext,
  state: AuthorityState,
  proc: Process,
): boolean {
  if (!(proc in scope.claims)) return false;
  const {pending, known, withdrawn} = state.procs[proc];
  // A claim that is void already may be followed by another.
  if (pending !== null && pending.previous === known) return false;
  const view = believedView(state, proc);
  if (view.leader === proc) return false;
  if (view.standby !== proc) return !scope.standbysOnly.includes(proc);
  return withdrawn >= known || !guards.withdrawsFirst;
}

function sendClaim(
  state: AuthorityState,
  proc: Process,
  pending: PendingClaim,
): AuthorityState {
  return update(state, proc, {pending});
}

function canAskPairs(state: AuthorityState, proc: Process): boolean {
  const {cutFor} = state.procs[proc];
  return believedView(state, proc).unsettled.some(
    (pair, i) => cutFor[i] === -1 && state.procs[pair.leader].gone === false,
  );
}
