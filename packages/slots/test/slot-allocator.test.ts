import tap from 'tap';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends, type Backends} from '@banyandrum/dispatch/backends.js';
import type {Owner} from '@banyandrum/dispatch/owners.js';
import {
  createSlotAllocator,
  type SlotAllocator,
} from '@banyandrum/slots/slot-allocator.js';
import type {
  SlotRequest,
  SlotOutcome,
  SlotReply,
} from '@banyandrum/dispatch/slots.js';
import {
  createServerLimits,
  type ServerLimits,
} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects, type Suspects} from '@banyandrum/dispatch/suspects.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

interface Fixture {
  readonly clock: ManualClock;
  readonly backends: Backends;
  readonly allocator: SlotAllocator;
  readonly suspects: Suspects;
  readonly limits: ServerLimits;
  request(part?: Partial<SlotRequest>): RequestHandle;
}

interface RequestHandle {
  reply: SlotReply | null;
  release(outcome?: SlotOutcome, tookMs?: number): void;
}

function info(id: string, part: Partial<ServerInfo> = {}): ServerInfo {
  return {
    id,
    service: 'holds',
    address: '127.0.0.1:1',
    dataCentre: 'a',
    slots: 2,
    isLeaving: false,
    coldUntil: 0,
    ...part,
  };
}

function setUp(
  servers: readonly ServerInfo[],
  ownerOf: (key: number) => Owner = () => ({kind: 'none'}),
): Fixture {
  const clock = createManualClock(1_000);
  const backends = createBackends(clock);
  backends.update(servers);
  const suspects = createSuspects(clock, () => undefined);
  const limits = createServerLimits({clock, emit: () => undefined});
  const allocator = createSlotAllocator({
    backends,
    clock,
    emit: () => undefined,
    suspects,
    limits,
    ownerOf: (_, key) => ownerOf(key),
    onNotHeld: () => undefined,
  });
  return {
    clock,
    backends,
    allocator,
    suspects,
    limits,
    request(part = {}) {
      const handle: RequestHandle = {reply: null, release: () => undefined};
      const release = allocator.ask(
        {
          id: 'r1',
          service: 'holds',
          key: null,
          priority: 1,
          leftMs: 2_000,
          aimLeftMs: 1_000,
          askedMs: 0,
          excluded: [],
          dataCentre: 'a',
          ...part,
        },
        reply => {
          handle.reply = reply;
        },
      );
      handle.release = (outcome = 'answered', tookMs = 100) =>
        release(outcome, tookMs);
      return handle;
    },
  };
}

void tap.test('the leader never places more requests than slots', async t => {
  const {request} = setUp([info('s1')]);
  const [a, b, c] = [request(), request(), request()];
  t.match(a!.reply, {kind: 'granted', server: 's1'});
  t.match(b!.reply, {kind: 'granted'});
  t.equal(c!.reply, null);
  a!.release();
  t.match(c!.reply, {kind: 'granted'});
});

void tap.test('the more urgent request goes first', async t => {
  const {request} = setUp([info('s1', {slots: 1})]);
  const first = request();
  const later = request({priority: 2});
  const urgent = request({priority: 0});
  first.release();
  t.match(urgent.reply, {kind: 'granted'});
  t.equal(later.reply, null);
});

// Guards against allocating slots to requests that can't be answered before
// their deadline. Their callers must be refused at once instead.
void tap.test(
  'no place without time for the request to be answered',
  async t => {
    const {request, clock} = setUp([info('s1', {slots: 1})]);
    const first = request();
    const waiting = request({leftMs: 700});
    await clock.advance(600);
    t.match(waiting.reply, {kind: 'refused'});
    first.release();
    t.match(request({leftMs: 100}).reply, {kind: 'refused'});
  },
);

// Guards against requests that already missed their target latency delaying
// those that can still meet it. This happens when a server is much slower than
// usual. The late requests must be refused at once.
void tap.test('requests past their target latency yield to others', async t => {
  const {request, clock} = setUp([info('s1', {slots: 1})]);
  const first = request();
  const old = request();
  await clock.advance(900);
  const fresh = request();
  await clock.advance(50);
  t.match(old.reply, {kind: 'refused'});
  first.release();
  t.match(fresh.reply, {kind: 'granted'});
});

