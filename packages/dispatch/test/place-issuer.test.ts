import tap from 'tap';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends, type Backends} from '@banyandrum/dispatch/backends.js';
import type {Owner} from '@banyandrum/dispatch/owners.js';
import {
  createSlotAllocator,
  type SlotAllocator,
} from '@banyandrum/dispatch/place-issuer.js';
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
  release(how?: SlotOutcome, tookMs?: number): void;
}

function info(id: string, part: Partial<ServerInfo> = {}): ServerInfo {
  return {
    id,
    service: 'holds',
    address: '127.0.0.1:1',
    dataCentre: 'a',
    slots: 2,
    isLeaving: false,
    coldMs: 0,
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
  const issuer = createSlotAllocator({
    backends,
    clock,
    emit: () => undefined,
    suspects,
    limits,
    ownerOf: (_, key) => ownerOf(key),
  });
  return {
    clock,
    backends,
    allocator: issuer,
    suspects,
    limits,
    request(part = {}) {
      const asked: RequestHandle = {reply: null, release: () => undefined};
      const takeBack = issuer.ask(
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
          asked.reply = reply;
        },
      );
      asked.release = (how = 'answered', tookMs = 100) => takeBack(how, tookMs);
      return asked;
    },
  };
}

void tap.test('never more places than slots', async t => {
  const {request: ask} = setUp([info('s1')]);
  const [a, b, c] = [ask(), ask(), ask()];
  t.match(a!.reply, {kind: 'granted', server: 's1'});
  t.match(b!.reply, {kind: 'granted'});
  t.equal(c!.reply, null);
  a!.release();
  t.match(c!.reply, {kind: 'granted'});
});

void tap.test('the more urgent goes first', async t => {
  const {request: ask} = setUp([info('s1', {slots: 1})]);
  const first = ask();
  const later = ask({priority: 2});
  const urgent = ask({priority: 0});
  first.release();
  t.match(urgent.reply, {kind: 'granted'});
  t.equal(later.reply, null);
});

// The caller of a request that can't be answered in time is told so at once,
// and its slot's work is not wasted on an answer that nobody waits for.
void tap.test('no place without time to be answered', async t => {
  const {request: ask, clock} = setUp([info('s1', {slots: 1})]);
  const first = ask();
  const waiting = ask({leftMs: 700});
  await clock.advance(600);
  t.match(waiting.reply, {kind: 'refused'});
  first.release();
  t.match(ask({leftMs: 100}).reply, {kind: 'refused'});
});

// A server takes far longer than usual. Who waited until its answer is worth
// less must not hold up one that can still be answered in time, and is told at
// once that it won't be.
void tap.test('one whose aim has passed goes behind the others', async t => {
  const {request: ask, clock} = setUp([info('s1', {slots: 1})]);
  const first = ask();
  const old = ask();
  await clock.advance(900);
  const fresh = ask();
  await clock.advance(50);
  t.match(old.reply, {kind: 'refused'});
  first.release();
  t.match(fresh.reply, {kind: 'granted'});
});

// With more requests than the servers can take, each that is let in must still
// be answered in time, and each other one is refused at once: held in vain, its
// caller has no time left to come back.
void tap.test('who would wait too long is refused at once', async t => {
  const {request: ask, clock} = setUp([info('s1', {slots: 1})]);
  let running = ask();
  const asked = Array.from({length: 30}, () => ask());
  const waiting = asked.filter(({reply: told}) => told === null);
  const refused = asked.filter(({reply: told}) => told?.kind === 'refused');
  t.equal(refused.length + waiting.length, 30);
  t.ok(refused.length > 10, `${refused.length} refused`);
  t.ok(waiting.length > 1, `${waiting.length} wait`);
  for (const next of waiting) {
    await clock.advance(200);
    running.release('answered', 200);
    t.match(next.reply, {kind: 'granted'});
    running = next;
  }
});

void tap.test('a key waits while it moves, and follows its holder', async t => {
  let owner: Owner = {kind: 'moving'};
  const {request: ask, allocator: issuer} = setUp(
    [info('s1'), info('s2')],
    () => owner,
  );
  const asked = ask({key: 7});
  t.equal(asked.reply, null);
  owner = {kind: 'held', server: 's2'};
  issuer.reevaluate();
  t.match(asked.reply, {kind: 'granted', server: 's2'});
});

void tap.test('keys of a busy server hold up no others', async t => {
  const holder = (key: number): Owner => ({
    kind: 'held',
    server: key === 1 ? 's1' : 's2',
  });
  const {request: ask} = setUp([info('s1', {slots: 1}), info('s2')], holder);
  ask({key: 1});
  const behind = ask({key: 1});
  const other = ask({key: 2});
  t.equal(behind.reply, null);
  t.match(other.reply, {kind: 'granted', server: 's2'});
});

