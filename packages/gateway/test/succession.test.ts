import tap from 'tap';
import {createSuccession} from '@banyandrum/gateway/succession.js';
import type {LeaderRead} from '@banyandrum/ranges/ledger.js';

const SELF = '10.0.0.1:7200';
const OTHER = '10.0.0.2:7200';

/** What a chosen router finds. */
interface Found {
  isChosen?: boolean;
  heardTouchMs?: number | null;
  last?: LeaderRead;
  answers?: boolean;
}

/** How often it begins, and whom it looks for. */
async function considerWith(found: Found): Promise<{
  begins: number;
  looked: readonly string[];
}> {
  let begins = 0;
  const looked: string[] = [];
  const succession = createSuccession({
    emit: () => undefined,
    self: SELF,
    isChosen: () => found.isChosen ?? true,
    isLeading: () => begins > 0,
    heardLeaderTouchMs: () => found.heardTouchMs ?? null,
    lastLeader: async () => found.last ?? {kind: 'read', address: OTHER},
    async reach(address) {
      looked.push(address);
      return found.answers ?? false;
    },
    begin: () => void begins++,
  });
  await Promise.all([succession.consider(), succession.consider()]);
  await succession.consider();
  return {begins, looked};
}

// Routers join one by one, and the platform chooses another one each time.
// Callers must see nothing of it: the leader that works goes on. Each change
// left them half a second without places and all keys granted anew.
void tap.test('a leader that is heard is kept', async t => {
  t.equal((await considerWith({heardTouchMs: 300})).begins, 0);
  const unheard = await considerWith({answers: true});
  t.same(unheard, {begins: 0, looked: [OTHER, OTHER]}, 'found by the record');
});

void tap.test('a leader that is gone is followed at once', async t => {
  t.same(await considerWith({}), {begins: 1, looked: [OTHER]});
  const none = {kind: 'read', address: null} as const;
  t.same(await considerWith({last: none}), {begins: 1, looked: []});
  const own = {kind: 'read', address: SELF} as const;
  t.same(await considerWith({last: own}), {begins: 1, looked: []}, 'restarted');
});

// The leader is cut off from the platform, or stops as planned: it is heard,
// but it can record no move any more.
void tap.test('a leader out of touch is replaced', async t => {
  t.same(await considerWith({heardTouchMs: 5_000}), {begins: 1, looked: []});
});

void tap.test('nobody begins who was not chosen, or can not know', async t => {
  t.equal((await considerWith({isChosen: false})).begins, 0);
  const failed = {kind: 'failed'} as const;
  t.equal((await considerWith({last: failed})).begins, 0);
});
