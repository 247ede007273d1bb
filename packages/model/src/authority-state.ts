/** The processes: the first leader, its standby, and two more. */
export const PROCESSES = ['L', 'S', 'C', 'D'] as const;
export type Process = (typeof PROCESSES)[number];

/** Safeguards that a test can take away, one at a time. */
export interface AuthoritySafeguards {
  /** A claimant waits T before it acts. */
  readonly waitsForReads: boolean;
  /** The wait is longer than T by the drift of two clocks. */
  readonly allowsForDrift: boolean;
  /** Ages count from when a read or question was sent, not answered. */
  readonly agesFromSending: boolean;
  /** A standby withdraws before it claims. */
  readonly withdrawsFirst: boolean;
  /** A standby consents for the newest epoch it knows only. */
  readonly consentsForNewest: boolean;
  /** A third process clears the standby's consent, not the log alone. */
  readonly clearsConsent: boolean;
  /** Consent ended T ago, not just now, when a claimant counts it as over. */
  readonly waitsForConsent: boolean;
  /** A claimant clears former pairs too. */
  readonly clearsFormerPairs: boolean;
  /** A leader calls former pairs settled only once it has cleared them. */
  readonly settlesWhenCleared: boolean;
  /** A leader that replaces its standby stops counting on the old one. */
  readonly dropsConsentOnReplace: boolean;
  /** One claim that is proved void says nothing of an earlier one. */
  readonly countsOpenClaims: boolean;
  /** An answer that shows an earlier view than the known one is dropped. */
  readonly viewsOnlyAdvance: boolean;
  /** The first claim on an epoch wins, later ones are void. */
  readonly firstClaimWins: boolean;
}

export const ALL_AUTHORITY_SAFEGUARDS: AuthoritySafeguards = {
  waitsForReads: true,
  allowsForDrift: true,
  agesFromSending: true,
  withdrawsFirst: true,
  consentsForNewest: true,
  clearsConsent: true,
  waitsForConsent: true,
  clearsFormerPairs: true,
  settlesWhenCleared: true,
  dropsConsentOnReplace: true,
  countsOpenClaims: true,
  viewsOnlyAdvance: true,
  firstClaimWins: true,
};

/** What may happen in one exploration; keeps each one exhaustible. */
export interface AuthorityScope {
  /** Who may claim, and the standby that the claim names. */
  readonly claims: Readonly<Partial<Record<Process, Process | null>>>;
  /** Who of these claims only while it is the standby. */
  readonly standbysOnly: readonly Process[];
  /** Who may name a new standby while it leads, and which one. */
  readonly replaces: Readonly<Partial<Record<Process, Process>>>;
  /** Such claims of one process whose outcome it does not know, at most. */
  readonly openClaims: number;
  /** Who may be lost for good, and be proved gone. */
  readonly mortal: readonly Process[];
  /** Whether answers to L's reads and questions may come late. */
  readonly lateAnswers: boolean;
  /** Ticks that L's clock may miss; claimants wait that much longer. */
  readonly slowTicks: number;
  /** Claims that the log may take. */
  readonly maxViews: number;
}

/** A leader of an earlier epoch and the standby that may consent to it. */
export interface Pair {
  readonly epoch: number;
  readonly leader: Process;
  readonly standby: Process | null;
}

/** A view in the log; its epoch is its index there. */
export interface SpecView {
  readonly leader: Process;
  readonly standby: Process | null;
  readonly unsettled: readonly Pair[];
}

/** A claim that was sent and may be applied at any later moment. */
export interface PendingClaim {
  readonly previous: number;
  readonly leader: Process;
  readonly standby: Process | null;
  readonly settled: boolean;
}

export interface LateRead {
  readonly age: number;
  readonly seen: number;
}

export interface Question {
  readonly age: number;
  readonly granted: boolean;
}

export interface ProcessState {
  readonly gone: boolean;
  /** The newest view that it knows, by index. */
  readonly known: number;
  /** Whether it ever took an earlier view for the newest one. */
  readonly wentBack: boolean;
  /** Ticks since its last confirmed read was sent; T: too old. */
  readonly readAge: number;
  readonly read: LateRead | null;
  /** Ticks since the consent that it lives on was asked for; T: too old. */
  readonly consentAge: number;
  readonly question: Question | null;
  /** Claims with another standby that it sent and that may be in force. */
  readonly openClaims: number;
  /** The newest epoch for which it withdrew as a standby; -1: none. */
  readonly withdrawn: number;
  /** Whether earlier leaders were stopped when this leadership began. */
  readonly cleared: boolean;
  /** Ticks since it read its own claim back. */
  readonly waited: number;
  /** For each former pair, ticks since it got no consent; -1: it may. */
  readonly cutFor: readonly number[];
  readonly pending: PendingClaim | null;
}

export interface AuthorityState {
  readonly views: readonly SpecView[];
  readonly slowLeft: number;
  readonly procs: Readonly<Record<Process, ProcessState>>;
}

/** How long a confirmation lasts, in ticks. */
export const T = 2;

const IDLE: ProcessState = {
  gone: false,
  known: 0,
  wentBack: false,
  readAge: T,
  read: null,
  consentAge: T,
  question: null,
  openClaims: 0,
  withdrawn: -1,
  cleared: false,
  waited: 0,
  cutFor: [],
  pending: null,
};

/** All is well: L leads with S as its standby, and has just read the log. */
export function createInitial(scope: AuthorityScope): AuthorityState {
  return {
    views: [{leader: 'L', standby: 'S', unsettled: []}],
    slowLeft: scope.slowTicks,
    procs: {
      L: {...IDLE, cleared: true, readAge: 0},
      S: IDLE,
      C: IDLE,
      D: IDLE,
    },
  };
}

/** Changes one process. */
export function update(
  state: AuthorityState,
  proc: Process,
  change: Partial<ProcessState>,
): AuthorityState {
  const self = {...state.procs[proc], ...change};
  return {...state, procs: {...state.procs, [proc]: self}};
}

/** A short string that says all of a state. */
export function serializeAuthority(state: AuthorityState): string {
  let key = `${state.slowLeft}`;
  // The pairs follow from the claims, but for the times they were emptied.
  for (const {leader, standby, unsettled} of state.views) {
    key += leader + (standby ?? '-') + unsettled.length;
  }
  for (const proc of PROCESSES) key += serializeProcess(state.procs[proc]);
  return key;
}

function serializeProcess(self: ProcessState): string {
  if (self === IDLE) return '|';
  const {read, question, pending} = self;
  let key = `|${self.known}${self.readAge}${self.consentAge}${self.waited}`;
  key += `${self.withdrawn + 1}${toFlags(self)}`;
  if (read) key += `r${read.age}${read.seen}`;
  if (question) key += `q${question.age}${question.granted ? 1 : 0}`;
  for (const age of self.cutFor) key += age + 1;
  if (pending) {
    key += `p${pending.previous}${pending.standby ?? '-'}`;
    key += pending.settled ? 's' : '';
  }
  return key;
}

function toFlags(self: ProcessState): string {
  const {gone, openClaims, cleared, wentBack} = self;
  return [gone, cleared, wentBack].map(Number).join('') + openClaims;
}