// Guards against queueing requests under overload that can't be answered in
// time. If they aren't refused at once, their callers have no time left for a
// retry.
void tap.test(
  'a request that would wait too long is refused at once',
  async t => {
    const {request, clock} = setUp([info('s1', {slots: 1})]);
    let running = request();
    const handles = Array.from({length: 30}, () => request());
    const waiting = handles.filter(({reply}) => reply === null);
    const refused = handles.filter(({reply}) => reply?.kind === 'refused');
    t.equal(refused.length + waiting.length, 30);
    t.ok(refused.length > 10, `${refused.length} refused`);
    t.ok(waiting.length > 1, `${waiting.length} wait`);
    for (const next of waiting) {
      await clock.advance(200);
      running.release('answered', 200);
      t.match(next.reply, {kind: 'granted'});
      running = next;
    }
  },
);

void tap.test('requests wait while their key moves, and follow it', async t => {
  let owner: Owner = {kind: 'moving'};
  const {request, allocator} = setUp([info('s1'), info('s2')], () => owner);
  const handle = request({key: 7});
  t.equal(handle.reply, null);
  owner = {kind: 'held', server: 's2'};
  allocator.reevaluate();
  t.match(handle.reply, {kind: 'granted', server: 's2'});
});

void tap.test('keys of a busy server do not delay others', async t => {
  const ownerOf = (key: number): Owner => ({
    kind: 'held',
    server: key === 1 ? 's1' : 's2',
  });
  const {request} = setUp([info('s1', {slots: 1}), info('s2')], ownerOf);
  request({key: 1});
  const behind = request({key: 1});
  const other = request({key: 2});
  t.equal(behind.reply, null);
  t.match(other.reply, {kind: 'granted', server: 's2'});
});

void tap.test('no place at a server that is leaving', async t => {
  const {request} = setUp([info('s1', {isLeaving: true}), info('s2')]);
  for (let at = 0; at < 2; at++) t.match(request().reply, {server: 's2'});
  t.equal(request().reply, null);
});

// Guards against sending further requests to a host without power, where each
// one times out. After its ejection, one request at a time tests whether it is
// back.
void tap.test(
  'a server that does not answer is ejected for a while',
  async t => {
    const {request, clock} = setUp([info('s1'), info('s2', {dataCentre: 'b'})]);
    await clock.advance(10);
    const lost = request();
    t.match(lost.reply, {server: 's1'});
    await clock.advance(800);
    lost.release('lost', 800);
    t.match(request().reply, {server: 's2'});
    await clock.advance(300);
    const back = [request(), request(), request()].map(({reply}) => reply);
    const probes = back.filter(
      reply => reply?.kind === 'granted' && reply.server === 's1',
    );
    t.equal(probes.length, 1);
  },
);

void tap.test('a server that was never asked is tried first', async t => {
  const {request, backends, clock} = setUp([info('s1')]);
  await clock.advance(10);
  request().release('answered', 60);
  backends.update([info('s1'), info('s2', {dataCentre: 'b'})]);
  t.match(request().reply, {server: 's2'});
});

void tap.test('all waiting requests get a reply on close', async t => {
  const {request, allocator} = setUp([info('s1', {slots: 1})]);
  request();
  const waiting = request();
  allocator.close();
  t.match(waiting.reply, {kind: 'unavailable'});
});

void tap.test('a cancelled ask takes no place at a server', async t => {
  const {request} = setUp([info('s1', {slots: 1})]);
  const first = request();
  const cancelled = request();
  cancelled.release('cancelled', 0);
  first.release();
  t.equal(cancelled.reply, null);
  t.match(request().reply, {kind: 'granted'});
});

// Guards against distributing requests evenly over servers that differ in
// speed, which makes callers wait for the slower ones.
void tap.test('the faster of two servers gets more requests', async t => {
  const speeds = new Map([
    ['s1', 100],
    ['s2', 400],
  ]);
  const {request, clock} = setUp([info('s1'), info('s2')]);
  const counts = new Map<string, number>();
  for (let round = 0; round < 100; round++) {
    const handle = request();
    if (handle.reply?.kind !== 'granted') continue;
    const {server} = handle.reply;
    counts.set(server, (counts.get(server) ?? 0) + 1);
    const tookMs = speeds.get(server)!;
    clock.after(tookMs, () => handle.release('answered', tookMs));
    await clock.advance(60);
  }
  t.ok(counts.get('s1')! > 2 * (counts.get('s2') ?? 0), `${[...counts]}`);
});

