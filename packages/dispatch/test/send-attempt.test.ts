import tap from 'tap';
import {createCanceller, STOPPING} from '@banyandrum/base/cancel.js';
import {createClock, sleep} from '@banyandrum/base/clock.js';
import type {AttemptResult} from '@banyandrum/dispatch/attempt.js';
import type {Backend} from '@banyandrum/dispatch/backend.js';
import {NO_CARRIERS, type Carriers} from '@banyandrum/dispatch/carriers.js';
import {createServerConnections} from '@banyandrum/dispatch/connections.js';
import {sendAttempt} from '@banyandrum/dispatch/send-attempt.js';
import {openPaths} from './open-paths.js';
import {listenRaw, NAMES} from './raw-server.js';

const ANSWER =
  'HTTP/1.1 200 OK\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok';
const ANSWER_MS = 100;

interface Sent {
  readonly result: AttemptResult;
  /** Requests that reached the server. */
  readonly arrivals: number;
  /** Attempts that another router was asked to send. */
  readonly carried: number;
}

/**
 * Sends a request on a new connection, and no request any more after
 * `stopAfterMs`.
 */
async function sendThenStop(
  stopAfterMs: number,
  isReachable = true,
): Promise<Sent> {
  let arrivals = 0;
  let carried = 0;
  const server = await listenRaw(socket => {
    arrivals++;
    setTimeout(() => socket.write(ANSWER), ANSWER_MS);
  });
  if (!isReachable) await server.close();
  const clock = createClock();
  const connections = createServerConnections(server.origin, 4);
  const info = {id: 's1'};
  const backend = {info, connections, serviceMs: 0} as unknown as Backend;
  const carriers: Carriers = {
    ...NO_CARRIERS,
    isAvailable: () => true,
    async send() {
      carried++;
      return {kind: 'unavailable'};
    },
  };
  const cfg = {
    ...{...openPaths(clock), carriers, names: NAMES, clock},
    emit: () => undefined,
  };
  const spec = {
    ...{server: 's1', requestId: 'r1', withinMs: 500, isRepeatable: true},
    ...{method: 'GET', path: '/', headers: [], body: null},
  };
  const {signal} = createCanceller();
  const sending = createCanceller();
  const sendSignal = sending.signal;
  const connection = connections.acquireNew();
  const signals = {signal, sendSignal};
  const sent = sendAttempt(cfg, backend, connection, spec, signals);
  if (stopAfterMs > 0) await sleep(clock, stopAfterMs);
  sending.abort(STOPPING);
  const result = await sent;
  await sleep(clock, ANSWER_MS);
  connections.retire();
  if (isReachable) await server.close();
  return {result, arrivals, carried};
}

// Guards against a request that is written after the last one may be sent,
// since its connection was still being opened then.
void tap.test('a stop sends nothing on connections it opens', async t => {
  const {result, arrivals, carried} = await sendThenStop(0);
  t.match(result, {kind: 'lost', reason: 'cancelled', isWritten: false});
  t.equal(arrivals, 0, 'the server gets nothing');
  t.equal(carried, 0, 'no other router is asked');
});

// Guards against a detour that begins after the last request may be sent.
void tap.test('a stop asks no other router to send', async t => {
  const {result, carried} = await sendThenStop(0, false);
  t.match(result, {kind: 'lost', isWritten: false});
  t.equal(carried, 0, 'no other router is asked');
});

void tap.test('a server at work may answer a stopping router', async t => {
  const {result, arrivals} = await sendThenStop(ANSWER_MS / 2);
  t.equal(result.kind, 'answered');
  t.equal(arrivals, 1);
});
