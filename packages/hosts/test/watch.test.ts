import tap from 'tap';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {Host, HostListClient} from '@banyandrum/hosts/client.js';
import {createHostWatch} from '@banyandrum/hosts/watch.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const HOST: Host = {
  name: 'server-1',
  role: 'server',
  address: '127.0.0.1:7001',
  dataCentre: 'naroda',
  state: 'live',
};
const OTHER: Host = {...HOST, name: 'server-2'};
const LEAVING: Host = {...HOST, state: 'leaving'};

void tap.test('a watch keeps the last list during failures', async t => {
  // The age counts from when the poll was sent. Only changes are reported, and
  // a different order of the entries is none.
  const clock = createManualClock();
  const answers = [
    Ok([HOST, OTHER]),
    Ok([OTHER, HOST]),
    Err({detail: 'down'}),
    Ok([LEAVING, OTHER]),
  ];
  const client: HostListClient = {
    list: () =>
      new Promise(resolve => {
        const answer = answers.shift();
        if (answer !== undefined) clock.after(10, () => resolve(answer));
      }),
    close: () => Promise.resolve(),
  };
  const log = createSilentLogger();
  const random = (): number => 0.5;
  const watch = createHostWatch({client, pollMs: 90, clock, log, random});
  const seen: (readonly Host[])[] = [];
  watch.subscribe(hosts => seen.push(hosts));
  t.same([watch.current(), watch.ageMs()], [null, Infinity]);

  const stop = new AbortController();
  void watch.run(stop.signal);
  t.teardown(() => stop.abort());
  await clock.advance(10);
  t.equal(watch.ageMs(), 10);
  await clock.advance(200);
  t.same([seen.length, watch.ageMs()], [1, 110]);
  t.same(watch.current(), [HOST, OTHER]);
  await clock.advance(100);
  t.same([seen.length, watch.ageMs()], [2, 10]);
  t.same(watch.current(), [LEAVING, OTHER]);
});