// Guards against a server that is added under load staying idle, because its
// speed is unknown and others are known to be fast.
void tap.test('an added server gets its share', async t => {
  const {request, clock, backends} = setUp([info('s1'), info('s2')]);
  const serve = async (rounds: number): Promise<number> => {
    let added = 0;
    for (let round = 0; round < rounds; round++) {
      const handle = request();
      if (handle.reply?.kind === 'granted') {
        if (handle.reply.server === 's3') added++;
        clock.after(150, () => handle.release('answered', 150));
      }
      await clock.advance(40);
    }
    return added;
  };
  await serve(50);
  backends.update([info('s1'), info('s2'), info('s3')]);
  t.ok((await serve(50)) >= 8);
});

// Guards against scanning all waiters for each free slot. With 60 busy servers
// and some requests waiting for each, 2,000 slots a second are released and
// allocated again. A scan would make the leader's processor the bottleneck
// while servers are idle. Examining a waiter looks up its key's owner, so
// lookups are counted.
void tap.test(
  'at the end of a request, waiters elsewhere are not scanned',
  async t => {
    const SERVERS = 60;
    const WAITING = 10;
    let lookups = 0;
    const {request} = setUp(
      Array.from({length: SERVERS}, (_, at) => info(`s${at}`, {slots: 1})),
      key => {
        lookups++;
        return {kind: 'held', server: `s${key}`};
      },
    );
    const running: RequestHandle[] = [];
    const waiting: RequestHandle[] = [];
    for (let key = 0; key < SERVERS; key++) {
      running.push(request({key}));
      for (let at = 0; at < WAITING; at++) waiting.push(request({key}));
    }
    lookups = 0;
    for (const each of running) each.release('answered', 1);
    const granted = waiting.filter(({reply}) => reply?.kind === 'granted');
    t.equal(granted.length, SERVERS, 'one waiter at each server gets a slot');
    t.ok(
      lookups < SERVERS * 5,
      `${lookups} lookups for ${SERVERS} released slots`,
    );
  },
);

// Guards against allocating a slot to a cancelled request. The caller
// disconnects while its request waits and its key moves to another server.
void tap.test('a cancelled request gets no place at the new owner', async t => {
  let owner = 's1';
  const {request, allocator, backends} = setUp(
    [info('s1', {slots: 1}), info('s2', {slots: 1})],
    () => ({
      kind: 'held',
      server: owner,
    }),
  );
  request({key: 1});
  const cancelled = request({key: 1});
  const next = request({key: 1});
  owner = 's2';
  cancelled.release('cancelled', 0);
  allocator.reevaluate();
  t.equal(cancelled.reply, null);
  t.match(next.reply, {kind: 'granted', server: 's2'});
  t.equal(backends.get('s2')!.allocatedSlots, 1);
});

// Guards against concurrent trials of the same content. A request that crashed
// a server arrives at all routers; if several were sent at once, each could
// crash another server before the first crash is detected.
void tap.test('one trial of the same content at a time', async t => {
  const {request} = setUp([info('s1'), info('s2')]);
  const first = request({trial: 'bad'});
  t.match(first.reply, {kind: 'granted'});
  t.match(request({trial: 'bad'}).reply, {kind: 'refused'});
  t.match(request().reply, {kind: 'granted'}, 'other requests are served');
  first.release();
  const second = request({trial: 'bad'});
  t.match(
    second.reply,
    {kind: 'granted'},
    'the next one, as the first was answered',
  );
  second.release('cancelled');
  t.match(request({trial: 'bad'}).reply, {kind: 'granted'});
});

// Guards against concurrent trials at one server. Requests that ran beside the
// one that crashed a server are suspected too. If they were tried together, a
// crash would again count against all of them.
void tap.test('no two trials at the same server', async t => {
  const {request} = setUp([info('s1', {slots: 4}), info('s2', {slots: 4})]);
  const servers = ['a', 'b'].map(trial => {
    const {reply} = request({trial});
    return reply?.kind === 'granted' ? reply.server : null;
  });
  t.same([...servers].sort(), ['s1', 's2']);
  const third = request({trial: 'c'});
  t.equal(third.reply, null, 'waits for a server without a trial');
  t.match(request().reply, {kind: 'granted'}, 'does not delay others');
});

