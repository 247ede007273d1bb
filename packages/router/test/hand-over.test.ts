import {setLogLevel} from '@banyandrum/base/logger.js';
import {startRouter} from '@banyandrum/router/start-router.js';
import tap from 'tap';
import {request} from 'undici';
import {publishFirst, settingsOf, startPlatform, untilReady} from './kit.js';

setLogLevel('error');

// The stand-ins' timers keep the process for so long after the test.
const LONG_MS = 20_000;
tap.setTimeout(90_000);

// A caller's long request is in flight when its cell's leader is told to
// stop. Another caller asks for another key meanwhile. The cell must have a
// leader again while the long request still runs: where the hand-over waited
// for it, every other caller of the cell waited too.
void tap.test('a stop hands over before a long request ends', async t => {
  const platform = await startPlatform({slowMs: LONG_MS});
  t.teardown(() => platform.close());
  const first = await startRouter(settingsOf(platform, 'router-1'));
  platform.list('router-1', first.peers);
  await publishFirst(platform, first.operators);
  await untilReady(first.callers);
  const callers = new AbortController();
  const ask = (address: string, key: string): Promise<unknown> =>
    request(`http://${address}/v1/holds/${key}`, {
      method: 'POST',
      headers: {'banyandrum-deadline-ms': '25000'},
      body: 'a hold',
      signal: callers.signal,
    }).catch(() => null);
  const long = ask(first.callers, 'ward-7');
  await platform.started(1);

  const second = await startRouter(settingsOf(platform, 'router-2'));
  platform.list('router-2', second.peers);
  await untilReady(second.callers);
  const standbyOf = (): string | undefined =>
    first.store.current().views.get('holds/0')?.standby?.host;
  while (standbyOf() !== 'router-2') {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  const stopped = first.stop(60_000);
  const other = ask(second.callers, 'ward-8');
  await platform.started(2);
  const [a, b] = platform.servers.flatMap(server => server.executions());
  t.equal(a?.outcome, 'running');
  t.equal(b?.outcome, 'running');

  callers.abort();
  await Promise.all([long, other, stopped]);
  await second.stop(2_000);
});
