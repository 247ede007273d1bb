import type {SlotOutcome, SlotReply} from '@banyandrum/dispatch/slots.js';
import type {
  EncodedMessage,
  FollowerMessage,
  LeaderMessage,
} from './link-messages.js';

/**
 * Bytes of messages. Those of each request are lists of values, in the order
 * given below, behind a letter; all others are objects by their names.
 */

/**
 * `ask`, id, service, key, priority, time left, time to the aim, time that it
 * was asked for, trial or nothing, excluded.
 */
type AskRow = [
  ...['a', number, string, string, number | null, number],
  ...[number, number, number, string, ...string[]],
];
type EndRow = ['e', number, SlotOutcome, number];
/** A server that was granted, or another reply. */
type ReplyRow = ['r', number, string | Exclude<SlotReply, {kind: 'granted'}>];

/** The bytes of a message. */
export function encode(message: object): Buffer {
  return Buffer.from(JSON.stringify(message));
}

export function decode(bytes: Buffer): unknown {
  return JSON.parse(bytes.toString('utf8'));
}

/** What a router sends. */
export function encodeFollower(message: FollowerMessage): Buffer {
  if (message.kind === 'ask') {
    const {id, service, key, priority, excluded, trial} = message.place;
    const left = Math.round(message.place.leftMs);
    const aimLeft = Math.round(message.place.aimLeftMs);
    const asked = Math.round(message.place.askedMs);
    const row: AskRow = [
      ...(['a', message.ask, id, service, key, priority] as const),
      ...([left, aimLeft, asked, trial ?? '', ...excluded] as const),
    ];
    return encode(row);
  }
  if (message.kind === 'end') {
    const {ask, how, tookMs} = message;
    return encode(['e', ask, how, tookMs] satisfies EndRow);
  }
  return encode(message);
}

/** What a router sent; it says itself where it stands. */
export function decodeFollower(bytes: Buffer): FollowerMessage {
  const read = decode(bytes) as FollowerMessage | AskRow | EndRow;
  if (!Array.isArray(read)) return read;
  if (read[0] === 'e') {
    const [, ask, how, tookMs] = read;
    return {kind: 'end', ask, how, tookMs};
  }
  const [, ask, id, service, key, priority, ...times] = read;
  const [leftMs, aimLeftMs, askedMs, trial, ...excluded] = times;
  const limits = {leftMs, aimLeftMs, askedMs};
  const place = {
    ...{id, service, key, priority, ...limits, excluded},
    ...(trial !== '' && {trial}),
  };
  return {kind: 'ask', ask, place};
}

/** What the leader sends. */
export function encodeLeader(message: LeaderMessage | EncodedMessage): Buffer {
  if ('bytes' in message) return message.bytes;
  if (message.kind !== 'reply') return encode(message);
  const {ask, reply} = message;
  const told = reply.kind === 'granted' ? reply.server : reply;
  return encode(['r', ask, told] satisfies ReplyRow);
}

/** What the leader sent. */
export function decodeLeader(bytes: Buffer): LeaderMessage {
  const read = decode(bytes) as LeaderMessage | ReplyRow;
  if (!Array.isArray(read)) return read;
  const [, ask, told] = read;
  if (typeof told !== 'string') return {kind: 'reply', ask, reply: told};
  return {kind: 'reply', ask, reply: {kind: 'granted', server: told}};
}
