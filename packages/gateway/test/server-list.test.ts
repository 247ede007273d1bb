import tap from 'tap';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {
  fromServerEntry,
  type ServerEntry,
} from '@banyandrum/dispatch/server-entry.js';
import type {
  ServerListChange,
  ServerListRead,
} from '@banyandrum/gateway/platform.js';
import {
  createServerList,
  type ServerList,
} from '@banyandrum/gateway/server-list.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

function server(id: string, part: Partial<ServerEntry> = {}): ServerEntry {
  return {
    id,
    service: 'holds',
    address: `10.0.0.1:${id.length}`,
    dataCentre: 'a',
    slots: 2,
    isLeaving: false,
    coldMs: 0,
    ...part,
  };
}

function toInfo(entry: ServerEntry): ServerInfo {
  return fromServerEntry(entry, 0);
}

function listed(each: ServerEntry): ServerListChange {
  return {kind: 'listed', server: each};
}

function read(
  cursor: number,
  changes: readonly ServerListChange[],
  isWhole = false,
): ServerListRead {
  return {kind: 'read', isWhole, changes, cursor};
}

const FAILED: ServerListRead = {kind: 'failed', detail: 'down'};

function createHarness(): {clock: ManualClock; list: ServerList} {
  const clock = createManualClock(10_000);
  const list = createServerList(clock, () => undefined, 2_000);
  list.applyRead(read(2, [listed(server('a')), listed(server('bb'))], true));
  return {clock, list};
}

void tap.test('a removal counts at once without failed reads', async t => {
  const {list} = createHarness();
  list.applyRead(read(3, [{kind: 'removed', id: 'a'}]));
  t.equal(list.has('a'), false);
});

// Guards against dropping servers that could not renew their entries during an
// outage of the store: they get requests until they had time to register again.
void tap.test('after an outage entries have time to return', async t => {
  const {clock, list} = createHarness();
  list.applyRead(FAILED);
  await clock.advance(1_000);
  list.applyRead(read(3, [{kind: 'removed', id: 'a'}]));
  t.equal(list.has('a'), true);
  list.applyRead(read(4, [listed(server('a'))]));
  await clock.advance(5_000);
  list.applyRead(read(4, []));
  t.equal(list.has('a'), true);
});

// Guards against keeping a server that leaves about two seconds after an outage
// of the store. The grace time must count from the outage: when it counted from
// the removal, requests reached the server long after it had left the list.
void tap.test('the grace time counts from the outage', async t => {
  const {clock, list} = createHarness();
  list.applyRead(FAILED);
  await clock.advance(2_100);
  list.applyRead(read(3, [{kind: 'removed', id: 'a'}]));
  t.equal(list.has('a'), true);
  await clock.advance(200);
  list.applyRead(read(3, []));
  t.equal(list.has('a'), false);
});

// Guards against listing a removed server again because the leader, whose reads
// failed recently, still keeps it.
void tap.test('a list from elsewhere restores nothing', async t => {
  const {clock, list: leader} = createHarness();
  const {list} = createHarness();
  leader.applyRead(FAILED);
  leader.applyRead(read(3, [{kind: 'removed', id: 'a'}]));
  leader.applyRead(read(4, [listed(server('bb', {isLeaving: true}))]));
  t.equal(leader.has('a'), true);
  list.applyRead(read(3, [{kind: 'removed', id: 'a'}]));
  list.applySnapshot(leader.snapshot()!, 0);
  t.equal(list.has('a'), false);
  t.equal(list.snapshot()!.servers[0]!.isLeaving, true);
  await clock.advance(1);
});

void tap.test('an older list from elsewhere is nothing new', async t => {
  const {list} = createHarness();
  const {list: older} = createHarness();
  list.applyRead(read(5, [{kind: 'removed', id: 'a'}]));
  list.applySnapshot(older.snapshot()!, 0);
  t.equal(list.has('a'), false);
});

