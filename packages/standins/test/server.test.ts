import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {connect} from 'node:net';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import tap from 'tap';
import {createServiceTimes} from '@banyandrum/standins/server-service-time.js';
import type {ServiceTime} from '@banyandrum/standins/server-service-time.js';
import {createServerStandin} from '@banyandrum/standins/server.js';

const RUN_SERVERS = fileURLToPath(
  import.meta.resolve('@banyandrum/standins/run-servers.js'),
);

const TIMES: readonly ServiceTime[] = [
  {kind: 'fixed', ms: 10},
  {kind: 'uniform', minMs: 5, maxMs: 15},
  {kind: 'exponential', meanMs: 10},
  {kind: 'lognormal', medianMs: 9.5, sigma: 0.32},
];

for (const time of TIMES) {
  void tap.test(`service times: ${time.kind}`, async t => {
    const draw = createServiceTimes(time, 7);
    const again = createServiceTimes(time, 7);
    let sum = 0;
    for (let count = 0; count < 10_000; count++) {
      const ms = draw();
      if (ms !== again()) t.fail('the same seed gave another sequence');
      sum += ms;
    }
    const mean = sum / 10_000;
    t.ok(mean > 9.5 && mean < 10.5, `mean of about 10 ms: ${mean}`);
  });
}

void tap.test('many servers in one process, until SIGTERM', async t => {
  const flags = ['--service', 'rounds', '--count', '3', '--slots', '2'];
  const child = spawn(process.execPath, [RUN_SERVERS, ...flags]);
  t.teardown(() => child.kill('SIGKILL'));
  const [line] = await once(createInterface(child.stdout), 'line');
  const {servers} = JSON.parse(line as string);
  t.equal(servers.length, 3);
  for (const {address, name} of servers) {
    const load = await fetch(`http://${address}/control/v1/load`);
    t.match(await load.json(), {health: 'ok', slots: 2}, name);
  }
  child.kill('SIGTERM');
  const [code] = await once(child, 'exit');
  t.equal(code, 0);
});

void tap.test('faults and executions over HTTP', async t => {
  const server = await createServerStandin({
    name: 'holds-1',
    service: 'holds',
    slots: 1,
    checksFences: true,
  });
  t.teardown(() => server.close());
  const url = `http://${server.address}/standin`;
  const post = (body: string) => fetch(`${url}/faults`, {method: 'POST', body});
  t.equal((await post('{"frozen": "yes"}')).status, 400);
  t.equal((await post('{"frozen": true}')).status, 200);
  const load = fetch(`http://${server.address}/control/v1/load`);
  const executions = await fetch(`${url}/executions`);
  t.same(await executions.json(), {executions: []}, 'while frozen');
  await post('{"frozen": false, "leaving": true}');
  t.match(await (await load).json(), {health: 'leaving'});

  const {boot} = server.stats();
  await server.change({die: true, restartAfterMs: 0});
  t.not(server.stats().boot, boot, 'another run');
  // Not by `fetch`, which might use a connection that the restart has broken.
  const socket = connect(Number(server.address.split(':')[1]), '127.0.0.1');
  await once(socket, 'connect');
  socket.destroy();
});
