import tap from 'tap';
import {createUnreadAnswers} from '@banyandrum/gateway/unread-answers.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const MAX_BYTES = 1_000_000;
const MAX_MS = 10_000;

interface FakeConnection {
  readonly name: string;
  isClosed: boolean;
  once(event: 'close', listener: () => void): void;
  destroy(): void;
}

function createFakeConnection(name: string): FakeConnection {
  const listeners: (() => void)[] = [];
  const connection: FakeConnection = {
    ...{name, isClosed: false},
    once: (_, listener) => void listeners.push(listener),
    destroy() {
      connection.isClosed = true;
      listeners.forEach(listener => listener());
    },
  };
  return connection;
}

function createHarness() {
  const clock = createManualClock();
  const events: (readonly [string, object])[] = [];
  const unread = createUnreadAnswers({
    clock,
    emit: (event, fields) => void events.push([event, fields ?? {}]),
    limits: {maxBytes: MAX_BYTES, maxMs: MAX_MS},
  });
  return {clock, events, unread};
}

// Guards against callers that keep an answer in memory for as long as they like.
void tap.test('a connection without progress is closed in time', async t => {
  const {clock, events, unread} = createHarness();
  const idle = createFakeConnection('idle');
  const slow = createFakeConnection('slow');
  unread.add(idle, 1_000);
  const answer = unread.add(slow, 1_000);
  for (let ms = 0; ms < MAX_MS; ms += 2_000) {
    await clock.advance(2_000);
    answer.noteProgress();
  }
  await clock.advance(1_000);
  t.equal(idle.isClosed, true);
  t.equal(slow.isClosed, false);
  t.match(events, [['unread-closed', {why: 'time', connections: 1, left: 1}]]);
  answer.finish();
  t.equal(unread.bytes(), 0);
  t.equal(unread.connections(), 0);
});

// Guards against closing the connection of an answer that waits in its pipeline
// behind a request that takes long: the server ran both.
void tap.test('an answer that is not being written is not stalled', async t => {
  const {clock, unread} = createHarness();
  const connection = {...createFakeConnection('waits'), writableLength: 0};
  unread.add(connection, 1_000);
  await clock.advance(3 * MAX_MS);
  t.equal(unread.closed(), 0);
  connection.writableLength = 1_000;
  await clock.advance(MAX_MS + 1_000);
  t.equal(unread.closed(), 1, 'but once its caller does not read it');
});

// Guards against closing those first that hold little, or have just read.
void tap.test('the largest and oldest are closed first', async t => {
  const {clock, unread} = createHarness();
  const large = createFakeConnection('large');
  const small = createFakeConnection('small');
  const recent = createFakeConnection('recent');
  unread.add(small, 10_000);
  unread.add(large, 500_000);
  await clock.advance(2_000);
  unread.add(recent, 600_000);
  await clock.advance(1_000);
  t.same(
    [large, small, recent].map(({isClosed}) => isClosed),
    [true, false, false],
  );
  t.ok(unread.bytes() <= MAX_BYTES, `${unread.bytes()} bytes`);
  t.equal(unread.closed(), 1);
});

// Guards against answers that arrive faster than connections are checked.
void tap.test('bytes are bounded while answers arrive fast', async t => {
  const {clock, unread} = createHarness();
  let most = 0;
  for (let i = 0; i < 500; i++) {
    unread.add(createFakeConnection(`c${i}`), 50_000);
    most = Math.max(most, unread.bytes());
    await clock.advance(2);
  }
  t.ok(most <= MAX_BYTES * 4, `${most} bytes`);
});

// Guards against refusing an answer for its size to a caller that reads it.
void tap.test('an answer larger than the limit is delivered', async t => {
  const {clock, unread} = createHarness();
  const reader = createFakeConnection('reader');
  const answer = unread.add(reader, MAX_BYTES * 3);
  for (let i = 0; i < 200; i++) {
    await clock.advance(20);
    answer.noteProgress();
  }
  answer.finish();
  t.equal(reader.isClosed, false);
  t.equal(unread.bytes(), 0);
});

// Guards against counting answers of connections that were closed by the caller.
void tap.test('a closed connection holds nothing', t => {
  const {unread} = createHarness();
  const connection = createFakeConnection('gone');
  const answer = unread.add(connection, 1_000);
  unread.add(connection, 1_000);
  connection.destroy();
  t.equal(unread.bytes(), 0);
  answer.finish();
  t.equal(unread.bytes(), 0);
  unread.stop();
  t.end();
});
