import tap from 'tap';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends, type Backends} from '@banyandrum/dispatch/backends.js';
import type {Owner} from '@banyandrum/dispatch/owners.js';
import {
  createPlaceIssuer,
  type PlaceIssuer,
} from '@banyandrum/dispatch/place-issuer.js';
import type {
  PlaceAsk,
  PlaceEnd,
  PlaceReply,
} from '@banyandrum/dispatch/places.js';
import {
  createServerLimits,
  type ServerLimits,
} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects, type Suspects} from '@banyandrum/dispatch/suspects.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

interface Scene {
  readonly clock: ManualClock;
  readonly backends: Backends;
  readonly issuer: PlaceIssuer;
  readonly suspects: Suspects;
  readonly limits: ServerLimits;
  ask(part?: Partial<PlaceAsk>): Asked;
}

interface Asked {
  told: PlaceReply | null;
  end(how?: PlaceEnd, tookMs?: number): void;
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

function scene(
  servers: readonly ServerInfo[],
  ownerOf: (key: number) => Owner = () => ({kind: 'none'}),
): Scene {
  const clock = createManualClock(1_000);
  const backends = createBackends(clock);
  backends.update(servers);
  const suspects = createSuspects(clock, () => undefined);
  const limits = createServerLimits({clock, emit: () => undefined});
  const issuer = createPlaceIssuer({
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
    issuer,
    suspects,
    limits,
    ask(part = {}) {
      const asked: Asked = {told: null, end: () => undefined};
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
          asked.told = reply;
        },
      );
      asked.end = (how = 'answered', tookMs = 100) => takeBack(how, tookMs);
      return asked;
    },
  };
}

void tap.test('never more places than slots', async t => {
  const {ask} = scene([info('s1')]);
  const [a, b, c] = [ask(), ask(), ask()];
  t.match(a!.told, {kind: 'granted', server: 's1'});
  t.match(b!.told, {kind: 'granted'});
  t.equal(c!.told, null);
  a!.end();
  t.match(c!.told, {kind: 'granted'});
});

void tap.test('the more urgent goes first', async t => {
  const {ask} = scene([info('s1', {slots: 1})]);
  const first = ask();
  const later = ask({priority: 2});
  const urgent = ask({priority: 0});
  first.end();
  t.match(urgent.told, {kind: 'granted'});
  t.equal(later.told, null);
});

// The caller of a request that can't be answered in time is told so at once,
// and its slot's work is not wasted on an answer that nobody waits for.
void tap.test('no place without time to be answered', async t => {
  const {ask, clock} = scene([info('s1', {slots: 1})]);
  const first = ask();
  const waiting = ask({leftMs: 700});
  await clock.advance(600);
  t.match(waiting.told, {kind: 'refused'});
  first.end();
  t.match(ask({leftMs: 100}).told, {kind: 'refused'});
});

// A server takes far longer than usual. Who waited until its answer is worth
// less must not hold up one that can still be answered in time, and is told at
// once that it won't be.
void tap.test('one whose aim has passed goes behind the others', async t => {
  const {ask, clock} = scene([info('s1', {slots: 1})]);
  const first = ask();
  const old = ask();
  await clock.advance(900);
  const fresh = ask();
  await clock.advance(50);
  t.match(old.told, {kind: 'refused'});
  first.end();
  t.match(fresh.told, {kind: 'granted'});
});

// With more requests than the servers can take, each that is let in must still
// be answered in time, and each other one is refused at once: held in vain, its
// caller has no time left to come back.
void tap.test('who would wait too long is refused at once', async t => {
  const {ask, clock} = scene([info('s1', {slots: 1})]);
  let running = ask();
  const asked = Array.from({length: 30}, () => ask());
  const waiting = asked.filter(({told}) => told === null);
  const refused = asked.filter(({told}) => told?.kind === 'refused');
  t.equal(refused.length + waiting.length, 30);
  t.ok(refused.length > 10, `${refused.length} refused`);
  t.ok(waiting.length > 1, `${waiting.length} wait`);
  for (const next of waiting) {
    await clock.advance(200);
    running.end('answered', 200);
    t.match(next.told, {kind: 'granted'});
    running = next;
  }
});

void tap.test('a key waits while it moves, and follows its holder', async t => {
  let owner: Owner = {kind: 'moving'};
  const {ask, issuer} = scene([info('s1'), info('s2')], () => owner);
  const asked = ask({key: 7});
  t.equal(asked.told, null);
  owner = {kind: 'held', server: 's2'};
  issuer.review();
  t.match(asked.told, {kind: 'granted', server: 's2'});
});