void tap.test('a newer server at an address replaces the older', async t => {
  const {list} = createHarness();
  t.equal(list.isReplaced('a'), false);
  list.applyRead(read(3, [{kind: 'removed', id: 'a'}]));
  t.equal(
    list.isReplaced('a'),
    false,
    'being gone from the list proves nothing',
  );
  const {address} = server('a');
  list.applyRead(read(4, [listed(server('new', {address}))]));
  t.equal(list.isReplaced('a'), true);
  t.equal(list.isReplaced('new'), false);
});

// Guards against requests to the earlier instance of a server that restarted
// under the same name. The new instance owns none of the keys and rejects
// requests for them until they are granted again, so the earlier one must be
// dropped at once, in whichever order the entries arrive.
void tap.test('a later instance of the same name takes its place', async t => {
  const {list} = createHarness();
  const [first, second] = [server('a~100'), server('a~200')];
  list.applyRead(read(3, [listed(first)]));
  t.equal(list.has('a'), false, 'an id without a start time came before');
  list.applyRead(read(4, [listed(second)]));
  t.equal(list.has('a~100'), false);
  t.equal(list.has('a~200'), true);
  t.equal(
    list.isReplaced('a~100'),
    false,
    'it accepts lease calls meant for the earlier one',
  );
  list.applyRead(read(5, [listed(first)]));
  t.equal(
    list.has('a~100'),
    false,
    'a late entry of an earlier instance is ignored',
  );
  t.equal(list.has('a~200'), true);
  list.applyRead(read(6, [{kind: 'removed', id: 'a'}]));
  t.equal(list.has('a~200'), false, 'it is removed by its server name');
});

// Guards against confusing instances if reads fail while the server starts
// twice.
void tap.test('a newly read list distinguishes instances', async t => {
  const {clock, list} = createHarness();
  list.applyRead(FAILED);
  await clock.advance(1_000);
  list.applyRead(read(3, [{kind: 'removed', id: 'a'}]));
  list.applyRead(
    read(9, [listed(server('a~300')), listed(server('bb'))], true),
  );
  t.equal(list.has('a'), false, 'no grace time for the earlier instance');
  t.same(
    list
      .snapshot()
      ?.servers.map(({id}) => id)
      .sort(),
    ['a~300', 'bb'],
  );
  const other = createServerList(clock, () => undefined, 2_000);
  other.applyRead(
    read(4, [listed(server('a~200')), listed(server('bb'))], true),
  );
  other.applySnapshot(list.snapshot()!, 0);
  t.equal(other.has('a~200'), false, 'replaced by a leader that knows more');
  t.equal(other.has('a~300'), true);
});

// Guards against a leaving server being used again after its entry is reread.
void tap.test('an instance that is leaving stays marked as such', async t => {
  const {list} = createHarness();
  let changes = 0;
  list.subscribe(() => changes++);
  const isLeaving = (): boolean | undefined =>
    list.snapshot()!.servers.find(({id}) => id === 'a')?.isLeaving;
  t.equal(list.noteLeaving('a'), true);
  t.equal(list.noteLeaving('a'), false, 'already known');
  t.equal(changes, 1);
  t.equal(isLeaving(), true);
  list.applyRead(read(3, [listed(server('a'))]));
  t.equal(isLeaving(), true, 'listed as ready');
  list.applyRead(read(4, [{kind: 'removed', id: 'a'}]));
  list.applyRead(read(5, [listed(server('a'))]));
  t.equal(isLeaving(), true, 'listed again after removal');
  list.applyRead(read(6, [listed(server('a~1796000000000'))]));
  const instances = list
    .snapshot()!
    .servers.map(each => [each.id, each.isLeaving]);
  t.same(instances, [
    ['bb', false],
    ['a~1796000000000', false],
  ]);
});

// Guards against ignoring a leaving server while the cursor does not advance.
void tap.test(
  'leaving servers are taken from any snapshot of another router',
  async t => {
    const {list} = createHarness();
    const servers = [server('a', {isLeaving: true}), server('bb')];
    list.applySnapshot({cursor: 2, servers: servers.map(toInfo)}, 0);
    t.equal(list.snapshot()!.servers[0]!.isLeaving, true, 'at the same cursor');
    const older = [server('a'), server('bb', {isLeaving: true})];
    list.applySnapshot({cursor: 1, servers: older.map(toInfo)}, 0);
    const states = list.snapshot()!.servers.map(each => each.isLeaving);
    t.same(
      states,
      [true, true],
      'an older snapshot adds marks but clears none',
    );
  },
);

