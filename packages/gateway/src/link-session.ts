import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import type {ServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {joined, type Suspect} from '@banyandrum/dispatch/suspect.js';
import type {Suspects} from '@banyandrum/dispatch/suspects.js';
import type {Place, PlaceReply} from '@banyandrum/dispatch/places.js';
import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';
import type {KeyOwners, ServedTables} from './key-owners.js';
import {
  HEARTBEAT_MS,
  type FollowerMessage,
  type LeaderMessage,
  type StateMessage,
} from './link-messages.js';
import {fromWireConfig} from './link-config.js';
import {applyList, applyTables} from './link-state.js';
import type {Candidate} from './host-capacity.js';
import type {ServerList} from './server-list.js';

/** What the leader's state changes in this router. */
export interface FollowerState {
  readonly owners: KeyOwners;
  readonly list: ServerList;
  readonly suspects: Suspects;
  readonly limits: ServerLimits;
  onConfigCursor(cursor: number): void;
  applyConfig(config: RoutingConfig, cursor: number): void;
  /** Up to where this router knows the platform's configurations. */
  configCursor(): number | null;
  /** Routers at work, as the leader counts them. */
  setRouterCount(count: number): void;
}

/**
 * A leader whose reads of the configuration confirmed nothing for so long may
 * miss a version, in ms: a short waiting read and its answer. A version must be
 * in force 2 s after it was accepted, one read of this router's own included.
 */
const MAX_RELAY_AGE_MS = 1_200;

/** A stream to a router that may lead. */
export type LinkStream = ClientDuplexStream<FollowerMessage, LeaderMessage>;

/** A stream and what waits on it. */
export interface Session {
  readonly stream: LinkStream;
  readonly leader: string;
  readonly pending: Map<number, (reply: PlaceReply) => void>;
  /** As this leader told them, by changes from one state to the next. */
  tables: ServedTables;
  servers: readonly ServerInfo[];
  /** Rows of requests under which servers ended, by content. */
  readonly suspects: Map<string, Suspect>;
  /** Whether it told its whole state. */
  isSynced: boolean;
  heardAt: number;
  /** Whether it showed that it leads. */
  isLeader: boolean;
  /** Whom it named in its place. */
  redirect: string | null;
  deputies: readonly Candidate[];
  leaderContactAgeMs: number;
  /** Whether its last state left nothing to read of the configuration. */
  relaysConfig: boolean;
  isOpen: boolean;
}

/** A stream on which nothing was heard yet. */
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
    suspects: new Map(),
    isSynced: false,
    heardAt: now,
    isLeader: false,
    redirect: null,
    deputies: [],
    leaderContactAgeMs: 0,
    relaysConfig: false,
    isOpen: true,
  };
}

/** A reply as the request gets it. */
export function toPlace(
  session: Session,
  number: number,
  reply: PlaceReply,
): Place {
  if (reply.kind !== 'granted') return reply;
  return {
    kind: 'granted',
    server: reply.server,
    end: (how, tookMs) => sendEnd(session, number, how, tookMs),
  };
}

/** What this router knows of suspected requests, and the leader did not tell. */
export function suspectsUnknownToLeader(
  {suspects}: Session,
  rows: readonly Suspect[],
): readonly Suspect[] {
  return rows.filter(row => {
    const heard = suspects.get(row.content);
    return heard === undefined || joined(heard, row) !== heard;
  });
}

/** Servers known here to be leaving that the leader did not list as such. */
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

/** Gives a place back, or takes back an ask. */
export function sendEnd(
  {stream, isOpen}: Session,
  ask: number,
  how: Extract<FollowerMessage, {kind: 'end'}>['how'],
  tookMs: number,
): void {
  if (!isOpen) return;
  stream.write({kind: 'end', ask, how, tookMs: Math.round(tookMs)});
}

/** Takes what the other end of the stream told. */
export function handleMessage(
  cfg: FollowerState,
  session: Session,
  message: Exclude<LeaderMessage, {kind: 'lead'}>,
): void {
  if (message.kind === 'state') return applyState(cfg, session, message);
  if (message.kind === 'elsewhere') {
    session.redirect = message.leader;
    return;
  }
  const settle = session.pending.get(message.ask);
  session.pending.delete(message.ask);
  if (settle !== undefined) return settle(message.reply);
  // Its request was given up meanwhile: the place goes back unused.
  if (message.reply.kind === 'granted') {
    sendEnd(session, message.ask, 'cancelled', 0);
  }
}

function applyState(
  cfg: FollowerState,
  session: Session,
  state: StateMessage,
): void {
  session.isLeader = true;
  session.leaderContactAgeMs = state.touchMs;
  session.deputies = state.deputies ?? session.deputies;
  if (state.tables !== null) {
    session.tables = applyTables(session.tables, state.tables);
    cfg.owners.replaceTables(session.tables);
  }
  if (state.list !== null) {
    session.servers = applyList(session.servers, state.list);
  }
  const {servers} = session;
  const {listCursor, configCursor} = state;
  if (listCursor !== null) {
    session.isSynced = true;
    // The state was on its way for less than a heartbeat, or it would be late.
    const ageMs = state.listAgeMs + HEARTBEAT_MS;
    cfg.list.applySnapshot({cursor: listCursor, servers}, ageMs);
  }
  if (state.suspects !== undefined) {
    for (const row of state.suspects) session.suspects.set(row.content, row);
    cfg.suspects.merge(state.suspects);
  }
  if (state.limits !== undefined) cfg.limits.mergeFromLeader(state.limits);
  if (state.config !== null) {
    cfg.applyConfig(fromWireConfig(state.config), state.config.cursor);
  }
  if (configCursor !== null) cfg.onConfigCursor(configCursor);
  session.relaysConfig =
    state.configAgeMs < MAX_RELAY_AGE_MS &&
    // A leader that finds no configuration leaves none to read.
    (configCursor === null || (cfg.configCursor() ?? -1) >= configCursor);
  cfg.setRouterCount(state.routers);
}
