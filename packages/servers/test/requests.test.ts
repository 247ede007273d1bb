import tap from 'tap';
import {createClock} from '@banyandrum/base/clock.js';
import {createServerClient} from '@banyandrum/servers/http-client.js';
import {createServerStandin} from '@banyandrum/standins/server.js';
import {patternedBytes} from '@banyandrum/standins/server-bytes.js';
import {dispatchTo, inPieces, orderFor, readAll} from './setup.js';

const MEGABYTE = 1024 * 1024;

void tap.test('whole answers, small and streamed, both ways', async t => {
  const clock = createClock();
  const client = createServerClient({clock});
  const server = await createServerStandin({
    name: 'holds-1',
    service: 'holds',
    slots: 4,
    checksFences: true,
  });
  t.teardown(() => Promise.all([client.close(), server.close()]));
  const ref = server.ref(4);
  (await client.order(ref, orderFor(server))).unwrap();

  const small = patternedBytes('r1', 'ward-7', 1000);
  const large = patternedBytes('r1', 'ward-7', 3 * MEGABYTE);
  const cases = [
    {name: 'stored', req: {method: 'POST', body: small}, status: 201},
    {name: 'replaced', req: {method: 'PUT', body: small}, status: 200},
    {name: 'shown', req: {method: 'GET'}, status: 200},
    {
      name: 'small echo',
      req: {method: 'POST', path: '/echo', body: small},
      status: 200,
      answer: small,
      isWhole: true,
    },
    {
      name: 'streamed echo',
      req: {method: 'POST', path: '/echo', body: inPieces(large, 50_000)},
      status: 200,
      answer: large,
    },
    {
      name: 'small bytes',
      req: {path: '/bytes?n=1000'},
      status: 200,
      answer: small,
      isWhole: true,
    },
    {
      name: 'many bytes',
      req: {path: `/bytes?n=${3 * MEGABYTE}`},
      status: 200,
      answer: large,
    },
    {name: 'unicode key', req: {key: 'વોર્ડ/7 %'}, status: 200},
    {name: 'HEAD', req: {method: 'HEAD'}, status: 405},
  ];
  for (const {name, req, status, answer, isWhole} of cases) {
    const result = await client.send(ref, dispatchTo(server, req));
    const {status: got, body} = result.unwrap();
    t.equal(got, status, name);
    if (isWhole) t.ok(body instanceof Uint8Array, `${name}: one piece`);
    const bytes = await readAll(body);
    if (answer) t.ok(bytes.equals(answer), `${name}: content`);
  }
});