// Guards against taking a server for ended, and giving its keys away, since an
// entry of another writer names its address: the server works on them.
void tap.test('an entry of an unnamed service replaces no server', async t => {
  const clock = createManualClock(10_000);
  const isNamed = (service: string): boolean => service === 'holds';
  const list = createServerList(clock, () => undefined, 2_000, isNamed);
  const [a, b] = [server('a'), server('bb')];
  list.applyRead(read(2, [listed(a), listed(b)], true));
  const {address} = a;
  const stray = server('stray', {service: 'unnamed', address});
  list.applyRead(read(3, [listed(stray)]));
  list.applyRead(read(4, [{kind: 'removed', id: 'a'}]));
  t.equal(list.isReplaced('a'), false);
  const successor = server('next', {address: b.address});
  list.applyRead(read(5, [listed(successor)]));
  list.applyRead(read(6, [{kind: 'removed', id: 'bb'}]));
  t.equal(list.isReplaced('bb'), true);
});

// Guards against a server that is cold again for the same time and counts as warm
// when its first cold time would have ended: it gets too much, and crashes.
void tap.test('a server that is cold again is news', async t => {
  const {clock, list} = createHarness();
  let news = 0;
  list.subscribe(() => news++);
  const report = (coldMs: number): number => {
    list.applyRead(read(3, [listed(server('a', {coldMs}))]));
    return coldMsOf(list, clock);
  };
  t.equal(report(3_000), 3_000);
  await clock.advance(900);
  t.equal(report(2_100), 2_100);
  t.equal(news, 1, 'less is left of the same');
  await clock.advance(2_000);
  t.equal(report(3_000), 3_000);
  t.equal(news, 2);
  await clock.advance(400);
  t.equal(report(3_000), 3_000, 'and again, in the same cold time');
  t.equal(news, 3);
  t.equal(report(0), 0);
});

// Guards against a cold time that counts as over too early: its first entry came
// at once, and a later one that was delayed is that of another cold time.
void tap.test('of the ends that entries show the latest counts', async t => {
  const {clock, list} = createHarness();
  const report = (coldMs: number): number => {
    list.applyRead(read(3, [listed(server('a', {coldMs}))]));
    return coldMsOf(list, clock);
  };
  t.equal(report(3_000), 3_000);
  await clock.advance(1_000);
  t.equal(report(2_300), 2_300, '0.3 s later');
  await clock.advance(1_000);
  t.equal(report(900), 1_300, 'an earlier end');
  t.equal(report(100), 100, 'much earlier, as the first was an old entry');
});

// Guards against followers that count a server as cold for longer than it is:
// lists from the leader repeat what is known of it.
void tap.test('a list of another router begins no cold time', async t => {
  const {clock, list: leader} = createHarness();
  const follower = createServerList(clock, () => undefined, 2_000);
  let news = 0;
  follower.subscribe(() => news++);
  leader.applyRead(read(3, [listed(server('a', {coldMs: 3_000}))]));
  for (let cursor = 4; cursor < 10; cursor++) {
    follower.applySnapshot(leader.snapshot()!, 0);
    await clock.advance(400);
    leader.applyRead(read(cursor, [listed(server('bb'))]));
  }
  t.equal(coldMsOf(follower, clock), 600);
  t.equal(news, 1);
});

