import {inheritRecorded} from '@banyandrum/ranges/inheritance.js';
import {
  createServiceLeader,
  type ServiceLeader,
} from '@banyandrum/ranges/lead-service.js';
import {AUTHORITY_MS, createLeaseTiming} from '@banyandrum/ranges/timing.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';
import {createFakeCluster, type FakeCluster} from './fake-cluster.js';

const TICK_MS = 50;
const FENCES_PER_TERM = 4_096;

/** A leader of the scene. */
export interface TestLeader {
  readonly serviceLeader: ServiceLeader;
  /** Whether its process stands still. */
  isFrozen: boolean;
  isReplaced: boolean;
  /** When another was chosen in its place, in ms; it can't tell. */
  replacedAt: number;
}

/** Leaders and the world that they act on. */
export interface Harness {
  readonly clock: ManualClock;
  readonly cluster: FakeCluster;
  /** Ids that the list of servers lacks. */
  readonly unlisted: Set<string>;
  /** Whether the list is taken as whole; at once unless a test says so. */
  listSettledAt: number;
  startLeader(): Promise<TestLeader>;
  /** The last leader's process does nothing any more. */
  freezeLatestLeader(): void;
  /** Lets time pass, with the ticks of all leaders that run. */
  advance(ms: number): Promise<void>;
}

/** Makes a scene with the servers named; its luck follows from the seed. */
export function createHarness(seed: number, ids: readonly string[]): Harness {
  const random = createRandom(seed);
  const clock = createManualClock(1_000);
  const world = createFakeCluster(clock, random, ids);
  const unlisted = new Set<string>();
  const leaders: TestLeader[] = [];
  const scene: Harness = {
    clock,
    cluster: world,
    unlisted,
    listSettledAt: 0,
    async startLeader() {
      const ledger = world.createTableStore();
      const number = leaders.length;
      const epoch = (await ledger.beginTerm(`10.0.1.${number}:7200`))!;
      const stored = (await ledger.load())!;
      let fence = 1;
      const lead = createServiceLeader({
        service: 'rounds',
        inherited: stored[0] ? inheritRecorded(stored[0], epoch) : null,
        earlierLeadersActUntil: -Infinity,
        areUnrecordedKeysFree: () => true,
        suspendAwareNow: () => clock.now(),
        tableStore: ledger,
        leaseClient: world.createLeaseClient(number),
        clock,
        timing: createLeaseTiming(10_000),
        servers: () =>
          world.servers
            .filter(({id}) => !unlisted.has(id))
            .map(({id, address, isUp}) => ({
              ...{id, address, slots: 2, serviceMs: 400, isOpen: isUp},
            })),
        hasEnded: () => false,
        isListSettled: () => clock.now() >= scene.listSettledAt,
        queuedKeys: () => [],
        nextFence: () => epoch * FENCES_PER_TERM + fence++,
        mayAct: () =>
          !leader.isReplaced &&
          !leader.isFrozen &&
          clock.now() - leader.replacedAt < AUTHORITY_MS,
        onChange: () => undefined,
        onWithdrawn: () => undefined,
        onFenced() {
          leader.isReplaced = true;
          lead.stop();
        },
        emit: () => undefined,
      });
      const leader: TestLeader = {
        ...{serviceLeader: lead, isFrozen: false, isReplaced: false},
        replacedAt: Infinity,
      };
      const last = leaders.at(-1);
      if (last !== undefined) last.replacedAt = clock.now();
      leaders.push(leader);
      return leader;
    },
    freezeLatestLeader() {
      leaders.at(-1)!.isFrozen = true;
    },
    async advance(ms) {
      for (let passed = 0; passed < ms; passed += TICK_MS) {
        for (const {serviceLeader: lead, isFrozen, isReplaced: isOver} of leaders) {
          if (!isFrozen && !isOver) lead.tick();
        }
        await clock.advance(TICK_MS);
      }
    },
  };
  return scene;
}

/** Ranges that the leader has at no server. */
export function countUnserved({serviceLeader: lead}: TestLeader): number {
  return lead.served().filter(({server}) => server === null).length;
}
