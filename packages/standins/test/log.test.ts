import tap from 'tap';
import {request} from 'undici';
import {createLogClient} from '@banyandrum/log/http-client.js';
import {createLogStandin, type LogStandin} from '@banyandrum/standins/log.js';

const STREAM = 'main';

void tap.test('a door is cut while the log stays reachable', async t => {
  const log = await createLogStandin();
  const door = (await control(log, 'doors', {})).body as {address: string};
  const inside = clientOf(log.address);
  const outside = clientOf(door.address);
  t.teardown(async () => {
    await Promise.all([inside.close(), outside.close()]);
    await log.close();
  });
  t.equal((await outside.append(Buffer.from('a'))).val, 1);
  const cut = await control(log, `doors/${door.address}`, {down: 'refuse'});
  t.equal(cut.status, 200);
  t.match((await outside.append(Buffer.from('b'))).val, {kind: 'unavailable'});
  t.equal((await inside.append(Buffer.from('c'))).val, 2);
});

void tap.test('faults change from outside, also while down', async t => {
  const log = await createLogStandin();
  t.teardown(() => log.close());
  await control(log, 'faults', {down: 'refuse', keepRecords: 2});
  for (let i = 0; i < 5; i++) log.append(STREAM, Buffer.from([i]));
  t.same(
    log.records(STREAM).map(({offset}) => offset),
    [4, 5],
  );
  const healed = await control(log, 'faults', {down: 'none'});
  t.match(healed.body, {down: 'none', keepRecords: 2});
  for (const junk of [{down: 'sideways'}, {unheard: 1}, 7]) {
    t.equal((await control(log, 'faults', junk)).status, 400);
  }
  t.match(log.faults(), {down: 'none', keepRecords: 2});
});

function clientOf(address: string): ReturnType<typeof createLogClient> {
  return createLogClient({
    address,
    stream: STREAM,
    timeoutMs: 5000,
    maxRecordBytes: 1000,
  });
}

async function control(
  log: LogStandin,
  path: string,
  change: unknown,
): Promise<{readonly status: number; readonly body: unknown}> {
  const url = `http://${log.controlAddress}/standin/${path}`;
  const res = await request(url, {
    method: 'POST',
    body: JSON.stringify(change),
  });
  return {status: res.statusCode, body: await res.body.json()};
}