// Guards against an entry that was written before the server turned cold, and is
// read after it said so itself.
void tap.test('no entry shortens what the server itself said', async t => {
  const {clock, list} = createHarness();
  let news = 0;
  list.subscribe(() => news++);
  list.noteCold('a', 2_000);
  t.equal(coldMsOf(list, clock), 2_000);
  t.equal(news, 1);
  list.noteCold('a', 1_900);
  list.applyRead(read(3, [listed(server('a'))]));
  t.equal(coldMsOf(list, clock), 2_000);
  t.equal(news, 1, 'nothing new');
  await clock.advance(2_500);
  list.applyRead(read(4, [listed(server('a', {coldMs: 3_000}))]));
  t.equal(coldMsOf(list, clock), 3_000, 'another cold time');
  list.applyRead(read(5, [listed(server('a'))]));
  t.equal(coldMsOf(list, clock), 0);
  list.noteCold('unlisted', 2_000);
  t.equal(news, 3);
});

// Guards against followers that take a server for warm since it told only their
// leader, whose list has the same cursor, and is lost with it.
void tap.test('a cold server is taken from any snapshot', async t => {
  const {clock, list: leader} = createHarness();
  const {list} = createHarness();
  leader.noteCold('a', 2_000);
  list.applySnapshot(leader.snapshot()!, 0);
  t.equal(coldMsOf(list, clock), 2_000, 'at the same cursor');
  leader.noteCold('a', 2_500);
  list.applyRead(read(9, []));
  list.applySnapshot(leader.snapshot()!, 0);
  t.equal(coldMsOf(list, clock), 2_500, 'an older list');
  const warm = leader.snapshot()!.servers.map(each => ({
    ...each,
    coldUntil: 0,
  }));
  list.applySnapshot({cursor: 2, servers: warm}, 0);
  t.equal(coldMsOf(list, clock), 2_500, 'which makes none warm');
});

// Guards against a server that counts as warm by a read that was sent before its
// cold time ended, and answered after.
void tap.test('a list is known as of when its read was sent', async t => {
  const {clock, list} = createHarness();
  await clock.advance(300);
  list.applyRead(read(3, []), 10_050);
  t.equal(list.ageMs(), 250);
  t.equal(list.coldKnownAt('a'), 10_050);
  list.applyRead(read(3, []), 10_020);
  t.equal(list.coldKnownAt('a'), 10_050, 'an earlier read changes nothing');
  list.noteWarm('a', 10_200);
  t.equal(list.coldKnownAt('a'), 10_200, 'the server itself said so');
  t.equal(list.coldKnownAt('bb'), 10_050);
});

// Guards against an end of a cold time that is forgotten by an entry of before it,
// so that nothing holds the limit until the server is known as warm.
void tap.test('an end is kept until the list is known as of it', async t => {
  const {clock, list} = createHarness();
  const endOfA = (): number =>
    list.snapshot()!.servers.find(({id}) => id === 'a')!.coldUntil;
  list.applyRead(read(3, [listed(server('a', {coldMs: 1_000}))]));
  await clock.advance(1_010);
  list.applyRead(read(4, [listed(server('a'))]), 10_990);
  t.equal(endOfA(), 11_000);
  list.applyRead(read(5, [listed(server('a'))]), 11_000);
  t.equal(endOfA(), 0);
});

// Guards against a cold server that counts as warm by its entry in a copy of the
// store that is older.
void tap.test('a restored list makes no server warm', async t => {
  const {clock, list} = createHarness();
  list.applyRead(read(3, [listed(server('a', {coldMs: 3_000}))]));
  await clock.advance(1_000);
  const copy = read(1, [listed(server('a')), listed(server('bb'))], true);
  list.applyRead({...copy, isRestored: true} as ServerListRead);
  t.equal(coldMsOf(list, clock), 2_000);
  t.equal(list.coldKnownAt('a'), 10_000, 'nothing is known by the copy');
  await clock.advance(2_200);
  list.applyRead(read(1, []));
  t.equal(list.coldKnownAt('a'), 10_000, 'servers have time to write again');
  await clock.advance(1);
  list.applyRead(read(1, []));
  t.equal(list.coldKnownAt('a'), 13_201);
});

/** The remaining time for which server `a` is cold by the list, in ms. */
function coldMsOf(list: ServerList, clock: ManualClock): number {
  const {coldUntil} = list.snapshot()!.servers.find(({id}) => id === 'a')!;
  return Math.max(0, coldUntil - clock.now());
}
