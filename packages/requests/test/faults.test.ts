import tap from 'tap';
import {failure, type FailureCode} from '@banyandrum/base/failure.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {ServiceRequest} from '@banyandrum/base/request.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {View} from '@banyandrum/config/state.js';
import {createEntry} from '@banyandrum/requests/entry.js';
import {
  createLeaderQueues,
  type LeaderQueues,
} from '@banyandrum/requests/leader-queues.js';
import type {ServerClient} from '@banyandrum/servers/client.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {
  ANSWER,
  fakeCell,
  request,
  router,
  RULES,
  server,
  told,
  watch,
  type FakeCell,
  type Outcome,
} from './fakes.js';
import {createRandom} from './load.js';

const REQUESTS = 150;
const RUNS = 12;

/** Possible outcomes of a request at a server. */
type Fate = 'run' | 'run-lost' | 'lost' | 'unreached' | FailureCode;

const FATES: readonly Fate[] = [
  ...Array<Fate>(20).fill('run'),
  'run-lost',
  'lost',
  'unreached',
  'overloaded',
  'fenced',
  'deadline',
];

/** Servers that fail at random and count what they executed. */
function faultyClient(
  clock: ManualClock,
  random: () => number,
  executions: Map<string, number>,
): Pick<ServerClient, 'send'> {
  const pause = (): Promise<void> =>
    new Promise(resolve => clock.after(random() * 60, resolve));
  return {
    async send(_, dispatch) {
      const fate = FATES[Math.floor(random() * FATES.length)] as Fate;
      if (random() < 0.5) await pause();
      if (fate === 'unreached') {
        return Err(failure('not-run', 'connection-lost', 'unreached'));
      }
      if (!dispatch.mayWrite()) {
        return Err(failure('not-run', 'moved', 'held back'));
      }
      const {id, signal} = dispatch.req;
      await pause();
      if (fate === 'lost' || signal.aborted) {
        return Err(failure('may-have-run', 'connection-lost', 'lost'));
      }
      if (fate !== 'run' && fate !== 'run-lost') {
        return Err(failure('not-run', fate, 'refused', 20));
      }
      executions.set(id, (executions.get(id) ?? 0) + 1);
      if (fate === 'run') return Ok(ANSWER);
      return Err(failure('may-have-run', 'connection-lost', 'answer lost'));
    },
  };
}

interface World {
  readonly clock: ManualClock;
  readonly random: () => number;
  readonly executions: ReadonlyMap<string, number>;
  /** Sends a request through the entry of router `a`. */
  ask(req: ServiceRequest): Promise<Outcome>;
  /** Causes one random temporary fault of the routers. */
  disturb(): void;
}

/** Two routers that lead the cell in turn; the entry is at `a`. */
function createWorld(seed: number): World {
  const clock = createManualClock();
  const random = createRandom(seed);
  const executions = new Map<string, number>();
  const client = faultyClient(clock, random, executions);
  const selves = [router('a'), router('b')] as const;
  const queues = selves.map(() =>
    createLeaderQueues({client, rules: () => RULES, clock}),
  ) as [LeaderQueues, LeaderQueues];
  const listeners = new Set<() => void>();
  let leader = 0;
  let view = viewOf(1, selves[0]);
  let led = startLeading(queues[0], 1);

  const takeOver = (): void => {
    const old = queues[leader] as LeaderQueues;
    leader = 1 - leader;
    void old.stop('holds/0');
    led.acting = false;
    view = viewOf(view.epoch + 1, selves[leader] as Incarnation);
    led = startLeading(queues[leader] as LeaderQueues, view.epoch);
    for (const listener of listeners) listener();
  };

  const entry = createEntry({
    self: selves[0],
    topology: () => ({shards: 16, cells: 1}),
    leaderOf: () => view,
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    localLeader: queues[0].queueOf,
    async send(_, req) {
      if (random() < 0.1) {
        return Err(failure('not-run', 'connection-lost', 'no stream'));
      }
      const queue = queues[1].queueOf('holds/0');
      if (queue === null) return Err(failure('not-run', 'moved', ''));
      const outcome = await queue.handle(req);
      if (random() > 0.1) return outcome;
      return Err(failure('may-have-run', 'connection-lost', 'stream broke'));
    },
    rules: () => RULES,
    clock,
    random,
  });

  const shard = (): string => String(Math.floor(random() * 16));
  const closeGates = (): void => {
    for (let i = 0; i < 8; i++) void queues[leader]?.close('holds/0', shard());
  };
  const faults: readonly (() => void)[] = [
    takeOver,
    () => (led.acting = false),
    () => (led.leaseEnd = clock.now() + random() * 100),
    closeGates,
  ];
  const calm = (): void => {
    led.acting = true;
    led.leaseEnd = Infinity;
    for (let i = 0; i < 16; i++) queues[leader]?.open('holds/0', String(i));
  };

  return {
    clock,
    random,
    executions,
    ask: entry.handle,
    disturb() {
      faults[Math.floor(random() * faults.length)]?.();
      clock.after(random() * 400, calm);
    },
  };
}

