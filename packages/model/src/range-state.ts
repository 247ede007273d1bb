/** Servers that may hold the range; A does at first. */
export const RANGE_SERVERS = ['A', 'B'] as const;
export type RangeServer = (typeof RANGE_SERVERS)[number];

/** The leader at first, and its successor. */
export const RANGE_LEADERS = ['L', 'N'] as const;
export type RangeLeader = (typeof RANGE_LEADERS)[number];

/** Ticks of a hold, of a leader's authority, and what drift adds to a hold. */
export const HOLD = 1;
export const AUTHORITY = 2;
export const DRIFT = 1;

/** Fences of one term; the term's epoch takes what is above. */
export const TERM_FENCES = 10;
/** Fences of one epoch of the store's history. */
export const EPOCH_FENCES = 1_000;

/** Safeguards that a test can take away, one at a time. */
export interface RangeSafeguards {
  /** Only a holding that is on record is granted. */
  readonly recordsFirst: boolean;
  /** The store accepts no record of a leader that was replaced. */
  readonly fencesRecords: boolean;
  /** Without an answered release, a range moves only after the lapse. */
  readonly waitsForLapse: boolean;
  /** The lapse is counted with a margin for slow clocks. */
  readonly addsDrift: boolean;
  /** A grant without an answer counts until it could have lapsed. */
  readonly countsUnproved: boolean;
  /** A renewal and a release never cross. */
  readonly ordersInTurn: boolean;
  /** Grants of the earlier leader count until this one's fence was seen. */
  readonly countsForeign: boolean;
  /** What was adopted lapses only after the earlier leader's authority. */
  readonly waitsForAuthority: boolean;
  /** A leader without the store's confirmation stops acting. */
  readonly boundsAuthority: boolean;
  /** Authority counts from the question, not from its answer. */
  readonly countsFromAsking: boolean;
  /** Authority ends also while the leader's host is suspended. */
  readonly seesSuspension: boolean;
  /** A successor's fences are above all earlier ones. */
  readonly fencesRise: boolean;
  /** Only another run at its address proves that a server's run ended. */
  readonly provesEnds: boolean;
  /** Fences are above all of earlier epochs of the store's history. */
  readonly fencesRiseOverRestores: boolean;
  /** The store confirms and records only for terms of its present history. */
  readonly staysInHistory: boolean;
  /** Servers confirm what a leader remembers from before a restore. */
  readonly confirmsRemembered: boolean;
  /** What is remembered is confirmed within the authority of that time. */
  readonly boundsRemembered: boolean;
  /** A record of an earlier history is believed by nobody. */
  readonly distrustsCopies: boolean;
  /** Over a restore, a record without an answer is believed neither way. */
  readonly doubtsRecords: boolean;
  /** A leader that answers that its term has ended never acts in it again. */
  readonly endsTerm: boolean;
  /** It answers so only while none of its orders is in transit. */
  readonly drainsOrders: boolean;
  /** Another process at the leader's address proves nothing. */
  readonly asksSameRun: boolean;
  /** Its answer includes how long leaders before it may still act. */
  readonly inheritsWait: boolean;
}

export const ALL_RANGE_SAFEGUARDS: RangeSafeguards = {
  recordsFirst: true,
  fencesRecords: true,
  waitsForLapse: true,
  addsDrift: true,
  countsUnproved: true,
  ordersInTurn: true,
  countsForeign: true,
  waitsForAuthority: true,
  boundsAuthority: true,
  countsFromAsking: true,
  seesSuspension: true,
  fencesRise: true,
  provesEnds: true,
  fencesRiseOverRestores: true,
  staysInHistory: true,
  confirmsRemembered: true,
  boundsRemembered: true,
  distrustsCopies: true,
  doubtsRecords: true,
  endsTerm: true,
  drainsOrders: true,
  asksSameRun: true,
  inheritsWait: true,
};

