import {decodeBatch, type Frame} from '@banyandrum/routers/frames.js';
import {createSender, LANES, type Sender} from '@banyandrum/routers/sender.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import tap from 'tap';

const CHUNK_BYTES = 16 * 1024;

interface Scene {
  readonly sender: Sender;
  /** Messages written so far, as the ids of their frames. */
  readonly messages: number[][];
  /** Reports the oldest message that is still under way as written. */
  done(): void;
}

function createScene(): Scene {
  const messages: number[][] = [];
  const waiting: (() => void)[] = [];
  const sender = createSender({
    clock: createManualClock(),
    write(bytes, done) {
      messages.push(decodeBatch(bytes).map(frame => frame.id));
      waiting.push(done);
    },
  });
  return {sender, messages, done: () => waiting.shift()?.()};
}

const turn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

void tap.test('frames of one turn go into one message', async t => {
  const {sender, messages} = createScene();
  for (const id of [1, 2, 3]) sender.push(LANES.heads, beat(id));
  await turn();
  t.same(messages, [[1, 2, 3]]);
});

// Large bodies fill the stream while a leader must renew its authority: the
// question has to overtake what is queued, or busy routers would lose their
// leaders. Only what is already under way goes before it.
void tap.test('control frames overtake queued bodies', async t => {
  const {sender, messages, done} = createScene();
  for (let id = 1; id <= 20; id++) {
    void sender.reserve(CHUNK_BYTES);
    sender.push(LANES.chunks, chunk(id), CHUNK_BYTES);
  }
  await turn();
  t.same(messages, [
    [1, 2, 3, 4],
    [5, 6, 7, 8],
  ]);
  sender.push(LANES.heads, beat(98));
  sender.push(LANES.control, beat(99));
  await turn();
  t.equal(messages.length, 2, 'nothing more until one is written');
  done();
  t.same(messages[2], [99, 98, 9, 10, 11, 12]);
});

void tap.test('a dropped frame never leaves; room comes back', async t => {
  const {sender, messages, done} = createScene();
  for (let id = 1; id <= 8; id++) {
    t.equal(sender.reserve(CHUNK_BYTES), null);
    const out = sender.push(LANES.chunks, chunk(id), CHUNK_BYTES);
    if (id > 4 && id !== 8) out.state = 'dropped';
  }
  const order: number[] = [];
  const rooms = [1, 2].map(async at => {
    await sender.reserve(CHUNK_BYTES);
    order.push(at);
  });
  await Promise.resolve();
  t.same(order, [], 'full');
  await turn();
  t.same(messages, [[1, 2, 3, 4], [8]]);
  await Promise.all(rooms);
  t.same(order, [1, 2]);
  let flushed = false;
  const all = sender.flushed().then(() => (flushed = true));
  done();
  await turn();
  t.notOk(flushed);
  done();
  await all;
});

void tap.test('closing drops what is queued', async t => {
  const {sender, messages} = createScene();
  const out = sender.push(LANES.heads, beat(1));
  sender.close();
  await turn();
  t.same(messages, []);
  t.equal(out.state, 'queued', 'so it was never written');
  t.equal(sender.push(LANES.heads, beat(2)).state, 'dropped');
  await sender.flushed();
  await sender.reserve(CHUNK_BYTES);
});

function beat(id: number): Frame {
  return {id, heartbeat: {reply: false}};
}

function chunk(id: number): Frame {
  return {id, chunk: {bytes: Buffer.alloc(CHUNK_BYTES), last: false}};
}