void tap.test('keys of a busy server hold up no others', async t => {
  const holder = (key: number): Owner => ({
    kind: 'held',
    server: key === 1 ? 's1' : 's2',
  });
  const {ask} = scene([info('s1', {slots: 1}), info('s2')], holder);
  ask({key: 1});
  const behind = ask({key: 1});
  const other = ask({key: 2});
  t.equal(behind.told, null);
  t.match(other.told, {kind: 'granted', server: 's2'});
});

void tap.test('a leaving server gets no place', async t => {
  const {ask} = scene([info('s1', {isLeaving: true}), info('s2')]);
  for (let at = 0; at < 2; at++) t.match(ask().told, {server: 's2'});
  t.equal(ask().told, null);
});

// A host without power keeps silent: its requests time out one after the
// other. It is passed over, then shows with a single request that it's back.
void tap.test('a silent server is passed over for a while', async t => {
  const {ask, clock} = scene([info('s1'), info('s2', {dataCentre: 'b'})]);
  await clock.advance(10);
  const lost = ask();
  t.match(lost.told, {server: 's1'});
  await clock.advance(800);
  lost.end('lost', 800);
  t.match(ask().told, {server: 's2'});
  await clock.advance(300);
  const back = [ask(), ask(), ask()].map(({told}) => told);
  const probes = back.filter(
    told => told?.kind === 'granted' && told.server === 's1',
  );
  t.equal(probes.length, 1);
});

void tap.test('a server that nobody asked yet is tried first', async t => {
  const {ask, backends, clock} = scene([info('s1')]);
  await clock.advance(10);
  ask().end('answered', 60);
  backends.update([info('s1'), info('s2', {dataCentre: 'b'})]);
  t.match(ask().told, {server: 's2'});
});

void tap.test('all that wait are told when it closes', async t => {
  const {ask, issuer} = scene([info('s1', {slots: 1})]);
  ask();
  const waiting = ask();
  issuer.close();
  t.match(waiting.told, {kind: 'unavailable'});
});

void tap.test('a cancelled ask takes no place', async t => {
  const {ask} = scene([info('s1', {slots: 1})]);
  const first = ask();
  const cancelled = ask();
  cancelled.end('cancelled', 0);
  first.end();
  t.equal(cancelled.told, null);
  t.match(ask().told, {kind: 'granted'});
});

// Servers of one service are unlike in speed. Given its time, the quicker one
// must get more of the work, or callers wait for the slower one's answers.
void tap.test('the quicker of unlike servers gets more', async t => {
  const speeds = new Map([
    ['s1', 100],
    ['s2', 400],
  ]);
  const {ask, clock} = scene([info('s1'), info('s2')]);
  const counts = new Map<string, number>();
  for (let round = 0; round < 100; round++) {
    const asked = ask();
    if (asked.told?.kind !== 'granted') continue;
    const {server} = asked.told;
    counts.set(server, (counts.get(server) ?? 0) + 1);
    const tookMs = speeds.get(server)!;
    clock.after(tookMs, () => asked.end('answered', tookMs));
    await clock.advance(60);
  }
  t.ok(counts.get('s1')! > 2 * (counts.get('s2') ?? 0), `${[...counts]}`);
});

