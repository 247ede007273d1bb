import {
  type AuthoritySafeguards,
  type AuthorityScope,
  type AuthorityState,
  type Pair,
  type PendingClaim,
  type Process,
  type SpecView,
  PROCESSES,
  T,
} from './authority-state.js';

/** What the rules and steps of one specification depend on. */
export interface AuthorityContext {
  readonly guards: AuthoritySafeguards;
  readonly scope: AuthorityScope;
}

/** Whether a process believes that it may act, at this very moment. */
export function mayAct(
  ctx: AuthorityContext,
  state: AuthorityState,
  proc: Process,
): boolean {
  const self = state.procs[proc];
  if (self.gone || believedView(state, proc).leader !== proc) return false;
  if (!isCleared(ctx, state, proc)) return false;
  if (self.readAge < T) return true;
  return self.consentAge < T && self.openClaims === 0;
}

/** Whether a leader holds all earlier leaders to be stopped. */
export function isCleared(
  ctx: AuthorityContext,
  state: AuthorityState,
  proc: Process,
): boolean {
  const {guards} = ctx;
  const {cleared, waited, cutFor} = state.procs[proc];
  if (cleared) return true;
  if (guards.waitsForReads && waited < waitTime(ctx)) return false;
  if (!guards.clearsConsent) return true;
  const needed = guards.waitsForConsent ? waitTime(ctx) : 0;
  return believedView(state, proc).unsettled.every(
    (pair, i) => state.procs[pair.leader].gone || cutFor[i]! >= needed,
  );
}

/** How long a claimant waits for a confirmation to be too old, in ticks. */
export function waitTime({guards, scope}: AuthorityContext): number {
  return guards.allowsForDrift ? T + scope.slowTicks : T;
}

/** The newest view that a process knows. */
export function believedView(state: AuthorityState, proc: Process): SpecView {
  return state.views[state.procs[proc].known]!;
}

/** Whether a standby consents to the leader of this epoch. */
export function consents(
  ctx: AuthorityContext,
  state: AuthorityState,
  standby: Process,
  epoch: number,
): boolean {
  const {gone, known, withdrawn} = state.procs[standby];
  if (gone || withdrawn >= epoch) return false;
  if (known < epoch) return false;
  return known === epoch || !ctx.guards.consentsForNewest;
}

/**
 * Whether the answers of a former pair show that no consent is given in it
 * any more. A standby that is asked withdraws, unless it knows a later view:
 * then it does not consent anyway.
 */
export function isCut(state: AuthorityState, pair: Pair): boolean {
  const {leader, standby, epoch} = pair;
  if (state.procs[leader].known > epoch || standby === null) return true;
  const {gone, known, withdrawn} = state.procs[standby];
  return gone || known > epoch || withdrawn >= epoch;
}

/** The view that the log holds after a claim, or null where it is void. */
export function foldClaim(
  {guards}: AuthorityContext,
  state: AuthorityState,
  claim: PendingClaim,
): SpecView | null {
  const isNewest = claim.previous === state.views.length - 1;
  if (!isNewest && guards.firstClaimWins) return null;
  const {leader, standby} = claim;
  return {leader, standby, unsettled: foldPairs(guards, state, claim)};
}

function foldPairs(
  guards: AuthoritySafeguards,
  state: AuthorityState,
  claim: PendingClaim,
): readonly Pair[] {
  const before = state.views[claim.previous]!;
  const kept = guards.clearsFormerPairs ? before.unsettled : [];
  if (claim.leader === before.leader) return claim.settled ? [] : kept;
  if (claim.leader === before.standby) return kept;
  const {leader, standby} = before;
  return [...kept, {epoch: claim.previous, leader, standby}];
}

/** Says who may act at once, or whose view went back, or null. */
export function findBreach(
  ctx: AuthorityContext,
  state: AuthorityState,
): string | null {
  const acting = PROCESSES.filter(proc => mayAct(ctx, state, proc));
  if (acting.length > 1) return `${acting.join(' and ')} may act at once`;
  const back = PROCESSES.find(proc => state.procs[proc].wentBack);
  return back === undefined ? null : `the view of ${back} went back`;
}
