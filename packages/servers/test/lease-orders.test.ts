import tap from 'tap';
import type {LeaseOrder, ServerError} from '@banyandrum/servers/client.js';
import {createServerClient} from '@banyandrum/servers/http-client.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import type {FaultChange} from '@banyandrum/standins/server-faults.js';
import {createServerStandin} from '@banyandrum/standins/server.js';
import {createRawServer} from './raw-server.js';
import {CELL, FENCE, SHARD, orderFor, until} from './setup.js';

const TTL_MS = 2000;
const LOWER = {epoch: 16, sequence: 9};
const HIGHER = {epoch: 17, sequence: 4};

/** One step: waits, then sends an order with an echo of age `echoAge`. */
interface Step {
  readonly wait?: number;
  readonly echoAge?: number;
  readonly order?: Partial<LeaseOrder>;
  readonly shards?: readonly string[];
  readonly fenced?: LeaseOrder['fence'];
}

interface OrderCase {
  readonly name: string;
  /** Kinds of servers on which the case runs. */
  readonly checksFences: readonly boolean[];
  readonly steps: readonly Step[];
}

const BOTH = [true, false];
const held = {shards: [SHARD]};
const nothing = {shards: []};
const question = {order: {echo: null, shards: ['9']}};
const otherBoot = {order: {echo: {boot: 'other', ms: 1e9}}};

const ORDER_CASES: readonly OrderCase[] = [
  {name: 'grants', checksFences: BOTH, steps: [held]},
  {
    name: 'no echo grants nothing',
    checksFences: BOTH,
    steps: [{...question, ...nothing}],
  },
  {
    name: 'no echo returns what is held and changes nothing',
    checksFences: BOTH,
    steps: [held, {...question, ...held}, {...question, ...held}],
  },
  {
    name: 'echo of another run grants nothing',
    checksFences: BOTH,
    steps: [{...otherBoot, ...nothing}],
  },
  {
    name: 'renewed from the echo on',
    checksFences: BOTH,
    steps: [held, {wait: 1500, ...held}, {wait: 1999, ...question, ...held}],
  },
  {
    name: 'over after the TTL',
    checksFences: BOTH,
    steps: [held, {wait: 2000, ...question, ...nothing}],
  },
  {
    name: 'late order extends nothing',
    checksFences: BOTH,
    steps: [
      held,
      {wait: 1500, echoAge: 1500, ...held},
      {wait: 500, ...question, ...nothing},
    ],
  },
  {
    name: 'order whose echo has lapsed grants nothing',
    checksFences: BOTH,
    steps: [{echoAge: 2000, ...nothing}],
  },
  {
    name: 'shards that are not listed are released',
    checksFences: BOTH,
    steps: [held, {order: {fence: HIGHER, shards: ['8']}, shards: ['8']}],
  },
  {
    name: 'lower fence refused by a server that checks',
    checksFences: [true],
    steps: [held, {order: {fence: LOWER, shards: ['8']}, fenced: FENCE}],
  },
  {
    name: 'lower fence refused even after the lease is over',
    checksFences: [true],
    steps: [held, {wait: 2000, order: {fence: LOWER}, fenced: FENCE}],
  },
  {
    name: 'lower fence accepted by a server that does not check',
    checksFences: [false],
    steps: [held, {order: {fence: LOWER, shards: ['8']}, shards: ['8']}],
  },
];

for (const {name, checksFences, steps} of ORDER_CASES) {
  for (const checks of checksFences) {
    void tap.test(`${name} (checks fences: ${checks})`, async t => {
      const {clock, server, client} = await start(t, checks);
      for (const step of steps) {
        await clock.advance(step.wait ?? 0);
        const {boot, ms} = server.stamp();
        const echo = {boot, ms: ms - (step.echoAge ?? 0)};
        const order = orderFor(server, {ttlMs: TTL_MS, echo, ...step.order});
        const result = await client.order(server.ref(2), order);
        if (step.fenced) {
          t.match(result.val, {kind: 'fenced', fence: step.fenced});
        } else {
          const ack = result.unwrap();
          t.same(ack.shards, step.shards);
          t.same(ack.stamp, server.stamp());
        }
      }
    });
  }
}

interface LossCase {
  readonly name: string;
  readonly fault: FaultChange;
  readonly kind: ServerError['kind'];
  /** Shards that the server holds afterwards. */
  readonly shards: readonly string[];
  /** Whether the order times out. */
  readonly timesOut: boolean;
}

const LOSS_CASES: readonly LossCase[] = [
  {
    name: 'order lost',
    fault: {orders: 'lost'},
    kind: 'unknown',
    shards: [],
    timesOut: true,
  },
  {
    name: 'answer lost',
    fault: {orders: 'unanswered'},
    kind: 'unknown',
    shards: [SHARD],
    timesOut: true,
  },
  {
    name: 'order delivered after the timeout, within its echo',
    fault: {orderDelayMs: 501},
    kind: 'unknown',
    shards: [SHARD],
    timesOut: true,
  },
  {
    name: 'order delivered after its echo has lapsed',
    fault: {orderDelayMs: TTL_MS},
    kind: 'unknown',
    shards: [],
    timesOut: true,
  },
  {
    name: 'server frozen',
    fault: {frozen: true},
    kind: 'unknown',
    shards: [],
    timesOut: true,
  },
  {
    name: 'server gone',
    fault: {die: true},
    kind: 'unreachable',
    shards: [],
    timesOut: false,
  },
];