void tap.test('a leaving server gets no place', async t => {
  const {request: ask} = setUp([info('s1', {isLeaving: true}), info('s2')]);
  for (let at = 0; at < 2; at++) t.match(ask().reply, {server: 's2'});
  t.equal(ask().reply, null);
});

// A host without power keeps silent: its requests time out one after the
// other. It is passed over, then shows with a single request that it's back.
void tap.test('a silent server is passed over for a while', async t => {
  const {request: ask, clock} = setUp([
    info('s1'),
    info('s2', {dataCentre: 'b'}),
  ]);
  await clock.advance(10);
  const lost = ask();
  t.match(lost.reply, {server: 's1'});
  await clock.advance(800);
  lost.release('lost', 800);
  t.match(ask().reply, {server: 's2'});
  await clock.advance(300);
  const back = [ask(), ask(), ask()].map(({reply: told}) => told);
  const probes = back.filter(
    told => told?.kind === 'granted' && told.server === 's1',
  );
  t.equal(probes.length, 1);
});

void tap.test('a server that nobody asked yet is tried first', async t => {
  const {request: ask, backends, clock} = setUp([info('s1')]);
  await clock.advance(10);
  ask().release('answered', 60);
  backends.update([info('s1'), info('s2', {dataCentre: 'b'})]);
  t.match(ask().reply, {server: 's2'});
});

void tap.test('all that wait are told when it closes', async t => {
  const {request: ask, allocator: issuer} = setUp([info('s1', {slots: 1})]);
  ask();
  const waiting = ask();
  issuer.close();
  t.match(waiting.reply, {kind: 'unavailable'});
});

void tap.test('a cancelled ask takes no place', async t => {
  const {request: ask} = setUp([info('s1', {slots: 1})]);
  const first = ask();
  const cancelled = ask();
  cancelled.release('cancelled', 0);
  first.release();
  t.equal(cancelled.reply, null);
  t.match(ask().reply, {kind: 'granted'});
});

// Servers of one service are unlike in speed. Given its time, the quicker one
// must get more of the work, or callers wait for the slower one's answers.
void tap.test('the quicker of unlike servers gets more', async t => {
  const speeds = new Map([
    ['s1', 100],
    ['s2', 400],
  ]);
  const {request: ask, clock} = setUp([info('s1'), info('s2')]);
  const counts = new Map<string, number>();
  for (let round = 0; round < 100; round++) {
    const asked = ask();
    if (asked.reply?.kind !== 'granted') continue;
    const {server} = asked.reply;
    counts.set(server, (counts.get(server) ?? 0) + 1);
    const tookMs = speeds.get(server)!;
    clock.after(tookMs, () => asked.release('answered', tookMs));
    await clock.advance(60);
  }
  t.ok(counts.get('s1')! > 2 * (counts.get('s2') ?? 0), `${[...counts]}`);
});

// A server is added under load. It must get requests within moments, though
// nobody knows its speed and others are known to be quick.
void tap.test('an added server gets its share', async t => {
  const {request: ask, clock, backends} = setUp([info('s1'), info('s2')]);
  const serve = async (rounds: number): Promise<number> => {
    let added = 0;
    for (let round = 0; round < rounds; round++) {
      const asked = ask();
      if (asked.reply?.kind === 'granted') {
        if (asked.reply.server === 's3') added++;
        clock.after(150, () => asked.release('answered', 150));
      }
      await clock.advance(40);
    }
    return added;
  };
  await serve(50);
  backends.update([info('s1'), info('s2'), info('s3')]);
  t.ok((await serve(50)) >= 8);
});

// Sixty busy servers hold the keys, and some requests wait for each. Places end
// and are granted on 2,000 times a second: if each end looked through all that
// wait, the leader's processor would be the bottleneck and callers would wait
// for it while servers stand idle. A look at a waiting request asks for its
// key's holder: they are counted.
void tap.test('an end costs no look at those who wait elsewhere', async t => {
  const SERVERS = 60;
  const WAITING = 10;
  let looks = 0;
  const {request: ask} = setUp(
    Array.from({length: SERVERS}, (_, at) => info(`s${at}`, {slots: 1})),
    key => {
      looks++;
      return {kind: 'held', server: `s${key}`};
    },
  );
  const running: RequestHandle[] = [];
  const waiting: RequestHandle[] = [];
  for (let key = 0; key < SERVERS; key++) {
    running.push(ask({key}));
    for (let at = 0; at < WAITING; at++) waiting.push(ask({key}));
  }
  looks = 0;
  for (const each of running) each.release('answered', 1);
  const granted = waiting.filter(({reply: told}) => told?.kind === 'granted');
  t.equal(granted.length, SERVERS, 'one at each server goes on');
  t.ok(looks < SERVERS * 5, `${looks} looks for ${SERVERS} ends`);
});

