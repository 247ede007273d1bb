import tap from 'tap';
import type {LeaseOrder} from '@banyandrum/servers/client.js';
import {createServerClient} from '@banyandrum/servers/http-client.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import type {ManualClock} from '@banyandrum/standins/manual-clock.js';
import {createServerStandin} from '@banyandrum/standins/server.js';
import type {ServerStandin} from '@banyandrum/standins/server.js';
import {dispatchTo, FENCE, orderFor, SHARD, until} from './setup.js';

const TTL_MS = 2000;
const REPORT_MS = 5000;
const NEXT = {epoch: FENCE.epoch, sequence: FENCE.sequence + 1};

interface Scene {
  readonly clock: ManualClock;
  readonly server: ServerStandin;
  order(change?: Partial<LeaseOrder>): Promise<void>;
}

interface LongCase {
  readonly name: string;
  readonly checksFences: readonly boolean[];
  /** The request's deadline; long after the report by default. */
  readonly deadlineMs?: number;
  /** Events after the start, by time in ms. */
  readonly events: readonly (readonly [number, (s: Scene) => Promise<void>])[];
  /** Outcome of the report, and its time. */
  readonly outcome: 'done' | 'stopped';
  readonly endMs: number;
  readonly verdict: 'may-have-run' | null;
}

const renew = (s: Scene): Promise<void> => s.order();
const RENEWALS = [1500, 3000, 4500].map(at => [at, renew] as const);
const BOTH = [true, false];
const DONE = {outcome: 'done', endMs: REPORT_MS, verdict: null} as const;
const LOST = {outcome: 'stopped', verdict: 'may-have-run'} as const;

const CASES: readonly LongCase[] = [
  {name: 'renewed', checksFences: BOTH, events: RENEWALS, ...DONE},
  {
    name: 'adopted by the next leader',
    checksFences: BOTH,
    events: [
      [1500, s => s.order({fence: {epoch: 18, sequence: 1}, shards: ['7']})],
      [3000, s => s.order({fence: {epoch: 18, sequence: 1}, shards: ['7']})],
      [
        4500,
        s => s.order({fence: {epoch: 18, sequence: 2}, shards: ['7', '9']}),
      ],
    ],
    ...DONE,
  },
  {
    name: 'another shard goes',
    checksFences: BOTH,
    events: [
      [500, s => s.order({shards: ['7', '8'], fence: NEXT})],
      [1000, s => s.order({fence: {...NEXT, sequence: 9}})],
      [2500, s => s.order({fence: {...NEXT, sequence: 9}})],
      [4000, s => s.order({fence: {...NEXT, sequence: 9}})],
    ],
    ...DONE,
  },
  {
    name: 'lease not renewed',
    checksFences: [true],
    events: [[1500, renew]],
    ...LOST,
    endMs: 3500,
  },
  {
    name: 'frozen while the lease ends, with the shard granted again at the thaw',
    checksFences: [true],
    events: [
      [1000, s => s.server.change({frozen: true})],
      [2100, s => s.server.change({frozen: false})],
      [2100, s => s.order({fence: NEXT})],
      [4000, s => s.order({fence: NEXT})],
    ],
    ...LOST,
    endMs: 2100,
  },
  {
    name: 'shard taken by an order',
    checksFences: [true],
    events: [[700, s => s.order({fence: NEXT, shards: []})]],
    ...LOST,
    endMs: 700,
  },
  {
    name: 'hot key taken, although the request names another shard',
    checksFences: [true],
    events: [
      [500, s => s.order({fence: NEXT, shards: ['7', 'k:ward-7']})],
      [900, s => s.order({fence: {...NEXT, sequence: 9}})],
    ],
    ...LOST,
    endMs: 900,
  },
  {
    name: 'without fence checks, only the deadline ends it',
    checksFences: [false],
    deadlineMs: 1800,
    events: [[700, s => s.order({fence: NEXT, shards: []})]],
    outcome: 'stopped',
    verdict: null,
    endMs: 1800,
  },
];

for (const row of CASES) {
  for (const checksFences of row.checksFences) {
    const name = `${row.name} (checks fences: ${checksFences})`;
    void tap.test(`long request: ${name}`, async t => {
      // A report runs longer than a lease, which is renewed. If the server loses
      // the shard, it stops the report at once, as the next owner's requests may
      // run. The report then has no effect, and may have run for the caller.
      const scene = await start(t, checksFences);
      const {clock, server, client} = scene;
      const begun = clock.now();
      const stamp = server.stamp();
      const sent = dispatchTo(server, {method: 'POST'}, {}, clock);
      const limit = {boot: stamp.boot, ms: stamp.ms + (row.deadlineMs ?? 1e5)};
      const result = client.send(server.ref(4), {
        ...sent,
        serverDeadline: limit,
        serverStartBy: {boot: stamp.boot, ms: stamp.ms + 1},
      });
      await until(() => server.executions().length === 1);
      for (const [at, happen] of row.events) {
        await clock.advance(begun + at - clock.now());
        await happen(scene);
      }
      await clock.advance(begun + REPORT_MS - clock.now());
      await until(() => server.executions()[0]?.outcome !== 'running');
      const [{outcome, endMs} = {outcome: null, endMs: null}] =
        server.executions();
      t.equal(outcome, row.outcome);
      t.equal((endMs ?? 0) - begun, row.endMs);
      const told = await result;
      t.equal(told.err ? told.val.verdict : null, row.verdict);
    });
  }
}

async function start(t: Pick<typeof tap, 'teardown'>, checksFences: boolean) {
  const clock = createManualClock(1000);
  const client = createServerClient({clock});
  const server = await createServerStandin({
    name: 'holds-1',
    service: 'holds',
    slots: 4,
    checksFences,
    serviceMs: {kind: 'fixed', ms: REPORT_MS},
    clock,
  });
  t.teardown(() => Promise.all([client.close(), server.close()]));
  const order = async (change: Partial<LeaseOrder> = {}): Promise<void> => {
    const sent = orderFor(server, {ttlMs: TTL_MS, shards: [SHARD], ...change});
    (await client.order(server.ref(4), sent)).unwrap();
  };
  await order();
  return {clock, server, client, order};
}
