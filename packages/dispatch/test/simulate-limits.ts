import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {
  createSlotAllocator,
  type SlotAllocator,
} from '@banyandrum/slots/slot-allocator.js';
import {
  createServerLimits,
  type ServerLimits,
} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

/** Load on routers whose servers report limits. */
export interface LimitLoad {
  readonly seed: number;
  readonly seconds: number;
  readonly routers: number;
  /** Requests per second from all callers. */
  readonly perSecond: number;
  /** Limit of each server as a function of the time since the start, in ms. */
  readonly limits: readonly ((at: number) => number)[];
  /** Period without a leader, in ms since the start. */
  readonly leaderless?: {readonly from: number; readonly to: number};
}

/** Requests received by one server. */
export interface LimitOutcome {
  /** Arrival times since the start, in ms. */
  readonly arrivals: readonly number[];
}

const SERVICE = 'desks';
const SLOTS = 4;
const WORK_MS = 100;
/** One-way delay between routers, in ms. */
const LINK_DELAY_MS = 2;
/** Delay with which the leader batches updates to followers, in ms. */
const BROADCAST_DELAY_MS = 10;

/** Simulates the load on a manual clock. */
export async function simulateLimits(
  load: LimitLoad,
): Promise<readonly LimitOutcome[]> {
  const clock = createManualClock(1_000);
  const startedAt = clock.now();
  const random = createRandom(load.seed);
  const quiet = (): void => undefined;
  const backends = createBackends(clock);
  const infos = load.limits.map((_, at): ServerInfo => ({
    ...{id: `s${at}`, service: SERVICE, address: `10.0.0.${at}:80`},
    ...{dataCentre: 'a', slots: SLOTS, isLeaving: false, coldUntil: 0},
  }));
  backends.update(infos);
  const routers = Array.from({length: load.routers}, () =>
    createServerLimits({clock, emit: quiet, random}),
  );
  const arrivals = infos.map((): number[] => []);
  let allocator: SlotAllocator | null = null;
  let leader = 0;

  const lead = (router: number): void => {
    leader = router;
    allocator = createSlotAllocator({
      ...{backends, clock, emit: quiet, limits: routers[router]!},
      suspects: createSuspects(clock, quiet, () => 0),
      ownerOf: () => ({kind: 'none'}),
      onNotHeld: () => undefined,
    });
  };
  const resign = (): void => {
    allocator?.close();
    allocator = null;
  };
  lead(0);

  const broadcast = (): void => {
    const rows = routers[leader]!.rows();
    const deliver = (): void =>
      routers.forEach((limits, at) => {
        if (at !== leader) limits.mergeFromLeader(rows);
      });
    if (allocator !== null) clock.after(LINK_DELAY_MS, deliver);
  };
  routers.forEach((limits, at) =>
    limits.subscribe((row, isOwn) => {
      if (at === leader) clock.after(BROADCAST_DELAY_MS, broadcast);
      if (at === leader || !isOwn || allocator === null) return;
      clock.after(LINK_DELAY_MS, () =>
        routers[leader]!.mergeFromFollower([row]),
      );
    }),
  );

  const run = (own: ServerLimits, server: number, done: () => void): void => {
    const sentAt = clock.now();
    arrivals[server]!.push(sentAt - startedAt);
    clock.after(WORK_MS * (0.5 + random()), () => {
      const limit = load.limits[server]!(clock.now() - startedAt);
      const reported = {sentAt, isComplete: true, text: limit.toFixed(3)};
      own.noteAnswer({server: infos[server]!.id, ...reported});
      done();
    });
  };

  const call = (): void => {
    const own = routers[Math.floor(random() * load.routers)]!;
    if (allocator === null) {
      const first = Math.floor(random() * infos.length);
      const freeIndex = infos.findIndex((_, at) => {
        const {id} = infos[(first + at) % infos.length]!;
        return own.takeShareToken(id, load.routers);
      });
      if (freeIndex >= 0) run(own, (first + freeIndex) % infos.length, quiet);
      return;
    }
    const release = allocator.ask(
      {
        ...{id: 'r', service: SERVICE, key: null, priority: 0},
        ...{leftMs: 1_400, aimLeftMs: 500, askedMs: 0},
        ...{excluded: [], dataCentre: 'a'},
      },
      reply => {
        if (reply.kind !== 'granted') return;
        const server = infos.findIndex(({id}) => id === reply.server);
        clock.after(LINK_DELAY_MS, () =>
          run(own, server, () => release('answered', WORK_MS)),
        );
      },
    );
  };

  for (let at = 0; at < load.perSecond * load.seconds; at++) {
    clock.after(random() * load.seconds * 1_000, call);
  }
  if (load.leaderless !== undefined) {
    clock.after(load.leaderless.from, resign);
    clock.after(load.leaderless.to, () => lead(1));
  }
  await clock.advance(load.seconds * 1_000 + 3_000);
  return arrivals.map(times => ({arrivals: times}));
}
