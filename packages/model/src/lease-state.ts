/** Servers of the cell; A holds the shard at first. */
export const SERVERS = ['A', 'B'] as const;
export type ServerName = (typeof SERVERS)[number];

/** The old leader (epoch 1) and its successor (epoch 2). */
export const LEADERS = ['L', 'N'] as const;
export type LeaderName = (typeof LEADERS)[number];
export const EPOCHS: Readonly<Record<LeaderName, number>> = {L: 1, N: 2};

/** Safeguards that a test can take away, one at a time. */
export interface LeaseSafeguards {
  /** The lease ends TTL after the echoed stamp, not after arrival. */
  readonly countsFromEcho: boolean;
  /** A server of the checking kind refuses older fences. */
  readonly checksFence: boolean;
  /** An order without an answer counts until it has lapsed. */
  readonly waitsForUnanswered: boolean;
  /** A lapse is counted with a margin for drift. */
  readonly lapseMargin: boolean;
  /** The standby has a change of the table before the server hears of it. */
  readonly writesAhead: boolean;
  /** A standby that withdrew stores no table any more. */
  readonly refusesLateTables: boolean;
  /** A successor moves nothing, and adopts no non-checking server, before. */
  readonly waitsForCleared: boolean;
  /** Late orders of the old leader count until cleared + TTL + margin. */
  readonly waitsForLateOrders: boolean;
  /** An acknowledgement from before `cleared` doesn't end that count. */
  readonly distrustsEarlyAcks: boolean;
  /** Without a table, `no server reports it` counts only after that wait. */
  readonly waitsWhenAsking: boolean;
  /** The answer to an order that was followed by another counts for nothing. */
  readonly oneOrderInFlight: boolean;
  /** A request's deadline ends with the lease. */
  readonly deadlineInLease: boolean;
  /** A shard is released only after its requests in flight have ended. */
  readonly drainsRequests: boolean;
  /** No order reaches a server that doesn't check fences twice. */
  readonly deliversOnce: boolean;
}

export const ALL_LEASE_SAFEGUARDS: LeaseSafeguards = {
  countsFromEcho: true,
  checksFence: true,
  waitsForUnanswered: true,
  lapseMargin: true,
  writesAhead: true,
  refusesLateTables: true,
  waitsForCleared: true,
  waitsForLateOrders: true,
  distrustsEarlyAcks: true,
  waitsWhenAsking: true,
  oneOrderInFlight: true,
  deadlineInLease: true,
  drainsRequests: true,
  deliversOnce: true,
};

/** What may happen in one exploration; keeps each one exhaustible. */
export interface LeaseScope {
  /** Whether the servers check fences. */
  readonly checksFences: boolean;
  /** Whether the successor has the old leader's table. */
  readonly hasTable: boolean;
  /** Moves of the shard by each leader. */
  readonly moves: Readonly<Record<LeaderName, number>>;
  /** Restarts of servers. */
  readonly restarts: number;
  /** Ticks that one server's clock may miss. */
  readonly slowTicks: number;
  /** Whether only two owners count as a breach. */
  readonly ownersOnly: boolean;
}

/** Where a leader has the shard. `unknown`: it asks the servers. */
export type Place =
  | {readonly kind: 'held' | 'moving'; readonly server: ServerName}
  | {readonly kind: 'free' | 'unknown'; readonly server: null};

/** A lease in ticks: how long it lasts. */
export const TTL = 2;
/** What careful counts add for drift. */
export const MARGIN = 1;
/** Ages stop here: nothing tells older ones apart. */
export const OLD = TTL + MARGIN;

/** What the server did once and must never do. */
export type Misdeed = 'none' | 'obeyed a deposed leader' | 'prolonged a lease';

/** One run of a server. */
export interface ServerState {
  /** Ticks for which it still believes that it holds the shard. */
  readonly left: number;
  /** The newest fence that it obeyed; zeros: none. */
  readonly epoch: number;
  readonly sequence: number;
  /** Ticks for which a request that is under way may still run here. */
  readonly requestLeft: number;
  /** Whose request that is. */
  readonly requestBy: LeaderName | null;
  readonly misdeed: Misdeed;
}

/** An order with the shard that got no answer; it may arrive, even twice. */
export interface StrayOrder {
  readonly sequence: number;
  /** Ticks on the server's clock since the stamp that it echoes. */
  readonly stampAge: number;
}

/** A leader's account of one server. */
export interface Account {
  readonly stray: StrayOrder | null;
  /** Ticks since the youngest unanswered order with the shard. */
  readonly openAge: number;
  /** The newest order that was acknowledged. */
  readonly acked: Acked | null;
}

