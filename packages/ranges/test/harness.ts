import {inheritRecorded} from '@banyandrum/ranges/inheritance.js';
import type {LatencyProfile} from '@banyandrum/ranges/late-answers.js';
import {
  createServiceLeader,
  type ServiceLeader,
} from '@banyandrum/ranges/service-leader.js';
import {
  AUTHORITY_MS,
  createLeaseTiming,
} from '@banyandrum/ranges/lease-timing.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';
import {createFakeCluster, type FakeCluster} from './fake-cluster.js';

const TICK_MS = 50;
/** Time until a grant in flight has been answered or reset, in ms. */
const LONGEST_CALL_MS = 750;
const FENCES_PER_TERM = 4_096;

/** A leader under test. */
export interface TestLeader {
  readonly serviceLeader: ServiceLeader;
  /** Whether its process is suspended. */
  isFrozen: boolean;
  /** Whether it has been fenced off by a later leader. */
  isReplaced: boolean;
  /** When its successor was started, in ms; the leader doesn't know this. */
  replacedAt: number;
  /** Time until which it counts with earlier leaders, in ms. */
  earlierActUntil(): number;
  /** Earlier leaders act no longer than until then, in ms. */
  limitEarlier(until: number): void;
}

/** A line of a leader's log. */
export interface TestEvent {
  readonly event: string;
  readonly fields: Readonly<Record<string, string | number | null>>;
}

/** Servers that differ, and what the leaders know of the service. */
export interface HarnessOptions {
  readonly slots: number;
  serviceMsOf(id: string): number;
  profile(): LatencyProfile | null;
}

const EQUAL_SERVERS: HarnessOptions = {
  slots: 2,
  serviceMsOf: () => 400,
  profile: () => null,
};

/** Leaders, and the fake cluster that they work with. */
export interface Harness {
  readonly clock: ManualClock;
  readonly cluster: FakeCluster;
  /** Ids missing from the list of servers. */
  readonly unlisted: Set<string>;
  /** Ids of servers whose data centre is evacuated. */
  readonly evacuated: Set<string>;
  /** Keys of the requests that servers run. */
  runningKeys: readonly number[];
  /** Keys of the requests that wait for a slot. */
  queuedKeys: readonly number[];
  /** What the leaders logged. */
  readonly events: TestEvent[];
  /** When the list of servers counts as complete, in ms; by default at once. */
  listSettledAt: number;
  /** Starts a leader that succeeds the previous one. */
  startLeader(): Promise<TestLeader>;
  /**
   * The previous leader ends its term and confirms that to the latest one, once
   * none of its calls is in flight.
   */
  confirmEnd(): Promise<void>;
  /** Suspends the process of the latest leader. */
  freezeLatestLeader(): void;
  /** Advances the clock and runs the ticks of all running leaders. */
  advance(ms: number): Promise<void>;
}

/** Creates a harness with the given servers; the seed determines the faults. */
export function createHarness(
  seed: number,
  ids: readonly string[],
  options: HarnessOptions = EQUAL_SERVERS,
): Harness {
  const random = createRandom(seed);
  const clock = createManualClock(1_000);
  const cluster = createFakeCluster(clock, random, ids);
  const unlisted = new Set<string>();
  const evacuated = new Set<string>();
  const leaders: TestLeader[] = [];
  const events: TestEvent[] = [];
  const harness: Harness = {
    clock,
    cluster,
    unlisted,
    evacuated,
    runningKeys: [],
    queuedKeys: [],
    events,
    listSettledAt: 0,
    async startLeader() {
      const tableStore = cluster.createTableStore();
      const number = leaders.length;
      const epoch = (await tableStore.beginTerm(
        `10.0.1.${number}:7200`,
        `b${number}`,
      ))!;
      const stored = (await tableStore.load())!;
      let earlierActUntil = clock.now() + AUTHORITY_MS;
      let fence = 1;
      const serviceLeader = createServiceLeader({
        service: 'rounds',
        inherited: stored[0] ? inheritRecorded(stored[0], epoch) : null,
        earlierLeadersActUntil: -Infinity,
        earlierTermsActUntil: () => earlierActUntil,
        areUnrecordedKeysFree: () => true,
        suspendAwareNow: () => clock.now(),
        tableStore,
        leaseClient: cluster.createLeaseClient(number),
        clock,
        timing: createLeaseTiming(10_000),
        servers: () =>
          cluster.servers
            .filter(({id}) => !unlisted.has(id))
            .map(({id, address, isUp}) => ({
              ...{id, address, slots: options.slots},
              serviceMs: options.serviceMsOf(id),
              isOpen: isUp && !evacuated.has(id),
              isEvacuated: evacuated.has(id),
            })),
        hasEnded: () => false,
        isListSettled: () => clock.now() >= harness.listSettledAt,
        queuedKeys: () => harness.queuedKeys,
        runningKeys: () => harness.runningKeys,
        profile: options.profile,
        nextFence: () => epoch * FENCES_PER_TERM + fence++,
        mayAct: () =>
          !leader.isReplaced &&
          !leader.isFrozen &&
          clock.now() - leader.replacedAt < AUTHORITY_MS,
        onChange: () => undefined,
        onWithdrawn: () => undefined,
        onFenced() {
          leader.isReplaced = true;
          serviceLeader.stop();
        },
        emit: (event, fields) => void events.push({event, fields}),
      });
      const leader: TestLeader = {
        ...{serviceLeader, isFrozen: false, isReplaced: false},
        replacedAt: Infinity,
        earlierActUntil: () => earlierActUntil,
        limitEarlier(until) {
          earlierActUntil = Math.min(earlierActUntil, until);
        },
      };
      const previous = leaders.at(-1);
      if (previous !== undefined) previous.replacedAt = clock.now();
      leaders.push(leader);
      return leader;
    },
    async confirmEnd() {
      const [previous, latest] = leaders.slice(-2);
      previous!.isReplaced = true;
      previous!.serviceLeader.stop();
      await harness.advance(LONGEST_CALL_MS);
      const now = clock.now();
      latest!.limitEarlier(Math.max(now, previous!.earlierActUntil()));
    },
    freezeLatestLeader() {
      leaders.at(-1)!.isFrozen = true;
    },
    async advance(ms) {
      for (let passed = 0; passed < ms; passed += TICK_MS) {
        for (const {serviceLeader, isFrozen, isReplaced} of leaders) {
          if (!isFrozen && !isReplaced) serviceLeader.tick();
        }
        await clock.advance(TICK_MS);
      }
    },
  };
  return harness;
}

/** Counts the ranges of the leader that no server serves. */
export function countUnserved({serviceLeader}: TestLeader): number {
  return serviceLeader.served().filter(({server}) => server === null).length;
}
