import tap from 'tap';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {digestToken} from '@banyandrum/base/access.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createQuarantinePage} from '@banyandrum/gateway/quarantine-page.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const CONTENTS = {exact: 'e', anyCaller: 'c', anyQuery: 'q'};
const TOKENS = [
  {operator: 'ayesha', role: 'publisher', sha256: digestToken('p')},
  {operator: 'noor', role: 'viewer', sha256: digestToken('v')},
] as const;

interface Case {
  readonly token: string | null;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  readonly status: number;
}

const CLEAR = {method: 'POST', path: '/quarantine/clear'} as const;
const LIST = {method: 'GET', path: '/quarantine'} as const;
const REASON_JSON = '"reason":"fixed"';

// The order matters: the first accepted clear changes the later responses.
const CASES: readonly Case[] = [
  {token: null, ...LIST, status: 401},
  {token: 'x', ...LIST, status: 401},
  {token: 'v', ...LIST, status: 200},
  {token: 'v', ...CLEAR, body: `{"content":"e",${REASON_JSON}}`, status: 403},
  {token: 'p', ...CLEAR, body: '{"content":"e"}', status: 400},
  {token: 'p', ...CLEAR, body: '{"content":"e","reason":" "}', status: 400},
  {token: 'p', ...CLEAR, body: 'e', status: 400},
  {token: 'p', ...CLEAR, body: ' '.repeat(5_000), status: 413},
  {token: 'p', ...CLEAR, body: `{"content":"x",${REASON_JSON}}`, status: 404},
  {token: 'p', ...CLEAR, body: `{"content":"e",${REASON_JSON}}`, status: 200},
  {token: 'p', ...CLEAR, body: `{"content":"e",${REASON_JSON}}`, status: 404},
  {token: 'p', method: 'GET', path: '/metrics', status: 404},
];

void tap.test('operators list and clear quarantined requests', async t => {
  const suspects = createSuspects(createManualClock(), () => undefined);
  const struck = {contents: CONTENTS, caller: 'c', service: 's', route: 'r'};
  for (const server of ['s1', 's2', 's3'])
    suspects.addStrike(struck, server, true);
  suspects.applyQuarantineRules();
  const page = createQuarantinePage(suspects, TOKENS);
  const server = createServer((req, res) => {
    if (!page(req, res)) res.writeHead(404).end();
  }).listen(0, '127.0.0.1');
  await new Promise(resolve => server.once('listening', resolve));
  const {port} = server.address() as AddressInfo;
  for (const {token, method, path, body, status} of CASES) {
    const res = await fetch(`http://127.0.0.1:${port}${path}`, {
      ...{method, body: body ?? null},
      headers: token === null ? {} : {authorization: `Bearer ${token}`},
    });
    const name = `${method} ${path} ${body ?? ''} by ${token}`;
    t.equal(res.status, status, name.slice(0, 80));
    const responseText = await res.text();
    if (status === 200 && method === 'GET') {
      t.match(JSON.parse(responseText).requests[0], {
        content: 'e',
        scope: 'exact',
      });
    }
  }
  t.equal(suspects.standingOf(CONTENTS), 'unknown');
  t.match(suspects.get('e')!.cleared, {by: 'ayesha', reason: 'fixed'});
  server.closeAllConnections();
  server.close();
});
