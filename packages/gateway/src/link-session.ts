import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import type {ServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {mergeSuspects, type Suspect} from '@banyandrum/dispatch/suspect.js';
import type {Suspects} from '@banyandrum/dispatch/suspects.js';
import type {SlotResult, SlotReply} from '@banyandrum/dispatch/slots.js';
import type {TimeModel} from '@banyandrum/service-times/time-model.js';
import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';
import type {RelayedPosition} from './config-keeper.js';
import type {KeyOwners, ServedTables} from './key-owners.js';
import {
  HEARTBEAT_MS,
  LEADER_TIMEOUT_MS,
  type FollowerMessage,
  type LeaderMessage,
  type ListPosition,
  type StateMessage,
} from './link-messages.js';
import {NOTHING_HELD, type HeldPart, type HeldState} from './held-state.js';
import {fromWireConfig, type WireConfig} from './link-config.js';
import {applyList, applyTables} from './link-state.js';
import {createDelayEstimator, type DelayEstimator} from './transit-delay.js';
import type {Candidate} from './host-capacity.js';
import type {ServerList} from './server-list.js';

/** The parts of a follower that the leader's messages update. */
export interface FollowerState {
  readonly owners: KeyOwners;
  readonly list: ServerList;
  readonly suspects: Suspects;
  readonly limits: ServerLimits;
  /** Takes request times from the leader; absent if they aren't kept by kind. */
  readonly times?: Pick<TimeModel, 'merge'>;
  onConfigCursor(cursor: number): void;
  applyConfig(config: RoutingConfig, cursor: number, leader: string): void;
  /** `ageMs` ago the platform's log ended at `configCursor`. */
  confirmConfig(ageMs: number, leader: string): void;
  /** What this router knows of the platform's log; null if nothing. */
  configPosition(): RelayedPosition | null;
  /** See `ConfigKeeper.applyRelayedPosition`. */
  applyPosition(position: RelayedPosition, leader: string): boolean;
  /** Sets the number of working routers as the leader counts them. */
  setRouterCount(count: number): void;
}

/** A stream to a router that may lead. */
export type LinkStream = ClientDuplexStream<FollowerMessage, LeaderMessage>;

/** A stream and its pending requests. */
export interface Session {
  readonly stream: LinkStream;
  readonly leader: string;
  readonly pending: Map<number, (reply: SlotReply) => void>;
  /** Tables and servers as this leader sent them, kept to apply its deltas. */
  tables: ServedTables;
  servers: readonly ServerInfo[];
  /** What it named in its `hello`. */
  held: HeldState;
  /** The configuration and the limits that this leader sent last. */
  config: WireConfig | null;
  limits: HeldState['limits'];
  /** Rows of requests during which servers crashed, by content digest. */
  readonly suspects: Map<string, Suspect>;
  /** Whether the leader has sent its full state. */
  isSynced: boolean;
  heardAt: number;
  /** Whether any message was received. */
  hasAnswered: boolean;
  /** How long the other router may be silent, in ms. */
  timeoutMs: number;
  readonly startedAt: number;
  /** When a router that doesn't lead told how new its list is, in ms. */
  neighbourListAt: number;
  /** Whether the other router has shown that it leads. */
  isLeader: boolean;
  /** Address of the leader that the other router named instead. */
  redirect: string | null;
  deputies: readonly Candidate[];
  /** The number of unreachable servers that the leader was told last. */
  reportedUnreachable: number;
  leaderContactAgeMs: number;
  /** Newest version and evacuations that the leader sent; null if none. */
  orders: Omit<RelayedPosition, 'cursor'> | null;
  /** Whether this router has all versions that the last state speaks of. */
  relaysConfig: boolean;
  isOpen: boolean;
  readonly transitDelay: DelayEstimator;
}

/** Creates the session of a stream without any message yet. */
export function createSession(
  stream: LinkStream,
  leader: string,
  now: number,
): Session {
  return {
    stream,
    leader,
    pending: new Map(),
    tables: new Map(),
    servers: [],
    held: NOTHING_HELD,
    config: null,
    limits: [],
    suspects: new Map(),
    isSynced: false,
    heardAt: now,
    hasAnswered: false,
    timeoutMs: LEADER_TIMEOUT_MS,
    startedAt: now,
    neighbourListAt: -Infinity,
    isLeader: false,
    redirect: null,
    deputies: [],
    reportedUnreachable: 0,
    leaderContactAgeMs: 0,
    orders: null,
    relaysConfig: false,
    isOpen: true,
    transitDelay: createDelayEstimator(),
  };
}

/** Converts a reply to the result for the request that waits for it. */
export function toSlotResult(
  session: Session,
  number: number,
  reply: SlotReply,
): SlotResult {
  if (reply.kind !== 'granted') return reply;
  return {
    kind: 'granted',
    server: reply.server,
    ...(reply.waitedMs !== undefined && {waitedMs: reply.waitedMs}),
    release: (how, tookMs, slowdown) =>
      sendEnd(session, number, how, tookMs, slowdown),
  };
}

/** Rows with information that the leader hasn't sent, so may not have. */
export function suspectsUnknownToLeader(
  {suspects}: Session,
  rows: readonly Suspect[],
): readonly Suspect[] {
  return rows.filter(row => {
    const leaderRow = suspects.get(row.content);
    return (
      leaderRow === undefined || mergeSuspects(leaderRow, row) !== leaderRow
    );
  });
}

/** Servers known here to be leaving that the leader lists as not leaving. */
export function leavingUnknownToLeader(
  {servers}: Session,
  list: ServerList,
): readonly string[] {
  const knownToLeader = new Set(
    servers.filter(({isLeaving}) => isLeaving).map(({id}) => id),
  );
  return (list.snapshot()?.servers ?? [])
    .filter(({id, isLeaving}) => isLeaving && !knownToLeader.has(id))
    .map(({id}) => id);
}

/** Releases a slot, or cancels a request for one. */
export function sendEnd(
  {stream, isOpen}: Session,
  ask: number,
  how: Extract<FollowerMessage, {kind: 'end'}>['how'],
  tookMs: number,
  slowdown?: number,
): void {
  if (!isOpen) return;
  const end = {kind: 'end', ask, how, tookMs: Math.round(tookMs)} as const;
  stream.write(slowdown === undefined ? end : {...end, slowdown});
}

/** Handles a message from the other end of the stream. */
export function handleMessage(
  cfg: FollowerState,
  session: Session,
  message: Exclude<LeaderMessage, {kind: 'lead' | 'carriers'}>,
): void {
  if (message.kind === 'state') return applyState(cfg, session, message);
  if (message.kind === 'elsewhere') {
    session.redirect = message.leader;
    return confirmList(cfg, session, message.list);
  }
  const settle = session.pending.get(message.ask);
  session.pending.delete(message.ask);
  if (settle !== undefined) return settle(message.reply);
  // The request was cancelled meanwhile; its slot is released unused.
  if (message.reply.kind === 'granted') {
    sendEnd(session, message.ask, 'cancelled', 0);
  }
}

/** How long the state was held up on its way, in ms. */
function transitDelayMs(
  {transitDelay, heardAt}: Session,
  {sentAt}: StateMessage,
): number {
  return sentAt === undefined ? 0 : transitDelay.observe(sentAt, heardAt);
}

/**
 * Another router without a leader has read the list. Its age is counted from
 * the start of the stream, before which the other router can't have sent it.
 */
function confirmList(
  {list}: FollowerState,
  session: Session,
  position: ListPosition | undefined,
): void {
  if (position === undefined) return;
  const elapsedMs = session.heardAt - session.startedAt;
  if (!list.confirm(position.cursor, position.ageMs + elapsedMs)) return;
  session.neighbourListAt = session.heardAt;
}

/** What the leader of the session sent, for the next stream. */
export function heldBy({tables, config, limits, suspects}: Session): HeldState {
  return {tables, config, limits, suspects: [...suspects.values()]};
}

/** Adds the parts that the leader left out since this router has them. */
function withKept(
  {held}: Session,
  kept: readonly HeldPart[],
  state: StateMessage,
): StateMessage {
  const has = (part: HeldPart): boolean => kept.includes(part);
  return {
    ...state,
    ...(has('tables') && {tables: state.tables ?? {}}),
    ...(has('config') && {config: held.config}),
    ...(has('limits') && {limits: held.limits}),
    ...(has('suspects') && {suspects: held.suspects}),
  };
}

function applyState(
  cfg: FollowerState,
  session: Session,
  sent: StateMessage,
): void {
  const {kept = []} = sent;
  if (kept.includes('tables')) session.tables = session.held.tables;
  const state = withKept(session, kept, sent);
  session.isLeader = true;
  session.leaderContactAgeMs = state.touchMs;
  session.deputies = state.deputies ?? session.deputies;
  if (state.tables !== null) {
    session.tables = applyTables(session.tables, state.tables);
    cfg.owners.replaceTables(session.tables);
  }
  if (state.list !== null) {
    session.servers = applyList(session.servers, state.list, session.heardAt);
  }
  const {servers} = session;
  const {listCursor} = state;
  if (listCursor !== null) {
    session.isSynced = true;
    // Adds a heartbeat interval as an upper bound of the time in transit.
    const ageMs = state.listAgeMs + HEARTBEAT_MS;
    cfg.list.applySnapshot({cursor: listCursor, servers}, ageMs);
  }
  if (state.suspects !== undefined) {
    for (const row of state.suspects) session.suspects.set(row.content, row);
    cfg.suspects.merge(state.suspects);
  }
  if (state.limits !== undefined) {
    session.limits = state.limits;
    cfg.limits.mergeFromLeader(state.limits);
  }
  if (state.times !== undefined) cfg.times?.merge(state.times);
  applyRelayedConfig(cfg, session, state);
  cfg.setRouterCount(state.routers);
}

/**
 * Tells a leader that is behind this router, because its reads of the platform
 * fail, which data centres are evacuated if it has others.
 */
function reportEvacuations(
  cfg: FollowerState,
  {stream}: Session,
  leaders: RelayedPosition,
): void {
  const own = cfg.configPosition();
  if (own === null || own.cursor <= leaders.cursor) return;
  const isSame = own.evacuated.join() === leaders.evacuated.join();
  if (isSame) return;
  const {cursor, evacuated} = own;
  stream.write({kind: 'evacuated', cursor, dataCentres: evacuated});
}

function applyRelayedConfig(
  cfg: FollowerState,
  session: Session,
  state: StateMessage,
): void {
  const {config, configCursor, configVersion = null, evacuated} = state;
  const {leader} = session;
  const ageMs = state.configAgeMs + transitDelayMs(session, state);
  // If the leader found no configuration, there is none to read.
  session.relaysConfig = configCursor === null;
  if (evacuated !== undefined)
    session.orders = {version: configVersion, evacuated};
  // An earlier version of the program doesn't relay evacuations, so that its
  // configurations must be read together with these.
  if (configCursor !== null && session.orders !== null) {
    if (config !== null) {
      session.config = config;
      cfg.applyConfig(fromWireConfig(config), config.cursor, leader);
    }
    const position = {cursor: configCursor, ...session.orders};
    session.relaysConfig = cfg.applyPosition(position, leader);
    reportEvacuations(cfg, session, position);
  }
  if (session.relaysConfig) cfg.confirmConfig(ageMs, leader);
  else if (configCursor !== null) cfg.onConfigCursor(configCursor);
}