export interface Acked {
  readonly holds: boolean;
  /** Ticks since its echo was received. */
  readonly age: number;
  /** Whether earlier leaders had stopped before. */
  readonly afterCleared: boolean;
}

export interface LeaderState {
  readonly place: Place;
  readonly moved: number;
  readonly accounts: Readonly<Record<ServerName, Account>>;
}

export interface LeaseState {
  /**
   * - `old`: only L leads.
   * - `taken`: N has claimed; L may act still.
   * - `cleared`: L cannot act any more.
   */
  readonly phase: 'old' | 'taken' | 'cleared';
  readonly clearedFor: number;
  /** L's table as the standby has it. */
  readonly table: Place;
  readonly servers: Readonly<Record<ServerName, ServerState>>;
  readonly leaders: Readonly<Record<LeaderName, LeaderState>>;
  readonly restartsLeft: number;
  readonly slowLeft: number;
}

/** An account of a server that was told nothing yet. */
export const NEW_ACCOUNT: Account = {stray: null, openAge: OLD, acked: null};

const IDLE_SERVER: ServerState = {
  left: 0,
  epoch: 0,
  sequence: 0,
  requestLeft: 0,
  requestBy: null,
  misdeed: 'none',
};

const ACKED: Acked = {holds: true, age: 0, afterCleared: true};

/** L leads, and A has just acknowledged a lease with the shard. */
export function createInitialLeases(scope: LeaseScope): LeaseState {
  const place: Place = {kind: 'held', server: 'A'};
  const accounts = {A: {...NEW_ACCOUNT, acked: ACKED}, B: NEW_ACCOUNT};
  return {
    phase: 'old',
    clearedFor: 0,
    table: place,
    servers: {
      A: {...IDLE_SERVER, left: TTL, epoch: EPOCHS.L, sequence: 1},
      B: IDLE_SERVER,
    },
    leaders: {
      L: {place, moved: 0, accounts},
      N: {
        place: {kind: 'unknown', server: null},
        moved: 0,
        accounts: {A: NEW_ACCOUNT, B: NEW_ACCOUNT},
      },
    },
    restartsLeft: scope.restarts,
    slowLeft: scope.slowTicks,
  };
}

/** A run of a server that was just started. */
export function restarted({misdeed}: ServerState): ServerState {
  return {...IDLE_SERVER, misdeed};
}

/** A short string that says all of a state. */
export function serializeLeases(state: LeaseState): string {
  let key = `${state.phase[0]}${state.clearedFor}${state.restartsLeft}`;
  key += `${state.slowLeft}${serializePlace(state.table)}`;
  for (const server of SERVERS) key += serializeServer(state.servers[server]);
  for (const leader of LEADERS) {
    const {place, moved, accounts} = state.leaders[leader];
    key += `|${serializePlace(place)}${moved}`;
    for (const server of SERVERS) key += serializeAccount(accounts[server]);
  }
  return key;
}

function serializePlace({kind, server}: Place): string {
  return kind[0] + (server ?? '');
}

function serializeServer(server: ServerState): string {
  const {left, epoch, sequence, requestLeft, requestBy, misdeed} = server;
  const request = `${requestLeft}${requestBy ?? ''}`;
  return `/${left}${epoch}${sequence}${request}${misdeed[0]}`;
}

function serializeAccount({stray, openAge, acked}: Account): string {
  let key = `,${openAge}`;
  if (stray) key += `s${stray.sequence}${stray.stampAge}`;
  if (acked) key += `${acked.holds ? 'h' : 'e'}${acked.age}`;
  return acked?.afterCleared ? `${key}c` : key;
}

/** Changes one server. */
export function setServer(
  state: LeaseState,
  server: ServerName,
  change: Partial<ServerState>,
): LeaseState {
  const next = {...state.servers[server], ...change};
  return {...state, servers: {...state.servers, [server]: next}};
}

/** Changes one leader. */
export function setLeader(
  state: LeaseState,
  leader: LeaderName,
  change: Partial<LeaderState>,
): LeaseState {
  const next = {...state.leaders[leader], ...change};
  return {...state, leaders: {...state.leaders, [leader]: next}};
}

/** Changes a leader's account of one server. */
export function setAccount(
  state: LeaseState,
  leader: LeaderName,
  server: ServerName,
  change: Partial<Account>,
): LeaseState {
  const {accounts} = state.leaders[leader];
  const next = {...accounts[server], ...change};
  return setLeader(state, leader, {accounts: {...accounts, [server]: next}});
}
