import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import tap from 'tap';
import {request} from 'undici';
import {Ok} from '@banyandrum/base/result.js';
import {createOperatorsClient} from '@banyandrum/operators/client.js';
import type {WatchEvent} from '@banyandrum/operators/messages.js';
import {
  PUBLISH,
  PUBLISHER_TOKEN,
  VIEWER_TOKEN,
  finish,
  startOperators,
} from './fixture.js';

const EVENT: WatchEvent = {
  kind: 'publication',
  at: '2025-01-01T00:00:00Z',
  offset: 8,
  version: 8,
  detail: '',
};

void tap.test('a watch yields events and signs of life', async t => {
  let ended = false;
  const operators = await startOperators({
    async *watch(signal) {
      yield EVENT;
      await new Promise(resolve => signal.addEventListener('abort', resolve));
      ended = true;
    },
  });
  t.teardown(operators.close);
  const controller = new AbortController();
  const events = operators.client(VIEWER_TOKEN).watch(controller.signal);
  const seen: WatchEvent[] = [];
  for await (const event of events) {
    seen.push(event);
    if (seen.length === 1) await operators.clock.advance(10_000);
    if (seen.length === 2) controller.abort();
  }
  t.match(seen, [EVENT, {kind: 'alive', offset: 8, version: 8}]);
  while (!ended) await operators.clock.advance(0);
});

void tap.test('a watch ends where the router stops', async t => {
  const operators = await startOperators({
    async *watch(signal) {
      yield EVENT;
      await new Promise(resolve => signal.addEventListener('abort', resolve));
    },
  });
  t.teardown(operators.close);
  const {signal} = new AbortController();
  const seen: WatchEvent[] = [];
  for await (const event of operators.client(VIEWER_TOKEN).watch(signal)) {
    seen.push(event);
    await finish(operators.clock, operators.service.stop(1000));
  }
  t.same(seen, [EVENT]);
});

void tap.test('a watch without a valid token throws', async t => {
  const operators = await startOperators();
  t.teardown(operators.close);
  const {signal} = new AbortController();
  const events = operators.client('wrong').watch(signal);
  await t.rejects(events[Symbol.asyncIterator]().next(), /401/);
});

// An operator publishes and the connection breaks before the reply: the
// router may have appended the change. The client says so; only where nothing
// was sent does it say that nothing has changed.
void tap.test('a lost reply to a change is unknown', async t => {
  const server = createServer(req => req.socket.destroy());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const client = createOperatorsClient({address, token: VIEWER_TOKEN});
  t.match((await client.publish(PUBLISH)).val, {kind: 'unknown'});
  t.match((await client.state()).val, {kind: 'unavailable'});
  await client.close();
  await new Promise(resolve => server.close(resolve));
  const late = createOperatorsClient({address, token: VIEWER_TOKEN});
  t.match((await late.publish(PUBLISH)).val, {kind: 'unavailable'});
  await late.close();
});

// The router stops while a publication waits for the log. The operator gets
// its outcome within the grace; a request that takes longer loses its reply,
// which the client tells as unknown.
void tap.test('a stop with a publication under way', async t => {
  let accept = (): void => {};
  let received = 0;
  const operators = await startOperators({
    publish: async (_operator, {changeId}) => {
      received++;
      if (changeId === 'c-2') return new Promise(() => {});
      await new Promise<void>(resolve => {
        accept = resolve;
      });
      return Ok({changeId, offset: 4});
    },
  });
  t.teardown(operators.close);
  const client = operators.client(PUBLISHER_TOKEN);
  const first = client.publish(PUBLISH);
  const second = client.publish({...PUBLISH, changeId: 'c-2'});
  while (received < 2) await operators.clock.advance(0);
  const stopped = operators.service.stop(1000);
  accept();
  t.match((await first).val, {offset: 4});
  await finish(operators.clock, stopped);
  t.match((await second).val, {kind: 'unknown'});
});

void tap.test('an address in use fails the start', async t => {
  const operators = await startOperators();
  t.teardown(operators.close);
  const port = Number(new URL(operators.origin).port);
  const again = startOperators({}, {listen: {ip: '127.0.0.1', port}});
  await t.rejects(again, {code: 'EADDRINUSE'});
});

void tap.test('open metrics need no token', async t => {
  const operators = await startOperators({}, {openMetrics: true});
  t.teardown(operators.close);
  const res = await request(`${operators.origin}/metrics`);
  t.equal(res.statusCode, 200);
  await res.body.dump();
});