// A server is added under load. It must get requests within moments, though
// nobody knows its speed and others are known to be quick.
void tap.test('an added server gets its share', async t => {
  const {ask, clock, backends} = scene([info('s1'), info('s2')]);
  const serve = async (rounds: number): Promise<number> => {
    let added = 0;
    for (let round = 0; round < rounds; round++) {
      const asked = ask();
      if (asked.told?.kind === 'granted') {
        if (asked.told.server === 's3') added++;
        clock.after(150, () => asked.end('answered', 150));
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
  const {ask} = scene(
    Array.from({length: SERVERS}, (_, at) => info(`s${at}`, {slots: 1})),
    key => {
      looks++;
      return {kind: 'held', server: `s${key}`};
    },
  );
  const running: Asked[] = [];
  const waiting: Asked[] = [];
  for (let key = 0; key < SERVERS; key++) {
    running.push(ask({key}));
    for (let at = 0; at < WAITING; at++) waiting.push(ask({key}));
  }
  looks = 0;
  for (const each of running) each.end('answered', 1);
  const granted = waiting.filter(({told}) => told?.kind === 'granted');
  t.equal(granted.length, SERVERS, 'one at each server goes on');
  t.ok(looks < SERVERS * 5, `${looks} looks for ${SERVERS} ends`);
});

// A caller leaves while its request waits, just as its key goes to another
// server. Its place there would be taken for nobody.
void tap.test('who left gets no place at the new holder', async t => {
  let holder = 's1';
  const {ask, issuer, backends} = scene(
    [info('s1', {slots: 1}), info('s2', {slots: 1})],
    () => ({kind: 'held', server: holder}),
  );
  ask({key: 1});
  const gone = ask({key: 1});
  const next = ask({key: 1});
  holder = 's2';
  gone.end('cancelled', 0);
  issuer.review();
  t.equal(gone.told, null);
  t.match(next.told, {kind: 'granted', server: 's2'});
  t.equal(backends.get('s2')!.placed, 1);
});

// One content under which a server ended comes at every router. If several of
// it were let go at once, each would end a server of its own before the first
// end is known.
void tap.test('one trial of a content at a time', async t => {
  const {ask} = scene([info('s1'), info('s2')]);
  const first = ask({trial: 'bad'});
  t.match(first.told, {kind: 'granted'});
  t.match(ask({trial: 'bad'}).told, {kind: 'refused'});
  t.match(ask().told, {kind: 'granted'}, 'others go on');
  first.end();
  const second = ask({trial: 'bad'});
  t.match(second.told, {kind: 'granted'}, 'the next, as it was answered');
  second.end('cancelled');
  t.match(ask({trial: 'bad'}).told, {kind: 'granted'});
});

// What ran beside the bad request is suspected as well. Sent together to the
// next server, both would be struck by its end again.
void tap.test('no two trials at one server', async t => {
  const {ask} = scene([info('s1', {slots: 4}), info('s2', {slots: 4})]);
  const servers = ['a', 'b'].map(trial => {
    const {told} = ask({trial});
    return told?.kind === 'granted' ? told.server : null;
  });
  t.same([...servers].sort(), ['s1', 's2']);
  const third = ask({trial: 'c'});
  t.equal(third.told, null, 'it waits for a server without one');
  t.match(ask().told, {kind: 'granted'}, 'and holds up nobody');
});

void tap.test('a trial that waits passes others of its keys', async t => {
  const {ask, clock} = scene([info('s1', {slots: 4})], () => ({
    ...{kind: 'held', server: 's1'},
  }));
  const running = ask({key: 1, trial: 'a'});
  const waiting = ask({key: 1, trial: 'b'});
  t.equal(waiting.told, null);
  t.match(ask({key: 1}).told, {kind: 'granted'});
  await clock.advance(100);
  running.end();
  t.match(waiting.told, {kind: 'granted'});
});

void tap.test('a waiting trial that is given up leaves room', async t => {
  const {ask} = scene([info('s1', {slots: 1})]);
  const running = ask();
  const waiting = ask({trial: 'bad'});
  waiting.end('cancelled');
  t.equal(ask({trial: 'bad'}).told, null, 'the next one waits in its place');
  running.end();
});

void tap.test('what is quarantined gets no place', async t => {
  const {ask, suspects} = scene([info('s1')]);
  const contents = {exact: 'bad', anyCaller: 'b2', anyQuery: 'b3'};
  const struck = {contents, caller: 'c', service: 'holds', route: 'r'};
  for (const server of ['x1', 'x2', 'x3']) {
    suspects.strike(struck, server, true);
  }
  suspects.judge();
  t.match(ask({trial: 'bad'}).told, {kind: 'refused'});
});

// Guards against retry delays that are too short for the limited rate.
void tap.test('the retry delay of a refusal reflects the limit', async t => {
  const {limits, ask, clock} = scene([info('s1', {slots: 4})]);
  limits.mergeFromFollower([['s1', 1]]);
  const part = {aimLeftMs: 1_900, leftMs: 4_000};
  t.match(ask(part).told, {kind: 'granted'});
  const waiting = ask(part);
  const refused = ask(part);
  t.equal(waiting.told, null, 'queued, as its wait fits within its aim');
  t.match(refused.told, {kind: 'refused', retryAfterMs: 2_000});
  await clock.advance(1_100);
  t.match(waiting.told, {kind: 'granted'});
});