/** What may happen in one exploration; keeps each one exhaustible. */
export interface RangeScope {
  /** Moves by each leader. */
  readonly moves: Readonly<Record<RangeLeader, number>>;
  /** Restarts of servers, each at its address. */
  readonly restarts: number;
  /** Ticks that a server's clock may miss. */
  readonly slowTicks: number;
  /** Ticks for which L's host may be suspended. */
  readonly suspendedTicks: number;
  /** Restores of the store from a copy of the first record. */
  readonly restores: number;
  /** Whether a leader's records may have no answer. */
  readonly unansweredRecords?: boolean;
  /**
   * Whom a leader without `doubtsRecords` asks first after a restore: the
   * server that it recorded, or the one before it.
   */
  readonly asksRecordedFirst?: boolean;
  /** Whether all hosts and servers may lose power at once. */
  readonly powerLoss: boolean;
  /** Orders of each leader to each server that may be carried out late. */
  readonly lateOrders: boolean;
  /** Whether N may ask L whether L's term has ended. */
  readonly asksEnd?: boolean;
  /** Whether orders of L may be in transit for a tick. */
  readonly transit?: boolean;
  /** Whether L's process may be lost while L is the newest leader. */
  readonly processLoss?: boolean;
  /** Whether a leader before L may still act at first. */
  readonly earlierLeader?: boolean;
}

/** One run of a server and the range. */
export interface ServerRun {
  /** Counts restarts. */
  readonly run: number;
  /** Ticks for which it still holds the range; 0: it doesn't. */
  readonly left: number;
  /** The highest fence that it has seen. */
  readonly seen: number;
}

/** A grant that arrived, had no answer and is not carried out yet. */
export interface LateGrant {
  readonly fence: number;
  readonly run: number;
  /** Ticks since it arrived. */
  readonly age: number;
}

/** An order of L that hasn't arrived. */
export interface SentGrant {
  readonly server: RangeServer;
  readonly fence: number;
  readonly run: number;
  /** Ticks since it was sent. */
  readonly age: number;
}

/** A server, and the fence with which it has the range. */
export interface RangeHolding {
  readonly server: RangeServer;
  readonly run: number;
  readonly fence: number;
}

/** The holding as a leader has it. */
export interface RangeView extends RangeHolding {
  /**
   * - `held`: granted and renewed.
   * - `moving`: to be released.
   * - `released`: its holder gave it back.
   * - `lapsing`: its holder can't be asked, or didn't answer.
   * - `free`: its holder's run has ended.
   * - `recording`: released; its record for another had no answer.
   */
  readonly phase:
    | 'held'
    | 'moving'
    | 'released'
    | 'lapsing'
    | 'free'
    | 'recording'
    /** Known from before a restore of the store; not confirmed yet. */
    | 'remembered'
    /** Without `doubtsRecords`: confirmed by the first, to be released. */
    | 'asked'
    /** By a record of before a restore: anybody may hold it. */
    | 'unknown';
  /** The other server, while a record had no answer; otherwise null. */
  readonly other: RangeHolding | null;
  /** Ticks until each of these is surely over. */
  readonly lapse: number;
  readonly unproved: number;
  readonly foreign: number;
}

/** One leader. */
export interface LeaderRun {
  /** Ticks for which it may act; 0: not. */
  readonly authority: number;
  /** Ticks since its question to the store without an answer yet; or null. */
  readonly asked: number | null;
  /** Stopped for good. */
  readonly isOver: boolean;
  /** Epoch of the store's history in which its term began. */
  readonly storeEpoch: number;
  /** Ticks for which it may ask for what it remembers. */
  readonly confirmLeft: number;
  readonly view: RangeView;
  readonly moved: number;
  /** Late grants by server. */
  readonly late: Readonly<Record<RangeServer, LateGrant | null>>;
}

/** Everything. */
export interface RangeState {
  /** Who began last, as the store has it. */
  readonly newest: RangeLeader;
  /** Epoch of the store's history. */
  readonly storeEpoch: number;
  /** Terms that began in it. */
  readonly terms: number;
  /** Ticks until leaders of earlier histories surely act no longer. */
  readonly earlierLeft: number;
  readonly restoresLeft: number;
  /** The record in the store. */
  readonly record: RangeHolding;
  readonly servers: Readonly<Record<RangeServer, ServerRun>>;
  readonly leaders: Readonly<Record<RangeLeader, LeaderRun>>;
  /** The highest fence that a server took the range with, and which did. */
  readonly top: {readonly fence: number; readonly server: RangeServer};
  /** Set once a server took the range with too low a fence. */
  readonly hasSunk: boolean;
  readonly restartsLeft: number;
  readonly slowLeft: number;
  readonly suspendedLeft: number;
  readonly powerLossLeft: number;
  /** The order of L in transit. */
  readonly sent: SentGrant | null;
  /** Whether the process that led as L still runs. */
  readonly isLRunning: boolean;
  /** Ticks for which a leader before L may act. */
  readonly earlierActs: number;
  /** The same as L counts it; never less. */
  readonly earlierWait: number;
}

