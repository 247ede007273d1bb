import {hash32} from '@banyandrum/base/hash.js';
import {createEntry} from '@banyandrum/requests/entry.js';
import {createLeaderQueues} from '@banyandrum/requests/leader-queues.js';
import type {QueuePolicy} from '@banyandrum/requests/queue.js';
import type {Clock} from '@banyandrum/base/clock.js';
import type {RequestHandler} from '@banyandrum/base/request.js';
import {Ok} from '@banyandrum/base/result.js';
import type {LedCell} from '@banyandrum/ownership/led-cell.js';
import type {ServerClient, ServerRef} from '@banyandrum/servers/client.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {
  ANSWER,
  fakeCell,
  owned,
  request,
  router,
  RULES,
  server,
  type Outcome,
  type TestRules,
} from './fakes.js';

/** One kind of request in the offered load. */
export interface Kind {
  readonly level: number;
  /** Requests per second. */
  readonly rate: number;
  readonly deadlineMs: number;
  readonly pickKey: (random: () => number) => string;
  readonly pickCaller: (random: () => number) => string;
}

export interface LoadOptions {
  readonly kinds: readonly Kind[];
  readonly seconds: number;
  readonly servers: number;
  readonly slots: number;
  readonly serviceMs: number;
  readonly rules: TestRules;
  readonly policy: QueuePolicy;
  /** Maps the kinds' levels; the baseline without precedence has one. */
  readonly levelOf: (kind: Kind) => number;
}

/** Outcomes of one kind's requests. */
export interface Tally {
  readonly kind: Kind;
  /** Answered by the deadline. */
  useful: number;
  refusedAtOnce: number;
  refusedLate: number;
  /** Sent to a server and not answered in time. */
  wasted: number;
  readonly waits: number[];
}

export const DEFAULT_LOAD: Omit<LoadOptions, 'kinds'> = {
  seconds: 6,
  servers: 2,
  slots: 4,
  serviceMs: 50,
  rules: RULES,
  policy: {fair: true, refuseEarly: true},
  levelOf: kind => kind.level,
};

/** A refusal within this counts as early, in ms. */
const AT_ONCE_MS = 1;

/** An entry that leads the cell itself, with servers of the given speed. */
export interface LoadedSystem {
  readonly clock: ManualClock;
  readonly random: () => number;
  readonly handle: RequestHandler;
}

export type SystemOptions = Omit<LoadOptions, 'kinds' | 'seconds'>;

export function createLoadedSystem(options: SystemOptions): LoadedSystem {
  const clock = createManualClock();
  const random = createRandom(42);
  const serviceMs = (): number => options.serviceMs * (0.5 + random());
  const queues = createLeaderQueues({
    client: timedClient(clock, serviceMs),
    rules: () => options.rules,
    clock,
    policy: options.policy,
  });
  const led = spreadCell(options);
  queues.lead(led);
  const leader = router('me');
  const {cell, epoch} = led;
  const view = {cell, epoch, leader, standby: null, unsettled: []};
  const {handle} = createEntry({
    self: leader,
    topology: () => ({shards: 64, cells: 1}),
    leaderOf: () => view,
    subscribe: () => () => {},
    localLeader: queues.queueOf,
    send: () => Promise.reject(new Error('there is no other router')),
    rules: () => options.rules,
    clock,
    random,
  });
  return {clock, random, handle};
}

/** Offers an open-loop load; returns the outcomes of each kind. */
export async function offer(options: LoadOptions): Promise<readonly Tally[]> {
  const {clock, random, handle} = createLoadedSystem(options);
  const ask = async (tally: Tally): Promise<void> => {
    const {kind} = tally;
    const start = clock.now();
    const req = request({
      key: kind.pickKey(random),
      caller: kind.pickCaller(random),
      precedence: options.levelOf(kind),
      deadline: start + kind.deadlineMs,
    });
    record(tally, await handle(req), clock.now() - start);
  };
  const endAt = options.seconds * 1000;
  const arrive = (tally: Tally): void => {
    const gapMs = nextGap(random, tally.kind.rate);
    if (clock.now() + gapMs > endAt) return;
    clock.after(gapMs, () => {
      void ask(tally);
      arrive(tally);
    });
  };
  const tallies = options.kinds.map(createTally);
  tallies.forEach(arrive);
  await clock.advance(endAt);
  return tallies;
}

/** Time to the next arrival of a Poisson stream, in ms. */
export function nextGap(random: () => number, perSecond: number): number {
  return (-Math.log(1 - random()) * 1000) / perSecond;
}

/** A cell whose shards are spread over all servers. */
function spreadCell({servers, slots}: SystemOptions): LedCell {
  const refs = Array.from({length: servers}, (_, i) => server(`s${i}`, slots));
  return {
    ...fakeCell(refs[0] as ServerRef),
    locate(key) {
      const shard = hash32(key) % 64;
      return owned(refs[shard % servers] as ServerRef, String(shard));
    },
  };
}

/** Servers that answer after their service time and stop at the deadline. */
function timedClient(
  clock: Clock,
  serviceMs: () => number,
): Pick<ServerClient, 'send'> {
  return {
    send: (_, {req}) =>
      new Promise(resolve => {
        const ms = Math.min(serviceMs(), req.deadline - clock.now());
        clock.after(ms, () => resolve(Ok(ANSWER)));
      }),
  };
}

function createTally(kind: Kind): Tally {
  return {
    kind,
    useful: 0,
    refusedAtOnce: 0,
    refusedLate: 0,
    wasted: 0,
    waits: [],
  };
}

function record(tally: Tally, outcome: Outcome, ms: number): void {
  if (outcome.err) {
    if (ms <= AT_ONCE_MS) tally.refusedAtOnce++;
    else tally.refusedLate++;
    return;
  }
  if (ms >= tally.kind.deadlineMs) {
    tally.wasted++;
    return;
  }
  tally.useful++;
  tally.waits.push(ms);
}

/** The p-quantile of the waits, in ms. */
export function quantile(waits: readonly number[], p: number): number {
  const sorted = [...waits].sort((a, b) => a - b);
  return sorted[Math.floor(p * (sorted.length - 1))] ?? 0;
}

/** Answers in time per second, of all kinds. */
export function usefulRate(tallies: readonly Tally[], seconds: number): number {
  return tallies.reduce((sum, {useful}) => sum + useful, 0) / seconds;
}

/** A seeded generator (mulberry32), uniform in [0, 1). */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
