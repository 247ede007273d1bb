import type {
  SlotOutcome,
  SlotReply,
  SlotRequest,
} from '@banyandrum/dispatch/slots.js';
import type {
  EncodedMessage,
  FollowerMessage,
  LeaderMessage,
  WireSlotRequest,
} from './link-messages.js';

/**
 * Encodes messages as JSON. Messages that are sent for each request are arrays
 * to keep them small: a letter for the kind, then the values in the order
 * below. All others are objects.
 */

/**
 * Kind, `ask`, id, service, key, priority, time left until the deadline, time
 * left until the target latency, retry age, trial or an empty string, excluded
 * servers, and an `Origin`, if any.
 */
type AskRow = [
  ...['a', number, string, string, number | null, number],
  ...[number, number, number, string, ...(string | Origin)[]],
];
/**
 * Hashes of the route and of the caller, 0 if absent. Earlier versions of the
 * program take it for an excluded server, of which there is none by that name.
 */
type Origin = readonly [number, number];
/** Kind, `ask`, outcome, time taken, slowdown if there is one. */
type SlotEndRow = ['e', number, SlotOutcome, number, number?];
/**
 * Kind, `ask`, the server of the granted slot or another reply, and for a
 * granted one how long it waited; earlier versions of the program ignore that.
 */
type ReplyRow = [
  ...['r', number, string | Exclude<SlotReply, {kind: 'granted'}>],
  number?,
];

/** Index of the first excluded server in an `AskRow`. */
const EXCLUDED_AT = 10;

type Writable<T> = {-readonly [K in keyof T]: T[K]};

/** Encodes a message as a JSON object. */
export function encode(message: object): Buffer {
  return Buffer.from(JSON.stringify(message));
}

export function decode(bytes: Buffer): unknown {
  return JSON.parse(bytes.toString('utf8'));
}

/** Encodes a message from a follower. */
export function encodeFollower(message: FollowerMessage): Buffer {
  if (message.kind === 'ask') {
    const {id, service, key, priority, excluded, trial} = message.place;
    const left = Math.round(message.place.leftMs);
    const aimLeft = Math.round(message.place.aimLeftMs);
    const asked = Math.round(message.place.askedMs);
    const row: AskRow = [
      ...(['a', message.ask, id, service, key, priority] as const),
      ...([left, aimLeft, asked, trial ?? '', ...excluded] as const),
      ...originOf(message.place),
    ];
    return encode(row);
  }
  if (message.kind === 'end') {
    const {ask, how, tookMs, slowdown} = message;
    const row: SlotEndRow = ['e', ask, how, tookMs];
    if (slowdown !== undefined) row.push(slowdown);
    return encode(row);
  }
  return encode(message);
}

/** Decodes a message from a follower. */
export function decodeFollower(bytes: Buffer): FollowerMessage {
  const decoded = decode(bytes) as FollowerMessage | AskRow | SlotEndRow;
  if (!Array.isArray(decoded)) return decoded;
  return decoded[0] === 'e' ? decodeEnd(decoded) : decodeAsk(decoded);
}

function decodeEnd(row: SlotEndRow): FollowerMessage {
  const end = {kind: 'end', ask: row[1], how: row[2], tookMs: row[3]} as const;
  const slowdown = row[4];
  return slowdown === undefined ? end : {...end, slowdown};
}

/** Reads by index, as destructuring by iterators takes several times as long. */
function decodeAsk(row: AskRow): FollowerMessage {
  const excluded: string[] = [];
  let origin: Origin | null = null;
  for (let at = EXCLUDED_AT; at < row.length; at++) {
    const each = row[at] as string | Origin;
    if (typeof each === 'string') excluded.push(each);
    else origin ??= each;
  }
  const place: Writable<WireSlotRequest> = {
    id: row[2],
    service: row[3],
    key: row[4],
    priority: row[5],
    leftMs: row[6],
    aimLeftMs: row[7],
    askedMs: row[8],
    excluded,
  };
  const trial = row[9];
  if (trial !== '') place.trial = trial;
  if (origin !== null) {
    if (origin[0] !== 0) place.kind = origin[0];
    if (origin[1] !== 0) place.caller = origin[1];
  }
  return {kind: 'ask', ask: row[1], place};
}

/** Encodes a message from the leader. */
export function encodeLeader(message: LeaderMessage | EncodedMessage): Buffer {
  if ('bytes' in message) return message.bytes;
  if (message.kind !== 'reply') return encode(message);
  const {ask, reply} = message;
  if (reply.kind !== 'granted')
    return encode(['r', ask, reply] satisfies ReplyRow);
  const {server, waitedMs} = reply;
  const waited = waitedMs === undefined ? '' : `,${waitedMs}`;
  return Buffer.from(`["r",${ask},${JSON.stringify(server)}${waited}]`);
}

/** Decodes a message from the leader. */
export function decodeLeader(bytes: Buffer): LeaderMessage {
  const decoded = decode(bytes) as LeaderMessage | ReplyRow;
  if (!Array.isArray(decoded)) return decoded;
  const [, ask, serverOrReply, waitedMs] = decoded;
  if (typeof serverOrReply !== 'string')
    return {kind: 'reply', ask, reply: serverOrReply};
  const granted = {kind: 'granted', server: serverOrReply} as const;
  const reply = waitedMs === undefined ? granted : {...granted, waitedMs};
  return {kind: 'reply', ask, reply};
}

/** Empty if the request has neither, so that its row doesn't grow. */
function originOf({
  kind = 0,
  caller = 0,
}: Pick<SlotRequest, 'kind' | 'caller'>): readonly Origin[] {
  return kind === 0 && caller === 0 ? [] : [[kind, caller]];
}