// A caller leaves while its request waits, just as its key goes to another
// server. Its place there would be taken for nobody.
void tap.test('who left gets no place at the new holder', async t => {
  let holder = 's1';
  const {
    request: ask,
    allocator: issuer,
    backends,
  } = setUp([info('s1', {slots: 1}), info('s2', {slots: 1})], () => ({
    kind: 'held',
    server: holder,
  }));
  ask({key: 1});
  const gone = ask({key: 1});
  const next = ask({key: 1});
  holder = 's2';
  gone.release('cancelled', 0);
  issuer.reevaluate();
  t.equal(gone.reply, null);
  t.match(next.reply, {kind: 'granted', server: 's2'});
  t.equal(backends.get('s2')!.allocatedSlots, 1);
});

// One content under which a server ended comes at every router. If several of
// it were let go at once, each would end a server of its own before the first
// end is known.
void tap.test('one trial of a content at a time', async t => {
  const {request: ask} = setUp([info('s1'), info('s2')]);
  const first = ask({trial: 'bad'});
  t.match(first.reply, {kind: 'granted'});
  t.match(ask({trial: 'bad'}).reply, {kind: 'refused'});
  t.match(ask().reply, {kind: 'granted'}, 'others go on');
  first.release();
  const second = ask({trial: 'bad'});
  t.match(second.reply, {kind: 'granted'}, 'the next, as it was answered');
  second.release('cancelled');
  t.match(ask({trial: 'bad'}).reply, {kind: 'granted'});
});

// What ran beside the bad request is suspected as well. Sent together to the
// next server, both would be struck by its end again.
void tap.test('no two trials at one server', async t => {
  const {request: ask} = setUp([
    info('s1', {slots: 4}),
    info('s2', {slots: 4}),
  ]);
  const servers = ['a', 'b'].map(trial => {
    const {reply: told} = ask({trial});
    return told?.kind === 'granted' ? told.server : null;
  });
  t.same([...servers].sort(), ['s1', 's2']);
  const third = ask({trial: 'c'});
  t.equal(third.reply, null, 'it waits for a server without one');
  t.match(ask().reply, {kind: 'granted'}, 'and holds up nobody');
});

void tap.test('a trial that waits passes others of its keys', async t => {
  const {request: ask, clock} = setUp([info('s1', {slots: 4})], () => ({
    ...{kind: 'held', server: 's1'},
  }));
  const running = ask({key: 1, trial: 'a'});
  const waiting = ask({key: 1, trial: 'b'});
  t.equal(waiting.reply, null);
  t.match(ask({key: 1}).reply, {kind: 'granted'});
  await clock.advance(100);
  running.release();
  t.match(waiting.reply, {kind: 'granted'});
});

void tap.test('a waiting trial that is given up leaves room', async t => {
  const {request: ask} = setUp([info('s1', {slots: 1})]);
  const running = ask();
  const waiting = ask({trial: 'bad'});
  waiting.release('cancelled');
  t.equal(ask({trial: 'bad'}).reply, null, 'the next one waits in its place');
  running.release();
});

void tap.test('what is quarantined gets no place', async t => {
  const {request: ask, suspects} = setUp([info('s1')]);
  const contents = {exact: 'bad', anyCaller: 'b2', anyQuery: 'b3'};
  const struck = {contents, caller: 'c', service: 'holds', route: 'r'};
  for (const server of ['x1', 'x2', 'x3']) {
    suspects.addStrike(struck, server, true);
  }
  suspects.applyQuarantineRules();
  t.match(ask({trial: 'bad'}).reply, {kind: 'refused'});
});

// Guards against retry delays that are too short for the limited rate.
void tap.test('the retry delay of a refusal reflects the limit', async t => {
  const {limits, request: ask, clock} = setUp([info('s1', {slots: 4})]);
  limits.mergeFromFollower([['s1', 1]]);
  const part = {aimLeftMs: 1_900, leftMs: 4_000};
  t.match(ask(part).reply, {kind: 'granted'});
  const waiting = ask(part);
  const refused = ask(part);
  t.equal(waiting.reply, null, 'queued, as its wait fits within its aim');
  t.match(refused.reply, {kind: 'refused', retryAfterMs: 2_000});
  await clock.advance(1_100);
  t.match(waiting.reply, {kind: 'granted'});
});