/** L leads and has just been confirmed; A has just been granted the range. */
export function createInitialRange(scope: RangeScope): RangeState {
  const first = {server: 'A', run: 0, fence: 1} as const;
  const idle = {run: 0, left: 0, seen: 0};
  const earlierActs = scope.earlierLeader === true ? AUTHORITY : 0;
  const isFirst = earlierActs === 0;
  // Until A has seen L's fence, the leader before L may renew there.
  const foreign = isFirst ? 0 : earlierActs + HOLD + DRIFT;
  const view: RangeView = {
    ...first,
    phase: 'held',
    other: null,
    lapse: isFirst ? HOLD + DRIFT : foreign,
    unproved: 0,
    foreign,
  };
  const leader: LeaderRun = {
    authority: AUTHORITY,
    asked: null,
    isOver: false,
    storeEpoch: 0,
    confirmLeft: 0,
    view,
    moved: 0,
    late: {A: null, B: null},
  };
  return {
    newest: 'L',
    storeEpoch: 0,
    terms: 0,
    earlierLeft: 0,
    restoresLeft: scope.restores,
    record: first,
    servers: {A: {...idle, left: HOLD, seen: Number(isFirst)}, B: idle},
    leaders: {L: leader, N: {...leader, authority: 0, isOver: true}},
    top: {fence: 1, server: 'A'},
    hasSunk: false,
    restartsLeft: scope.restarts,
    slowLeft: scope.slowTicks,
    suspendedLeft: scope.suspendedTicks,
    powerLossLeft: Number(scope.powerLoss),
    sent: null,
    isLRunning: true,
    earlierActs,
    earlierWait: earlierActs,
  };
}

/** Changes one server. */
export function setRun(
  state: RangeState,
  server: RangeServer,
  change: Partial<ServerRun>,
): RangeState {
  const next = {...state.servers[server], ...change};
  return {...state, servers: {...state.servers, [server]: next}};
}

/** Changes one leader. */
export function setLeaderRun(
  state: RangeState,
  leader: RangeLeader,
  change: Partial<LeaderRun>,
): RangeState {
  const next = {...state.leaders[leader], ...change};
  return {...state, leaders: {...state.leaders, [leader]: next}};
}

/** Changes a leader's view of the holding. */
export function setView(
  state: RangeState,
  leader: RangeLeader,
  change: Partial<RangeView>,
): RangeState {
  const view = {...state.leaders[leader].view, ...change};
  return setLeaderRun(state, leader, {view});
}

/** A short string that says all of a state. */
export function serializeRange(state: RangeState): string {
  const {record, servers, leaders, top} = state;
  const {A, B} = servers;
  return [
    `${state.newest}${state.storeEpoch}.${state.terms}`,
    `${state.earlierLeft}${state.restoresLeft}`,
    `${record.server}${record.run}.${record.fence}`,
    `${A.run}${A.left}.${A.seen}`,
    `${B.run}${B.left}.${B.seen}`,
    serializeLeader(leaders.L),
    serializeLeader(leaders.N),
    `${top.fence}${top.server}${Number(state.hasSunk)}`,
    `${state.restartsLeft}${state.slowLeft}`,
    `${state.suspendedLeft}${state.powerLossLeft}`,
    serializeSent(state.sent),
    `${Number(state.isLRunning)}${state.earlierActs}${state.earlierWait}`,
  ].join('|');
}

function serializeLeader(leader: LeaderRun): string {
  // One that is over only matters by its late grants.
  const late = RANGE_SERVERS.map(server => serializeLate(leader.late[server]));
  const {storeEpoch, confirmLeft} = leader;
  if (leader.isOver) return `x${storeEpoch},${late.join(',')}`;
  const {authority, asked, moved, view} = leader;
  const {phase, lapse, unproved, foreign} = view;
  const other = view.other === null ? '' : serializeHolding(view.other);
  const held = `${serializeHolding(view)}${phase.slice(0, 4)}${other}`;
  const times = `${lapse}.${unproved}.${foreign}`;
  const own = `${authority}${asked ?? '-'}${moved}.${storeEpoch}${confirmLeft}`;
  return `${own},${held},${times},${late.join(',')}`;
}

function serializeHolding({server, run, fence}: RangeHolding): string {
  return `${server}${run}.${fence}`;
}

function serializeSent(sent: SentGrant | null): string {
  if (sent === null) return '';
  return `${sent.server}${sent.run}.${sent.fence}.${sent.age}`;
}

function serializeLate(late: LateGrant | null): string {
  return late === null ? '' : `${late.fence}.${late.run}.${late.age}`;
}