function startLeading(queues: LeaderQueues, epoch: number): FakeCell {
  const led = {...fakeCell(server('s1', 4)), epoch};
  queues.lead(led);
  return led;
}

function viewOf(epoch: number, leader: Incarnation): View {
  return {cell: 'holds/0', epoch, leader, standby: null, unsettled: []};
}

void tap.test('verdicts hold under random faults', async t => {
  // Leaders change, pause and lose leases; servers refuse, disappear or lose
  // answers; streams break on both sides of the leader. A request that must not
  // be repeated runs at most once, one reported as `not-run` did not run, one
  // with an answer ran, and every request ends.
  const seen = new Map<string, number>();
  for (let seed = 1; seed <= RUNS; seed++) {
    const world = createWorld(seed);
    const asked = [];
    for (let i = 0; i < REQUESTS; i++) {
      const {random, clock} = world;
      const caller = new AbortController();
      const req = request({
        key: `k${Math.floor(random() * 40)}`,
        caller: `c${Math.floor(random() * 5)}`,
        precedence: Math.floor(random() * 3),
        once: random() < 0.5,
        deadline: clock.now() + 200 + random() * 1500,
        signal: caller.signal,
      });
      asked.push({req, seen: watch(world.ask(req))});
      if (random() < 0.1) world.disturb();
      if (random() < 0.05) clock.after(random() * 200, () => caller.abort());
      await clock.advance(random() * 60);
    }
    await world.clock.advance(7000);
    for (const {req, seen: last} of asked) {
      const runs = world.executions.get(req.id) ?? 0;
      const outcome = told(last);
      seen.set(outcome, (seen.get(outcome) ?? 0) + 1);
      const what = `seed ${seed}, ${req.id}: ${outcome}, ${runs} runs`;
      if (outcome === 'waiting') t.fail(what);
      if (req.once && runs > 1) t.fail(what);
      if (outcome.startsWith('not-run') && runs > 0) t.fail(what);
      if (outcome === 'ok' && runs === 0) t.fail(what);
    }
  }
  t.comment([...seen].map(([outcome, n]) => `${outcome}: ${n}`).join(', '));
  t.ok((seen.get('ok') ?? 0) > (REQUESTS * RUNS) / 2, 'most are answered');
  t.ok([...seen.keys()].some(outcome => outcome.startsWith('may-have-run')));
  t.ok([...seen.keys()].some(outcome => outcome.startsWith('not-run')));
});

void tap.test('retries do not multiply a wave of failures', async t => {
  // All attempts are lost after the write. The attempts stay within the budget
  // of 10 retries per 100 requests plus the initial ten.
  const clock = createManualClock();
  let attempts = 0;
  const view = viewOf(1, router('b'));
  const entry = createEntry({
    self: router('a'),
    topology: () => ({shards: 16, cells: 1}),
    leaderOf: () => view,
    subscribe: () => () => {},
    localLeader: () => null,
    async send() {
      attempts++;
      return Err(failure('may-have-run', 'truncated', 'lost'));
    },
    rules: () => RULES,
    clock,
    random: createRandom(1),
  });
  const all: {readonly outcome: Outcome | null}[] = [];
  for (let i = 0; i < 1000; i++) {
    all.push(watch(entry.handle(request({deadline: clock.now() + 2000}))));
    await clock.advance(1);
  }
  await clock.advance(2000);
  t.ok(all.every(seen => told(seen) === 'may-have-run truncated'));
  t.ok(attempts > 1050, `${attempts} attempts for 1,000 requests`);
  t.ok(attempts <= 1110, `${attempts} attempts for 1,000 requests`);
});
