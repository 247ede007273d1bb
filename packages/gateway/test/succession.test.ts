import tap from 'tap';
import {createSuccession} from '@banyandrum/gateway/succession.js';
import type {Candidate} from '@banyandrum/gateway/room.js';
import type {LeaderRead} from '@banyandrum/ranges/ledger.js';

const SELF = '10.0.0.1:7200';
const OTHER = '10.0.0.2:7200';

/** What a chosen router finds. */
interface Found {
  isChosen?: boolean;
  /** Another router asks it to lead. */
  isAsked?: boolean;
  heardTouchMs?: number | null;
  last?: LeaderRead;
  answers?: boolean;
  deputies?: readonly Candidate[];
  /** Addresses of those that lead when they are asked to. */
  willing?: readonly string[];
}

const SMALL = {processors: 0.27, linkMbps: 10};
const LARGE = {processors: 1.35, linkMbps: 200};

/** How often it begins, and whom it looks for. */
async function considerWith(found: Found): Promise<{
  begins: number;
  looked: readonly string[];
  offered: readonly string[];
}> {
  let begins = 0;
  const looked: string[] = [];
  const offered: string[] = [];
  const succession = createSuccession({
    emit: () => undefined,
    self: SELF,
    isChosen: () => found.isChosen ?? true,
    restoredMs: () => Infinity,
    isLeading: () => begins > 0,
    heardLeaderTouchMs: () => found.heardTouchMs ?? null,
    lastLeader: async () => found.last ?? {kind: 'read', address: OTHER},
    async reach(address) {
      looked.push(address);
      return found.answers ?? false;
    },
    room: SMALL,
    deputies: () => found.deputies ?? [],
    async offer(address) {
      offered.push(address);
      return found.willing?.includes(address) ?? false;
    },
    async begin() {
      begins++;
      return true;
    },
  });
  if (found.isAsked) await succession.answer();
  await Promise.all([succession.consider(), succession.consider()]);
  await succession.consider();
  return {begins, looked, offered};
}

// Routers join one by one, and the platform chooses another one each time.
// Callers must see nothing of it: the leader that works goes on. Each change
// left them half a second without places and all keys granted anew.
void tap.test('a leader that is heard is kept', async t => {
  t.equal((await considerWith({heardTouchMs: 300})).begins, 0);
  const unheard = await considerWith({answers: true});
  t.match(unheard, {begins: 0, looked: [OTHER, OTHER]}, 'by the record');
});

void tap.test('a leader that is gone is followed at once', async t => {
  t.same(await considerWith({}), {begins: 1, looked: [OTHER], offered: []});
  const none = {kind: 'read', address: null} as const;
  t.same(await considerWith({last: none}), {
    begins: 1,
    looked: [],
    offered: [],
  });
  const own = {kind: 'read', address: SELF} as const;
  t.same(
    await considerWith({last: own}),
    {begins: 1, looked: [], offered: []},
    'restarted',
  );
});

// The leader is cut off from the platform, or stops as planned: it is heard,
// but it can record no move any more.
void tap.test('a leader out of touch is replaced', async t => {
  t.same(await considerWith({heardTouchMs: 5_000}), {
    begins: 1,
    looked: [],
    offered: [],
  });
});

void tap.test('nobody begins who was not chosen, or can not know', async t => {
  t.equal((await considerWith({isChosen: false})).begins, 0);
  const failed = {kind: 'failed'} as const;
  t.equal((await considerWith({last: failed})).begins, 0);
});

// The leader is lost, and the platform chooses one of many small hosts. Led by
// it, routers waited for places and sent on what their callers had given up. It
// asks those that the lost leader named as the roomiest; where none of them
// comes to lead it begins all the same, since nobody else will.
void tap.test('one with little room asks those with more', async t => {
  const deputies = [
    {address: '10.0.0.7:7200', room: LARGE, dataCentre: 'a'},
    {address: '10.0.0.8:7200', room: LARGE, dataCentre: 'a'},
    {address: '10.0.0.9:7200', room: SMALL, dataCentre: 'a'},
  ];
  const last = {kind: 'read', address: null} as const;
  const lost = await considerWith({last, deputies, willing: []});
  t.equal(lost.begins, 1);
  t.same(lost.offered, ['10.0.0.7:7200', '10.0.0.8:7200']);
  const led = await considerWith({last, deputies, willing: ['10.0.0.8:7200']});
  t.equal(led.begins, 0);
  t.equal(led.looked[0], '10.0.0.8:7200', 'and is followed');
});

// A router that is cut off from the leader alone asks a deputy to lead. The
// leader works, all others follow it, and their callers must see nothing of it.
void tap.test('a working leader is kept whoever asks', async t => {
  const asked = {isAsked: true, isChosen: false} as const;
  t.equal((await considerWith({...asked, heardTouchMs: 300})).begins, 0);
  t.equal((await considerWith({...asked, heardTouchMs: 2_500})).begins, 1);
  t.equal((await considerWith(asked)).begins, 1, 'none is heard');
});
