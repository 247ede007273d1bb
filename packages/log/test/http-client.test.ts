import tap, {type Test} from 'tap';
import {createLogClient} from '@banyandrum/log/http-client.js';
import {createLogStandin} from '@banyandrum/standins/log.js';
import type {LogClient} from '@banyandrum/log/client.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

const TIMEOUT_MS = 1000;

void tap.test('large records are read in smaller pages', async t => {
  // Guards against a reader that never catches up, because the records together
  // exceed the maximum size of a response.
  const {client} = await start(t, {maxAnswerBytes: 5000});
  for (let i = 0; i < 8; i++) await client.append(new Uint8Array(1000));
  const page = await client.read({from: 1, maxRecords: 8, waitMs: 0});
  t.same(
    page.unwrap().records.map(({offset}) => offset),
    [1, 2],
  );
  t.equal(page.unwrap().end, 9);
});

void tap.test('an append may take effect after its timeout', async t => {
  // A read after the timeout doesn't show the record, but the log applies it
  // later. A caller that appends again must tolerate both records.
  const {client, clock, log, arrival} = await start(t, {});
  await log.setFaults({applyDelayMs: 2 * TIMEOUT_MS});
  const appending = client.append(new Uint8Array(1));
  await arrival;
  await clock.advance(TIMEOUT_MS);
  t.match((await appending).val, {kind: 'unknown'});
  t.equal(log.records('main').length, 0);
  await clock.advance(TIMEOUT_MS);
  t.equal(log.records('main').length, 1);
});

void tap.test('a slow log is read with a longer timeout', async t => {
  // The page is as of the arrival of the request, so its age counts from when
  // the request was sent.
  const {client, clock, log, arrival} = await start(t, {});
  await log.setFaults({delayMs: 3 * TIMEOUT_MS});
  const reading = client.read({
    from: 1,
    maxRecords: 8,
    waitMs: 0,
    timeoutMs: 4 * TIMEOUT_MS,
  });
  await arrival;
  log.append('main', new Uint8Array(1));
  await clock.advance(3 * TIMEOUT_MS);
  t.equal((await reading).unwrap().end, 1);
});

interface Fixture {
  readonly client: LogClient;
  readonly clock: ManualClock;
  readonly log: Awaited<ReturnType<typeof createLogStandin>>;
  /** Resolves once the first request has arrived at the log. */
  readonly arrival: Promise<void>;
}

async function start(
  t: Test,
  options: {readonly maxAnswerBytes?: number},
): Promise<Fixture> {
  const clock = createManualClock();
  let onRequest = (): void => {};
  const arrival = new Promise<void>(resolve => {
    // The handler sets its timer only after this call returns.
    onRequest = () => setImmediate(resolve);
  });
  const log = await createLogStandin({clock, onRequest: () => onRequest()});
  const client = createLogClient({
    address: log.address,
    stream: 'main',
    timeoutMs: TIMEOUT_MS,
    maxRecordBytes: 1000,
    clock,
    ...options,
  });
  t.teardown(async () => {
    await client.close();
    await log.close();
  });
  return {client, clock, log, arrival};
}
