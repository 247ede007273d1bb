import {Duplex} from 'node:stream';
import tap from 'tap';
import {
  monitorReadDelay,
  type ReadDelayMonitor,
} from '@banyandrum/gateway/read-delay.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const endTurn = (): Promise<void> => new Promise(setImmediate);

interface Harness {
  readonly delays: ReadDelayMonitor;
  advance(ms: number): Promise<void>;
  /** Lets time pass without timers, as in a pause. */
  pause(ms: number): void;
}

function startHarness(): Harness {
  const clock = createManualClock();
  let pausedMs = 0;
  const delays = monitorReadDelay(clock, () => clock.now() + pausedMs);
  return {
    delays,
    advance: clock.advance,
    pause: ms => void (pausedMs += ms),
  };
}

const newSocket = (): Duplex => new Duplex();

// Guards against taking what came in a pause for fresh, as timers run before
// sockets are read after it.
void tap.test(
  'what came in a pause counts as old until all is read',
  async t => {
    const {delays, advance, pause} = startHarness();
    const socket = newSocket();
    await advance(100);
    t.ok(delays.delayOf(socket).ms <= 50, 'without a pause');
    pause(700);
    await advance(25);
    t.ok(delays.delayOf(socket).ms >= 700, 'after one timer');
    await advance(50);
    t.ok(delays.delayOf(socket).ms <= 50, 'after another');
    t.match(delays.takeWorst(), {by: 'poll'});
    t.equal(delays.takeWorst().ms, 0, 'the worst is told once');
    delays.stop();
  },
);

// Guards against taking requests for fresh whose connections waited unaccepted.
void tap.test('connections that wait for turns count as old', async t => {
  const {delays, pause} = startHarness();
  let socket = newSocket();
  for (let turn = 0; turn < 100; turn++) {
    socket = newSocket();
    delays.noteAccepted(socket);
    await endTurn();
    pause(8);
  }
  t.ok(delays.isAccepting());
  const {ms, by} = delays.delayOf(socket);
  t.ok(ms >= 792, `${ms} ms`);
  t.equal(by, 'accept');
  await endTurn();
  await endTurn();
  t.notOk(delays.isAccepting(), 'a turn without a connection');
  const next = newSocket();
  delays.noteAccepted(next);
  t.ok(delays.delayOf(next).ms < 60, 'none waited before it');
  delays.stop();
});

// Guards against taking the time for which a caller sent nothing on its new
// connection for a delay.
void tap.test('a connection that was idle first counts as read', async t => {
  const {delays, advance} = startHarness();
  const socket = newSocket();
  delays.noteAccepted(socket);
  await advance(5_000);
  t.ok(delays.delayOf(socket).ms <= 50);
  delays.stop();
});
