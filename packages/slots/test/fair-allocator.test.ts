import tap from 'tap';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import type {Owner} from '@banyandrum/dispatch/owners.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import type {SlotReply, SlotRequest} from '@banyandrum/dispatch/slots.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createSlotAllocator} from '@banyandrum/slots/slot-allocator.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const SERVICE_MS = 100;
const SLOTS = 2;

interface Handle {
  readonly name: string;
  reply: SlotReply | null;
  release(): void;
}

function setUp(owners = ['s1']) {
  const clock = createManualClock(1_000);
  const backends = createBackends(clock);
  backends.update(
    owners.map(id => ({
      ...{id, service: 'holds', address: '127.0.0.1:1', dataCentre: 'a'},
      ...{slots: SLOTS, isLeaving: false, coldUntil: 0},
    })),
  );
  for (const backend of backends.ofService('holds'))
    backend.serviceMs = SERVICE_MS;
  const order: string[] = [];
  const events: {event: string; why?: unknown; caller?: unknown}[] = [];
  let owner: Owner = {kind: 'held', server: 's1'};
  const allocator = createSlotAllocator({
    ...{backends, clock, queue: 'fair'},
    emit: (event, fields) => events.push({event, ...fields}),
    suspects: createSuspects(clock, () => undefined),
    limits: createServerLimits({clock, emit: () => undefined}),
    ownerOf: () => owner,
    onNotHeld: () => undefined,
  });
  const ask = (name: string, part: Partial<SlotRequest> = {}): Handle => {
    const handle: Handle = {name, reply: null, release: () => undefined};
    const end = allocator.ask(
      {
        ...{id: name, service: 'holds', key: null, priority: 1, excluded: []},
        ...{leftMs: 5_000, aimLeftMs: 1_000, askedMs: 0, dataCentre: 'a'},
        ...part,
      },
      reply => {
        handle.reply = reply;
        if (reply.kind === 'granted') order.push(name);
      },
    );
    handle.release = () => end('answered', SERVICE_MS);
    return handle;
  };
  const moveKeysTo = (server: string): void => {
    owner = {kind: 'held', server};
  };
  return {clock, allocator, ask, order, events, moveKeysTo};
}

/** Takes all slots for `ms` with a caller's requests, one after the other. */
async function occupy(
  {ask, clock}: ReturnType<typeof setUp>,
  caller: number,
  ms: number,
): Promise<readonly Handle[]> {
  let running: Handle[] = [];
  for (let elapsed = 0; elapsed < ms; elapsed += SERVICE_MS) {
    for (const handle of running) handle.release();
    running = Array.from({length: SLOTS}, () => ask('first', {caller}));
    await clock.advance(SERVICE_MS);
  }
  return running;
}

// Guards against a caller that is refused a free slot for what it took before.
void tap.test('no caller is limited while a slot is free', async t => {
  const fixture = setUp();
  const running = await occupy(fixture, 1, 5_000);
  for (let i = 0; i < 40; i++) fixture.ask('refused', {caller: 1, leftMs: 1});
  for (const handle of running) handle.release();
  t.equal(fixture.ask('again', {caller: 1}).reply?.kind, 'granted');
  t.equal(fixture.ask('again', {caller: 1}).reply?.kind, 'granted');
});

// Guards against a caller that delays others by sending more requests.
void tap.test('callers that ask for less go first', async t => {
  const fixture = setUp();
  const {ask, order, clock} = fixture;
  ask('early', {caller: 2}).release();
  const running = await occupy(fixture, 1, 2_000);
  for (let i = 0; i < 300; i++) {
    ask(`many ${i}`, {caller: 1});
    await clock.advance(10);
  }
  ask('few', {caller: 3});
  order.length = 0;
  for (const handle of running) handle.release();
  t.ok(order.length === SLOTS && order.includes('few'), 'one of the next two');
});

// Guards against serving requests that are late anyway before those that can
// still be on time, also of a lower priority.
void tap.test('requests past their target come last, oldest first', async t => {
  const {ask, order} = setUp();
  const running = [ask('first'), ask('first')];
  ask('late', {aimLeftMs: 50, priority: 0, askedMs: 100});
  ask('older', {aimLeftMs: 50, priority: 0, askedMs: 400});
  ask('on time', {priority: 2});
  order.length = 0;
  running[0]?.release();
  t.same(order, ['on time']);
  running[1]?.release();
  t.same(order, ['on time', 'older']);
});

// Guards against turns of one owner's queue that are used in another's, and
// against accounts that keep what was cancelled or moved away.
void tap.test('waiting requests move with their keys', async t => {
  const {ask, order, allocator, moveKeysTo, clock} = setUp(['s1', 's2']);
  const running = [1, 2, 3, 4].map(key => ask('first', {key, caller: 1}));
  t.same(running[2]?.reply, null);
  moveKeysTo('s2');
  allocator.reevaluate();
  t.equal(running[2]?.reply?.kind, 'granted');
  t.equal(running[3]?.reply?.kind, 'granted');
  const waiting = ask('waits', {key: 5, caller: 2});
  waiting.release();
  t.equal(allocator.waitingCount(), 0);
  order.length = 0;
  for (const handle of running) handle.release();
  await clock.advance(20_000);
  allocator.reevaluate();
  t.same(allocator.largestFlows(), [], 'accounts expire');
});

// Guards against refusals of which an operator can't tell for whom they are.
void tap.test('refusals are counted, with the largest callers', async t => {
  const fixture = setUp();
  await occupy(fixture, 7, 3_000);
  for (let i = 0; i < 60; i++) fixture.ask('refused', {caller: 7});
  const [count] = fixture.allocator.refusals();
  t.match(count, {service: 'holds', why: 'too-many-wait'});
  t.match(
    fixture.events.find(({event}) => event === 'place-refused'),
    {why: 'too-many-wait', caller: 7},
  );
  t.match(fixture.allocator.largestFlows()[0], {kind: 'caller', name: '7'});
});