void tap.test(
  'a waiting trial does not delay requests of the same key',
  async t => {
    const {request, clock} = setUp([info('s1', {slots: 4})], () => ({
      ...{kind: 'held', server: 's1'},
    }));
    const running = request({key: 1, trial: 'a'});
    const waiting = request({key: 1, trial: 'b'});
    t.equal(waiting.reply, null);
    t.match(request({key: 1}).reply, {kind: 'granted'});
    await clock.advance(100);
    running.release();
    t.match(waiting.reply, {kind: 'granted'});
  },
);

void tap.test(
  'a cancelled waiting trial leaves room for the next one',
  async t => {
    const {request} = setUp([info('s1', {slots: 1})]);
    const running = request();
    const waiting = request({trial: 'bad'});
    waiting.release('cancelled');
    t.equal(
      request({trial: 'bad'}).reply,
      null,
      'the next one waits in its place',
    );
    running.release();
  },
);

void tap.test('a quarantined request gets no place at a server', async t => {
  const {request, suspects} = setUp([info('s1')]);
  const contents = {exact: 'bad', anyCaller: 'b2', anyQuery: 'b3'};
  const struck = {contents, caller: 'c', service: 'holds', route: 'r'};
  for (const server of ['x1', 'x2', 'x3']) {
    suspects.addStrike(struck, server, true);
  }
  suspects.applyQuarantineRules();
  t.match(request({trial: 'bad'}).reply, {kind: 'refused'});
});

// Guards against retry delays that are too short for the limited rate.
void tap.test('the retry delay of a refusal reflects the limit', async t => {
  const {limits, request, clock} = setUp([info('s1', {slots: 4})]);
  limits.mergeFromFollower([['s1', 1]]);
  const part = {aimLeftMs: 1_900, leftMs: 4_000};
  t.match(request(part).reply, {kind: 'granted'});
  const waiting = request(part);
  const refused = request(part);
  t.equal(waiting.reply, null, 'queued, as its wait is within its slack');
  t.match(refused.reply, {kind: 'refused', retryAfterMs: 2_000});
  await clock.advance(1_100);
  t.match(waiting.reply, {kind: 'granted'});
});

// Guards against refusing a service for good after its servers were slow: an
// estimate that only outcomes can lower let no request through to lower it.
void tap.test('a service whose servers were slow is tried again', async t => {
  const {request, backends, clock} = setUp([info('s1'), info('s2')]);
  for (const backend of backends.all()) backend.serviceMs = 1_800;
  t.match(request().reply, {kind: 'refused'}, 'its answer would come too late');
  let served = 0;
  for (let elapsedMs = 0; elapsedMs < 8_000; elapsedMs += 100) {
    const handles = [request(), request(), request()];
    await clock.advance(100);
    for (const {reply, release} of handles) {
      if (reply?.kind !== 'granted') continue;
      release('answered', 100);
      served++;
    }
  }
  t.ok(served > 100, `${served} served`);
});

// Guards against spending more than one slot of a slow server on requests that
// it can't answer in time.
void tap.test(
  'a slow server gets one request at a time to test it',
  async t => {
    const {request, backends, clock} = setUp([info('s1'), info('s2')]);
    for (const backend of backends.all()) backend.serviceMs = 1_800;
    let tested = 0;
    for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 2_000) {
      const handles = Array.from({length: 6}, () => request());
      const granted = handles.filter(({reply}) => reply?.kind === 'granted');
      t.ok(granted.length <= 2, `${granted.length} of two servers`);
      tested += granted.length;
      await clock.advance(2_000);
      for (const {release} of granted) release('lost', 2_000);
    }
    t.ok(tested >= 4);
  },
);

// Guards against spending slots of idle servers on requests without a chance.
void tap.test('a request with little time left tests no server', async t => {
  const {request, backends, clock} = setUp([info('s1')]);
  backends.get('s1')!.serviceMs = 1_800;
  await clock.advance(1_000);
  t.match(request({leftMs: 900, askedMs: 1_100}).reply, {kind: 'refused'});
  t.match(request().reply, {kind: 'granted'});
});
