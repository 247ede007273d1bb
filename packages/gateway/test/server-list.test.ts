import tap from 'tap';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import type {ServerListChange, ServerListRead} from '@banyandrum/gateway/platform.js';
import {
  createServerList,
  type ServerList,
} from '@banyandrum/gateway/server-list.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

function server(id: string, part: Partial<ServerInfo> = {}): ServerInfo {
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

function listed(each: ServerInfo): ServerListChange {
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

function scene(): {clock: ManualClock; list: ServerList} {
  const clock = createManualClock(10_000);
  const list = createServerList(clock, () => undefined, 2_000);
  list.take(read(2, [listed(server('a')), listed(server('bb'))], true));
  return {clock, list};
}

void tap.test('a removal counts at once while all is calm', async t => {
  const {list} = scene();
  list.take(read(3, [{kind: 'removed', id: 'a'}]));
  t.equal(list.has('a'), false);
});

// The store was down, so servers couldn't renew their entries: they come back
// when it does, and keep their requests until then.
void tap.test('after an outage entries get time to return', async t => {
  const {clock, list} = scene();
  list.take(FAILED);
  await clock.advance(1_000);
  list.take(read(3, [{kind: 'removed', id: 'a'}]));
  t.equal(list.has('a'), true);
  list.take(read(4, [listed(server('a'))]));
  await clock.advance(5_000);
  list.take(read(4, []));
  t.equal(list.has('a'), true);
});

// A server leaves some two seconds after the store came back. The time that
// entries get must count from the outage: counted from the removal, requests
// reached the server long after it was gone from the list.
void tap.test('no entry outlives the time after the outage', async t => {
  const {clock, list} = scene();
  list.take(FAILED);
  await clock.advance(2_100);
  list.take(read(3, [{kind: 'removed', id: 'a'}]));
  t.equal(list.has('a'), true);
  await clock.advance(200);
  list.take(read(3, []));
  t.equal(list.has('a'), false);
});

// This router knows that a server is gone. The leader, whose own reads failed
// lately, still keeps it; its list must not bring the server back.
void tap.test('a list from elsewhere brings nothing back', async t => {
  const {clock, list: leader} = scene();
  const {list} = scene();
  leader.take(FAILED);
  leader.take(read(3, [{kind: 'removed', id: 'a'}]));
  leader.take(read(4, [listed(server('bb', {isLeaving: true}))]));
  t.equal(leader.has('a'), true);
  list.take(read(3, [{kind: 'removed', id: 'a'}]));
  list.takeSnapshot(leader.snapshot()!, 0);
  t.equal(list.has('a'), false);
  t.equal(list.snapshot()!.servers[0]!.isLeaving, true);
  await clock.advance(1);
});

void tap.test('an older list from elsewhere is nothing new', async t => {
  const {list} = scene();
  const {list: behind} = scene();
  list.take(read(5, [{kind: 'removed', id: 'a'}]));
  list.takeSnapshot(behind.snapshot()!, 0);
  t.equal(list.has('a'), false);
});

void tap.test('a newer server at the address ends the older one', async t => {
  const {list} = scene();
  t.equal(list.isReplaced('a'), false);
  list.take(read(3, [{kind: 'removed', id: 'a'}]));
  t.equal(list.isReplaced('a'), false, 'gone from the list proves nothing');
  const {address} = server('a');
  list.take(read(4, [listed(server('new', {address}))]));
  t.equal(list.isReplaced('a'), true);
  t.equal(list.isReplaced('new'), false);
});

// A server starts again under the name that it had. It holds nothing of before:
// requests for its keys are refused by it until they are granted anew, so that
// its earlier run must be given up at once, whoever is told in which order.
void tap.test('a later run under the same name takes its place', async t => {
  const {list} = scene();
  const [first, second] = [server('a~100'), server('a~200')];
  list.take(read(3, [listed(first)]));
  t.equal(list.has('a'), false, 'the run without a moment came before');
  list.take(read(4, [listed(second)]));
  t.equal(list.has('a~100'), false);
  t.equal(list.has('a~200'), true);
  t.equal(list.isReplaced('a~100'), false, 'it obeys what that was ordered');
  list.take(read(5, [listed(first)]));
  t.equal(list.has('a~100'), false, 'an older one that comes late is no news');
  t.equal(list.has('a~200'), true);
  list.take(read(6, [{kind: 'removed', id: 'a'}]));
  t.equal(list.has('a~200'), false, 'it is removed by its name');
});

// The store turns the leader away while the server starts twice.
void tap.test('runs are told apart in a list that is read anew', async t => {
  const {clock, list} = scene();
  list.take(FAILED);
  await clock.advance(1_000);
  list.take(read(3, [{kind: 'removed', id: 'a'}]));
  list.take(read(9, [listed(server('a~300')), listed(server('bb'))], true));
  t.equal(list.has('a'), false, 'no time to return for the earlier run');
  t.same(
    list
      .snapshot()
      ?.servers.map(({id}) => id)
      .sort(),
    ['a~300', 'bb'],
  );
  const other = createServerList(clock, () => undefined, 2_000);
  other.take(read(4, [listed(server('a~200')), listed(server('bb'))], true));
  other.takeSnapshot(list.snapshot()!, 0);
  t.equal(other.has('a~200'), false, 'told by a leader that knows more');
  t.equal(other.has('a~300'), true);
});

// Guards against a leaving server being used again after its entry is reread.
void tap.test('a run that reports leaving stays marked as leaving', async t => {
  const {list} = scene();
  let changes = 0;
  list.subscribe(() => changes++);
  const isLeaving = (): boolean | undefined =>
    list.snapshot()!.servers.find(({id}) => id === 'a')?.isLeaving;
  t.equal(list.noteLeaving('a'), true);
  t.equal(list.noteLeaving('a'), false, 'already known');
  t.equal(changes, 1);
  t.equal(isLeaving(), true);
  list.take(read(3, [listed(server('a'))]));
  t.equal(isLeaving(), true, 'listed as ready');
  list.take(read(4, [{kind: 'removed', id: 'a'}]));
  list.take(read(5, [listed(server('a'))]));
  t.equal(isLeaving(), true, 'listed again after removal');
  list.take(read(6, [listed(server('a~1796000000000'))]));
  const runs = list.snapshot()!.servers.map(each => [each.id, each.isLeaving]);
  t.same(runs, [
    ['bb', false],
    ['a~1796000000000', false],
  ]);
});

// Guards against ignoring a leaving server while the cursor does not advance.
void tap.test(
  'leaving servers are taken from any snapshot of another router',
  async t => {
    const {list} = scene();
    const servers = [server('a', {isLeaving: true}), server('bb')];
    list.takeSnapshot({cursor: 2, servers}, 0);
    t.equal(list.snapshot()!.servers[0]!.isLeaving, true, 'at the same cursor');
    const older = [server('a'), server('bb', {isLeaving: true})];
    list.takeSnapshot({cursor: 1, servers: older}, 0);
    const states = list.snapshot()!.servers.map(each => each.isLeaving);
    t.same(
      states,
      [true, true],
      'an older snapshot adds marks but clears none',
    );
  },
);
