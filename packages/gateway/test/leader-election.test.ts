import tap from 'tap';
import {createLeaderElection} from '@banyandrum/gateway/leader-election.js';
import type {Candidate} from '@banyandrum/gateway/host-capacity.js';
import type {LeaderRead} from '@banyandrum/ranges/table-store.js';

const SELF = '10.0.0.1:7200';
const OTHER = '10.0.0.2:7200';

/** The conditions that a chosen router finds. */
interface Conditions {
  isChosen?: boolean;
  /** Whether it is the deputy that should succeed a lost leader. */
  isSuccessor?: boolean;
  /** The address of a leader that is certainly lost. */
  gone?: string;
  /** Another router asks it to lead. */
  isOffered?: boolean;
  leaderContactAgeMs?: number | null;
  last?: LeaderRead;
  /** Whether a leader answers at the last address. */
  isReachable?: boolean;
  deputies?: readonly Candidate[];
  /** Addresses of routers that accept an offer of leadership. */
  accepting?: readonly string[];
  /** Whether the router can't reach servers that others reach. */
  isCutOff?: boolean;
  /** Whether the process has just started and knows no other router. */
  isFresh?: boolean;
}

const SMALL = {processors: 0.27, linkMbps: 10};
const LARGE = {processors: 1.35, linkMbps: 200};

/** Runs elections; returns the terms started and the addresses contacted. */
async function electWith(conditions: Conditions): Promise<{
  terms: number;
  contacted: readonly string[];
  offered: readonly string[];
}> {
  let terms = 0;
  const contacted: string[] = [];
  const offered: string[] = [];
  const election = createLeaderElection({
    emit: () => undefined,
    self: SELF,
    isChosen: () => conditions.isChosen ?? true,
    isSuccessor: () => conditions.isSuccessor ?? false,
    isGone: address => address === conditions.gone,
    sinceRestoreMs: () => Infinity,
    isLeading: () => terms > 0,
    isCutOff: () => conditions.isCutOff ?? false,
    leaderContactAgeMs: () => conditions.leaderContactAgeMs ?? null,
    readLastLeader: async () =>
      conditions.last ?? {kind: 'read', address: OTHER},
    async followAt(address) {
      contacted.push(address);
      return conditions.isReachable ?? false;
    },
    hasFollowed: () => conditions.isFresh !== true,
    room: SMALL,
    deputies: () => conditions.deputies ?? [],
    async offerLeadership(address) {
      offered.push(address);
      return conditions.accepting?.includes(address) ?? false;
    },
    async startTerm() {
      terms++;
      return true;
    },
  });
  if (conditions.isOffered) await election.handleOffer();
  await Promise.all([election.runIfNeeded(), election.runIfNeeded()]);
  await election.runIfNeeded();
  return {terms, contacted, offered};
}

// Guards against a change of leader whenever routers join and the platform
// chooses another one. The working leader must continue: each change costs half
// a second without slots and a new grant of all keys.
void tap.test('a working leader is kept', async t => {
  t.equal((await electWith({leaderContactAgeMs: 300})).terms, 0);
  const notFollowed = await electWith({isReachable: true});
  t.match(
    notFollowed,
    {terms: 0, contacted: [OTHER, OTHER]},
    'found by the stored record',
  );
});

void tap.test('a leader that is gone is succeeded at once', async t => {
  t.same(await electWith({}), {terms: 1, contacted: [OTHER], offered: []});
  const none = {kind: 'read', address: null} as const;
  t.same(await electWith({last: none}), {
    terms: 1,
    contacted: [],
    offered: [],
  });
  const own = {kind: 'read', address: SELF} as const;
  t.same(
    await electWith({last: own}),
    {terms: 1, contacted: [], offered: []},
    'restarted',
  );
});

// Guards against keeping a leader that is reachable but, since it is cut off
// from the platform or shutting down, can no longer record moves.
void tap.test('a leader out of contact is replaced', async t => {
  t.same(await electWith({leaderContactAgeMs: 5_000}), {
    terms: 1,
    contacted: [],
    offered: [],
  });
});

void tap.test('no term without being chosen or the last address', async t => {
  t.equal((await electWith({isChosen: false})).terms, 0);
  const failed = {kind: 'failed'} as const;
  t.equal((await electWith({last: failed})).terms, 0);
});

// Guards against a leader on a small host that the platform chose, under which
// routers waited for slots and forwarded requests that their callers had
// abandoned. It must first ask the deputies with more capacity, and start a
// term itself if none of them leads, since no other router would.
void tap.test('a host with little room asks those with more', async t => {
  const deputies = [
    {address: '10.0.0.7:7200', room: LARGE, dataCentre: 'a'},
    {address: '10.0.0.8:7200', room: LARGE, dataCentre: 'a'},
    {address: '10.0.0.9:7200', room: SMALL, dataCentre: 'a'},
  ];
  const last = {kind: 'read', address: null} as const;
  const lost = await electWith({last, deputies, accepting: []});
  t.equal(lost.terms, 1);
  t.same(lost.offered, ['10.0.0.7:7200', '10.0.0.8:7200']);
  const led = await electWith({last, deputies, accepting: ['10.0.0.8:7200']});
  t.equal(led.terms, 0);
  t.equal(led.contacted[0], '10.0.0.8:7200', 'the new leader is followed');
});

// Guards against replacing a working leader because one router that can't reach
// it asks a deputy to lead.
void tap.test('an offer does not replace a working leader', async t => {
  const asked = {isOffered: true, isChosen: false} as const;
  t.equal((await electWith({...asked, leaderContactAgeMs: 300})).terms, 0);
  t.equal((await electWith({...asked, leaderContactAgeMs: 2_500})).terms, 1);
  t.equal((await electWith(asked)).terms, 1, 'none is followed');
});

// Guards against a small host that leads after all routers have started again,
// and hands the lead on while all keys wait.
void tap.test(
  'after a restart of all the last leader is asked first',
  async t => {
    const fresh = {isFresh: true, accepting: [OTHER]};
    t.match(await electWith(fresh), {terms: 0});
    t.ok((await electWith(fresh)).offered.includes(OTHER));
    const lost = await electWith({isFresh: true});
    t.match(lost, {terms: 1, offered: [OTHER]}, 'not waited for');
    const first = {kind: 'read', address: null} as const;
    t.match(await electWith({isFresh: true, last: first}), {offered: []});
  },
);

// Guards against a lost leader that is waited for until the platform has removed
// it from the group, and against asking it once more whether it leads.
void tap.test('a deputy succeeds a leader that is gone', async t => {
  const gone = {isChosen: false, isSuccessor: true, gone: OTHER};
  t.same(await electWith(gone), {terms: 1, contacted: [], offered: []});
  const next = {kind: 'read', address: '10.0.0.5:7200'} as const;
  t.match(
    await electWith({...gone, last: next, isReachable: true}),
    {terms: 0},
    'another leader has begun',
  );
  t.match(
    await electWith({...gone, leaderContactAgeMs: 300}),
    {terms: 0},
    'a working leader is kept',
  );
});
