import tap, {type Test} from 'tap';
import {createLogClient} from '@banyandrum/log/http-client.js';
import {createLogStandin} from '@banyandrum/standins/log.js';
import type {LogClient} from '@banyandrum/log/client.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

const TIMEOUT_MS = 1000;

void tap.test('large records come in smaller pages', async t => {
  // A reader catches up over records that together exceed what it takes in
  // one answer. It must get them page by page: were the whole page refused
  // each time, the reader would be stuck there for good.
  const {client} = await start(t, {maxAnswerBytes: 5000});
  for (let i = 0; i < 8; i++) await client.append(new Uint8Array(1000));
  const page = await client.read({from: 1, maxRecords: 8, waitMs: 0});
  t.same(
    page.unwrap().records.map(({offset}) => offset),
    [1, 2],
  );
  t.equal(page.unwrap().end, 9);
});

void tap.test('an append may take effect after its time-out', async t => {
  // The caller hears `unknown` when the time is up. A read right then shows
  // nothing; the log applies the record later all the same. So an absent
  // record is no proof, and whoever appends again must bear the first one.
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

void tap.test('a slow log is read with more patience', async t => {
  // The log answers after three time-outs. A read that allows for it gets the
  // page as of its arrival, which is why its age counts from the sending.
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
  /** Resolves with the first request's arrival at the log. */
  readonly arrival: Promise<void>;
}

async function start(
  t: Test,
  options: {readonly maxAnswerBytes?: number},
): Promise<Fixture> {
  const clock = createManualClock();
  let onRequest = (): void => {};
  const arrival = new Promise<void>(resolve => {
    // The handler goes on after this call; let it get to its timer.
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
