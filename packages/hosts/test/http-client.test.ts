import tap from 'tap';
import type {Host} from '@banyandrum/hosts/client.js';
import {createHostListClient} from '@banyandrum/hosts/http-client.js';
import {createHostListStandin} from '@banyandrum/standins/host-list.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const HOST: Host = {
  name: 'server-1',
  role: 'server',
  address: '127.0.0.1:7001',
  dataCentre: 'naroda',
  state: 'live',
};

void tap.test('an update shows after the lag', async t => {
  const clock = createManualClock();
  const list = await createHostListStandin({clock, hosts: [HOST], lagMs: 500});
  const client = createHostListClient({
    address: list.address,
    timeoutMs: 5000,
  });
  list.set({...HOST, state: 'leaving'});
  await clock.advance(499);
  t.same((await client.list()).unwrap(), [HOST]);
  await clock.advance(1);
  t.same((await client.list()).unwrap(), [{...HOST, state: 'leaving'}]);
  await client.close();
  await list.close();
});