for (const {name, fault, kind, shards, timesOut} of LOSS_CASES) {
  void tap.test(`${name}: ${kind}`, async t => {
    const {clock, server, client} = await start(t, false);
    await server.change(fault);
    const order = orderFor(server, {ttlMs: TTL_MS});
    const answer = client.order(server.ref(2), order);
    if (timesOut) {
      await until(() => server.stats().received === 1);
      await clock.advance(500);
    }
    t.match((await answer).val, {kind});
    await clock.advance((fault.orderDelayMs ?? 500) - 500);
    t.same(
      server.held().flatMap(lease => lease.shards),
      shards,
    );
  });
}

void tap.test('a connection is not reused after a timeout', async t => {
  // A network device dropped the state of all open connections. If the next
  // renewal used one of them, the lease of a healthy server would expire.
  const {clock, server, client} = await start(t, true);
  const ref = server.ref(4);
  await server.change({orderDelayMs: 1});
  const both = [1, 2].map(() => client.order(ref, orderFor(server)));
  await until(() => server.stats().received === 2);
  await clock.advance(1);
  for (const result of await Promise.all(both)) t.ok(result.ok);
  await server.change({orderDelayMs: 0, silence: true});
  await clock.advance(1);

  const lost = client.order(ref, orderFor(server));
  await until(() => server.stats().received === 3);
  await clock.advance(500);
  t.match((await lost).val, {kind: 'unknown'});
  const next = [1, 2].map(() => client.order(ref, orderFor(server)));
  for (const result of await Promise.all(next)) t.ok(result.ok, 'new ones');
});

void tap.test('a cancelled order, and one that may not be written', async t => {
  const {server, client} = await start(t, true);
  const ref = server.ref(2);
  await server.change({orders: 'lost'});
  const cancel = new AbortController();
  const lost = client.order(ref, orderFor(server), cancel.signal);
  await until(() => server.stats().received === 1);
  cancel.abort();
  t.match((await lost).val, {kind: 'unknown'});

  await server.change({orders: 'normal'});
  const order = orderFor(server);
  const refused = await client.order(ref, order, undefined, () => false);
  t.match(refused.val, {kind: 'unreachable'});
  t.equal(server.stats().received, 1, 'nothing was written');
  t.match((await client.order(ref, order)).unwrap(), {fence: FENCE});
});

const JSON_HEAD = 'HTTP/1.1 200 OK\r\ncontent-length: ';
const ANSWER_CASES = [
  {name: 'no JSON', bytes: `${JSON_HEAD}2\r\n\r\nhi`, kind: 'invalid'},
  {name: 'no ack', bytes: `${JSON_HEAD}2\r\n\r\n{}`, kind: 'invalid'},
  {name: 'cut', bytes: `${JSON_HEAD}9\r\n\r\n{}`, kind: 'unknown'},
  {
    name: 'fenced without a fence',
    bytes: 'HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}',
    kind: 'invalid',
  },
  {
    name: 'error',
    bytes: 'HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n',
    kind: 'invalid',
  },
];

for (const {name, bytes, kind} of ANSWER_CASES) {
  void tap.test(`answer to an order: ${name}: ${kind}`, async t => {
    const client = createServerClient({clock: createManualClock()});
    const server = await createRawServer(socket => socket.end(bytes));
    t.teardown(() => Promise.all([client.close(), server.close()]));
    const order = {cell: CELL, fence: FENCE, ttlMs: 1, echo: null, shards: []};
    t.match((await client.order(server.ref, order)).val, {kind});
  });
}

void tap.test('load reports: correct, outdated, wrong', async t => {
  const {clock, server, client} = await start(t, true);
  const ask = async () => (await client.load(server.ref(2))).unwrap();
  t.same(await ask(), {health: 'ok', busy: 0, slots: 4, queued: 0});
  await server.change({loadLagMs: 5000, leaving: true});
  t.match(await ask(), {health: 'ok'}, 'lags');
  await clock.advance(5000);
  t.match(await ask(), {health: 'leaving'});
  await server.change({load: {busy: 4}});
  t.match(await ask(), {health: 'leaving', busy: 4}, 'lies');
});

async function start(t: Tap, checksFences: boolean) {
  const clock = createManualClock(1000);
  const client = createServerClient({clock});
  const server = await createServerStandin({
    name: 'holds-1',
    service: 'holds',
    slots: 4,
    checksFences,
    clock,
  });
  t.teardown(() => Promise.all([client.close(), server.close()]));
  return {clock, server, client};
}

type Tap = Pick<typeof tap, 'teardown'>;
