import tap from 'tap';
import {startRouter} from '@banyandrum/router/start-router.js';
import {setLogLevel} from '@banyandrum/base/logger.js';
import {request} from 'undici';
import {publishFirst, settingsOf, startPlatform} from './kit.js';

setLogLevel('error');

// A caller has a hold in flight, at a server that takes its time, when the
// router is told to stop. The router must answer that hold before it ends.
// A broker that handles SIGTERM by itself ended the process at once, and the
// caller saw its connection cut, with the hold recorded or not.
void tap.test('a planned stop interrupts no request in flight', async t => {
  const platform = await startPlatform({slowMs: 700});
  t.teardown(() => platform.close());
  const handlers = process.listenerCount('SIGTERM');
  const router = await startRouter(settingsOf(platform, 'router-1'));
  t.equal(process.listenerCount('SIGTERM'), handlers, 'no handler of its own');
  platform.list('router-1', router.peers);
  await publishFirst(platform, router.operators);

  const inFlight = request(`http://${router.callers}/v1/holds/ward-7`, {
    method: 'POST',
    headers: {'banyandrum-deadline-ms': '20000'},
    body: 'a hold',
  });
  await platform.started(1);
  const stopped = router.stop(3_000);
  const answer = await inFlight;
  t.equal(answer.statusCode, 201, await answer.body.text());
  await stopped;
  await t.rejects(request(`http://${router.callers}/readyz`));
});
