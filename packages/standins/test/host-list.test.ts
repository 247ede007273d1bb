import tap from 'tap';
import {request} from 'undici';
import type {Host} from '@banyandrum/hosts/client.js';
import {createHostListStandin} from '@banyandrum/standins/host-list.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const HOST: Host = {
  name: 'server-1',
  role: 'server',
  address: '127.0.0.1:7001',
  dataCentre: 'naroda',
  state: 'live',
};

void tap.test('updates show after the lag, each on its own', async t => {
  const clock = createManualClock();
  const list = await createHostListStandin({clock, hosts: [HOST], lagMs: 500});
  t.teardown(() => list.close());
  const leaving: Host = {...HOST, state: 'leaving'};
  list.set(leaving);
  await clock.advance(300);
  const put = await request(`http://${list.controlAddress}/standin/hosts`, {
    method: 'PUT',
    body: JSON.stringify({hosts: []}),
  });
  t.equal(put.statusCode, 200);
  await put.body.dump();
  t.same(list.visible(), [HOST]);
  await clock.advance(200);
  t.same(list.visible(), [leaving]);
  await clock.advance(300);
  t.same(list.visible(), []);
});
