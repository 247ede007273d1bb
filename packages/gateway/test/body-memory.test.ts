import tap from 'tap';
import {
  createBodyMemory,
  type BodyHolding,
  type BodyMemory,
} from '@banyandrum/gateway/body-memory.js';

const MIB = 1024 ** 2;
const LIMIT = 8 * MIB;

interface Rig {
  readonly memory: BodyMemory;
  /** Names of the bodies that were evicted, in order. */
  readonly evicted: string[];
  wait(ms: number): void;
  /** Opens a body that has received so much. */
  receive(name: string, bytes: number): BodyHolding;
}

function createRig(): Rig {
  let now = 0;
  const memory = createBodyMemory(LIMIT, {now: () => now});
  const evicted: string[] = [];
  return {
    ...{memory, evicted},
    wait: ms => void (now += ms),
    receive(name, bytes) {
      const holding = memory.open(() => {
        evicted.push(name);
        holding.release();
      });
      holding.tryHold(bytes, bytes);
      return holding;
    },
  };
}

// Guards against callers that stop short of the end of their bodies and keep all
// others from sending theirs.
void tap.test('the slowest bodies make room for others', async t => {
  const {memory, evicted, wait, receive} = createRig();
  receive('slowest', MIB);
  receive('slow', 2 * MIB);
  receive('received', 3 * MIB).complete();
  wait(1_000);
  receive('new', 200_000);
  t.same(evicted, []);
  const next = receive('next', 0);
  t.ok(next.tryHold(2 * MIB, 2 * MIB));
  t.same(evicted, ['slowest', 'slow'], 'no more than it takes');
  t.equal(memory.heldBytes(), 5 * MIB + 200_000);
  t.equal(memory.refused(), 2);
});

void tap.test('no body is evicted in vain', async t => {
  const {memory, evicted, wait, receive} = createRig();
  receive('slow', MIB);
  receive('received', 5 * MIB).complete();
  wait(1_000);
  t.notOk(receive('next', 0).tryHold(3 * MIB, 3 * MIB));
  t.same(evicted, []);
  t.equal(memory.heldBytes(), 6 * MIB);
});

void tap.test('a body that has just begun is not evicted', async t => {
  const {evicted, wait, receive} = createRig();
  receive('begun', 5 * MIB);
  wait(100);
  t.notOk(receive('next', 0).tryHold(3 * MIB, 3 * MIB));
  t.same(evicted, []);
});

// Guards against a body within the configured limit that is never served, as it
// is larger than the memory for the bodies of all requests.
void tap.test('the only large body may exceed the limit', async t => {
  const {memory, receive} = createRig();
  receive('small', 100_000);
  const large = receive('large', 0);
  t.ok(large.tryHold(6 * MIB, 6 * MIB));
  t.ok(large.tryHold(6 * MIB, 12 * MIB));
  const other = receive('other', 0);
  t.notOk(other.tryHold(MIB, MIB), 'not beside a large one');
  other.release();
  t.ok(receive('small', 0).tryHold(200_000, 200_000), 'small ones have room');
  large.release();
  t.equal(memory.heldBytes(), 300_000);
  const later = receive('later', 0);
  t.ok(later.tryHold(12 * MIB, 12 * MIB));
});
