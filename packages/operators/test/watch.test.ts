import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import tap from 'tap';
import {createOperatorsClient} from '@banyandrum/operators/client.js';
import type {WatchEvent} from '@banyandrum/operators/messages.js';
import {PUBLISH, VIEWER_TOKEN, finish, startOperators} from './fixture.js';

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
