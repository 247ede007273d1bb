import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {REQUEST_ID} from '@banyandrum/servers/headers.js';
import {answer, answerHalf, answerJson} from './server-answer.js';
import type {Exchange} from './server-answer.js';
import {patternedBytes} from './server-bytes.js';
import type {FaultSwitch} from './server-faults.js';
import type {RequestHead} from './server-head.js';

/** What a server keeps for a key. */
export interface KeyState {
  /** Records stored since the last replacement. */
  readonly count: number;
  readonly lastRequestId: string;
  readonly body: Uint8Array;
}

/** All keys' state, by key. */
export type ServerState = Map<string, KeyState>;

/** A request's work once its body is there: it takes effect and answers. */
export type Work = (work: WorkContext) => Promise<void> | void;

export interface WorkContext {
  readonly exchange: Exchange;
  readonly head: RequestHead;
  /** The request's body, for work that needs it whole. */
  readonly body: Uint8Array;
  readonly state: ServerState;
  readonly faults: FaultSwitch;
  /** Aborted at the deadline, and when the server loses the shard. */
  readonly signal: AbortSignal;
}

/** The kinds of work, and whether each needs the body whole beforehand. */
export interface WorkKind {
  readonly needsBody: boolean;
  readonly run: Work;
}

const PIECE_BYTES = 64 * 1024;
const EMPTY_STATE: KeyState = {
  count: 0,
  lastRequestId: '',
  body: new Uint8Array(0),
};

const BY_PATH: Readonly<Record<string, WorkKind>> = {
  '/echo': {needsBody: false, run: echo},
  '/bytes': {needsBody: false, run: produceBytes},
};

const BY_METHOD: Readonly<Record<string, WorkKind>> = {
  POST: {needsBody: true, run: store},
  PUT: {needsBody: true, run: replace},
  GET: {needsBody: false, run: show},
};

const UNKNOWN: WorkKind = {
  needsBody: false,
  run: ({exchange}) => answerJson(exchange, 405, {detail: 'unknown method'}),
};

/** The work that a request asks for. */
export function workOf(head: RequestHead): WorkKind {
  return BY_PATH[head.path] ?? BY_METHOD[head.method] ?? UNKNOWN;
}

function store(work: WorkContext): void {
  const {head, state, body} = work;
  const {count} = state.get(head.key) ?? EMPTY_STATE;
  state.set(head.key, {
    count: count + 1,
    lastRequestId: head.requestId,
    body,
  });
  finish(work, 201, describe(work));
}

function replace(work: WorkContext): void {
  const {head, state, body} = work;
  state.set(head.key, {count: 1, lastRequestId: head.requestId, body});
  finish(work, 200, describe(work));
}

function show(work: WorkContext): void {
  finish(work, 200, describe(work));
}

function describe({head, state}: WorkContext): Uint8Array {
  const {count, lastRequestId} = state.get(head.key) ?? EMPTY_STATE;
  return Buffer.from(JSON.stringify({key: head.key, count, lastRequestId}));
}

async function echo({exchange, head, signal}: WorkContext): Promise<void> {
  const {req, res} = exchange;
  const length = req.headers['content-length'];
  res.writeHead(200, {
    [REQUEST_ID]: head.requestId,
    ...(length === undefined ? {} : {'content-length': length}),
  });
  res.flushHeaders();
  await pipeline(req, res, {signal});
}

async function produceBytes(work: WorkContext): Promise<void> {
  const {exchange, head, signal} = work;
  const count = Number(head.query.get('n') ?? 0);
  const bytes = patternedBytes(answerId(work), head.key, count);
  if (count <= PIECE_BYTES || work.faults.current().cutAnswers > 0) {
    return finish(work, 200, bytes);
  }
  exchange.res.writeHead(200, {
    [REQUEST_ID]: head.requestId,
    'content-length': count,
  });
  await pipeline(Readable.from(pieces(bytes)), exchange.res, {signal});
}

function* pieces(bytes: Uint8Array): Generator<Uint8Array> {
  for (let at = 0; at < bytes.length; at += PIECE_BYTES) {
    yield bytes.subarray(at, at + PIECE_BYTES);
  }
}

function finish(work: WorkContext, status: number, body: Uint8Array): void {
  const {exchange, faults} = work;
  if (faults.take('cutAnswers')) return answerHalf(exchange, status, body);
  const id = answerId(work);
  faults.take('mixedAnswers');
  answer(exchange, status, body, {[REQUEST_ID]: id});
}

function answerId({head, faults}: WorkContext): string {
  if (faults.current().mixedAnswers === 0) return head.requestId;
  return `not-${head.requestId}`;
}
