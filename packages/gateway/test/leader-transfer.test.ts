import tap from 'tap';
import {
  pickCarriers,
  pickSuccessor,
  type LeaderPosition,
  type Successor,
} from '@banyandrum/gateway/leader-transfer.js';

const ROOM = {processors: 0.5, linkMbps: 100};
const LARGE = {processors: 2, linkMbps: 100};
const NOW = 100_000;

const LEADER: LeaderPosition = {
  ...{room: ROOM, unreachable: 0, unreachableSince: null, now: NOW},
};
const CUT_OFF: LeaderPosition = {
  ...LEADER,
  ...{unreachable: 12, unreachableSince: NOW - 500},
};

function follower(address: string, part: Partial<Successor> = {}): Successor {
  return {
    ...{address, dataCentre: 'a', room: ROOM, unreachable: 0},
    answeredAt: -Infinity,
    ...part,
  };
}

interface Case {
  readonly what: string;
  readonly leader: LeaderPosition;
  readonly followers: readonly Successor[];
  /** The address of the successor; null if the leader stays. */
  readonly expected: string | null;
}

// Guards against a leader that can't call the servers, and against the lead
// going round between routers that can't.
const CASES: readonly Case[] = [
  {
    what: 'all alike: it stays',
    ...{leader: LEADER, followers: [follower('b')], expected: null},
  },
  {
    what: 'a host with more room',
    leader: LEADER,
    followers: [follower('b'), follower('c', {room: LARGE})],
    expected: 'c',
  },
  {
    what: 'a host with more room that is cut off',
    leader: LEADER,
    followers: [follower('c', {room: LARGE, unreachable: 1})],
    expected: null,
  },
  {
    what: 'the leader is cut off, one follower has just had an answer',
    leader: CUT_OFF,
    followers: [
      follower('b', {room: LARGE}),
      follower('c', {answeredAt: NOW - 100}),
    ],
    expected: 'c',
  },
  {
    what: 'the leader is cut off, answers are older',
    leader: CUT_OFF,
    followers: [follower('b', {answeredAt: NOW - 600})],
    expected: null,
  },
  {
    what: 'the leader has been cut off for a moment',
    leader: {...CUT_OFF, unreachableSince: NOW - 200},
    followers: [follower('b', {answeredAt: NOW - 100})],
    expected: null,
  },
  {
    what: 'the leader is cut off for long, nobody had an answer',
    leader: {...CUT_OFF, unreachableSince: NOW - 2_000},
    followers: [follower('b', {unreachable: 12}), follower('c')],
    expected: 'c',
  },
  {
    what: 'all are cut off',
    leader: {...CUT_OFF, unreachableSince: NOW - 9_000},
    followers: [
      follower('b', {unreachable: 11, room: LARGE}),
      follower('c', {unreachable: 7}),
    ],
    expected: null,
  },
  {
    what: 'a single server is slow to accept connections',
    leader: {...CUT_OFF, unreachable: 1},
    followers: [follower('b', {answeredAt: NOW})],
    expected: null,
  },
];

for (const {what, leader, followers, expected} of CASES) {
  void tap.test(`successor: ${what}`, async t => {
    t.equal(pickSuccessor(leader, followers)?.address ?? null, expected);
  });
}

void tap.test('carriers are near, able, and not always the same', async t => {
  const near = ['n1', 'n2', 'n3'].map(each => follower(each));
  const far = ['f1', 'f2'].map(each => follower(each, {dataCentre: 'b'}));
  const cut = follower('n4', {unreachable: 3});
  const others = [...near, ...far, cut];
  const named = pickCarriers(follower('n9', {unreachable: 5}), others);
  t.equal(named.length, 4);
  t.ok(named.slice(0, 2).every(each => each.startsWith('n')));
  // A data centre may be cut off whole.
  t.ok(named.slice(2).every(each => each.startsWith('f')));
  const alone = follower('f9', {unreachable: 5, dataCentre: 'c'});
  t.equal(pickCarriers(alone, others).length, 4);
  t.notOk(pickCarriers(alone, others).includes('n4'));
  const firsts = new Set(
    Array.from(
      {length: 30},
      (_, at) => pickCarriers({...alone, address: `x${at}`}, others)[0],
    ),
  );
  t.ok(firsts.size >= 4, `${firsts.size} routers are asked first`);
  t.same(pickCarriers(follower('a', {unreachable: 3}), [cut]), []);
});
