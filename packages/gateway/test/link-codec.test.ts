import tap from 'tap';
import type {SlotOutcome} from '@banyandrum/dispatch/slots.js';
import {
  decodeFollower,
  decodeLeader,
  encodeFollower,
  encodeLeader,
} from '@banyandrum/gateway/link-codec.js';
import type {
  FollowerMessage,
  LeaderMessage,
} from '@banyandrum/gateway/link-messages.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

const MESSAGES = 2_000;
const SEED = 63;
const OUTCOMES: readonly SlotOutcome[] = ['answered', 'failed', 'cancelled'];

type Row = readonly [string, number, ...unknown[]];

/** Decodes an ask or an end by the plain reading of its row. */
function decodePlainly(bytes: Buffer): unknown {
  const row = JSON.parse(bytes.toString()) as Row;
  if (row[0] === 'e') {
    const [, ask, how, tookMs, slowdown] = row;
    const end = {kind: 'end', ask, how, tookMs};
    return slowdown === undefined ? end : {...end, slowdown};
  }
  const [, ask, id, service, key, priority, ...times] = row;
  const [leftMs, aimLeftMs, askedMs, trial, ...rest] = times;
  const excluded = rest.filter(each => typeof each === 'string');
  const origin = rest.find(each => typeof each !== 'string') ?? [0, 0];
  const [kind, caller] = origin as readonly number[];
  const place = {
    ...{id, service, key, priority, leftMs, aimLeftMs, askedMs, excluded},
    ...(trial !== '' && {trial}),
    ...(kind !== 0 && {kind}),
    ...(caller !== 0 && {caller}),
  };
  return {kind: 'ask', ask, place};
}

function createMessage(random: () => number, ask: number): FollowerMessage {
  const upTo = (max: number): number => Math.floor(random() * (max + 1));
  if (random() < 0.3) {
    const how = OUTCOMES[upTo(OUTCOMES.length - 1)]!;
    const end = {kind: 'end', ask, how, tookMs: random() * 900} as const;
    return random() < 0.5 ? end : {...end, slowdown: random() * 3};
  }
  const place = {
    ...{id: `r"\\é${upTo(9_999)}`, service: 'holds', priority: upTo(3)},
    key: random() < 0.2 ? null : upTo(65_535),
    ...{leftMs: upTo(8_000), aimLeftMs: upTo(900) - 400, askedMs: upTo(500)},
    excluded: Array.from({length: upTo(3)}, (_, i) => `10.0.0.${i}:7000#1`),
    ...(random() < 0.3 && {trial: 'digest'}),
    ...(random() < 0.7 && {kind: 1 + upTo(9)}),
    ...(random() < 0.7 && {caller: 1 + upTo(2 ** 31)}),
  };
  return {kind: 'ask', ask, place};
}

void tap.test('asks and ends decode as by the plain reading', async t => {
  const random = createRandom(SEED);
  const encoded = Array.from({length: MESSAGES}, (_, ask) =>
    encodeFollower(createMessage(random, ask)),
  );
  t.strictSame(encoded.map(decodeFollower), encoded.map(decodePlainly));
});

void tap.test('a follower message survives the link', async t => {
  const random = createRandom(SEED + 1);
  const messages = Array.from({length: MESSAGES}, (_, ask) =>
    createMessage(random, ask),
  );
  const decoded = messages.map(each => decodeFollower(encodeFollower(each)));
  t.strictSame(decoded, messages);
});

void tap.test('replies are JSON rows', async t => {
  const server = '10.0.0.7:7000#"\\é';
  const granted: LeaderMessage = {
    ...{kind: 'reply', ask: 7},
    reply: {kind: 'granted', server},
  };
  const refused: LeaderMessage = {
    ...{kind: 'reply', ask: 8},
    reply: {kind: 'refused', retryAfterMs: 200.5, isUnheld: false},
  };
  const rowOf = (message: LeaderMessage): unknown =>
    JSON.parse(encodeLeader(message).toString());
  t.strictSame(rowOf(granted), ['r', 7, server]);
  t.strictSame(rowOf(refused), ['r', 8, refused.reply]);
  t.strictSame(decodeLeader(encodeLeader(granted)), granted);
  t.strictSame(decodeLeader(encodeLeader(refused)), refused);
});
