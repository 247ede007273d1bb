import {inheritRecorded} from '@banyandrum/ranges/inheritance.js';
import {
  leadService,
  type ServiceLead,
} from '@banyandrum/ranges/lead-service.js';
import {AUTHORITY_MS, createTiming} from '@banyandrum/ranges/timing.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';
import {createFakeWorld, type FakeWorld} from './fake-world.js';

const TICK_MS = 50;
const FENCES_A_TERM = 4_096;

/** A leader of the scene. */
export interface Leader {
  readonly lead: ServiceLead;
  /** Whether its process stands still. */
  isFrozen: boolean;
  isOver: boolean;
  /** When another was chosen in its place, in ms; it can't tell. */
  replacedAt: number;
}

/** Leaders and the world that they act on. */
export interface Scene {
  readonly clock: ManualClock;
  readonly world: FakeWorld;
  /** Ids that the list of servers lacks. */
  readonly unlisted: Set<string>;
  /** Whether the list is taken as whole; at once unless a test says so. */
  listSettledAt: number;
  begin(): Promise<Leader>;
  /** The last leader's process does nothing any more. */
  freezeLast(): void;
  /** Lets time pass, with the ticks of all leaders that run. */
  pass(ms: number): Promise<void>;
}

/** Makes a scene with the servers named; its luck follows from the seed. */
export function createScene(seed: number, ids: readonly string[]): Scene {
  const random = createRandom(seed);
  const clock = createManualClock(1_000);
  const world = createFakeWorld(clock, random, ids);
  const unlisted = new Set<string>();
  const leaders: Leader[] = [];
  const scene: Scene = {
    clock,
    world,
    unlisted,
    listSettledAt: 0,
    async begin() {
      const ledger = world.createLedger();
      const number = leaders.length;
      const epoch = (await ledger.begin(`10.0.1.${number}:7200`))!;
      const stored = (await ledger.load())!;
      let fence = 1;
      const lead = leadService({
        service: 'rounds',
        inherited: stored[0] ? inheritRecorded(stored[0], epoch) : null,
        earlierActUntil: -Infinity,
        isUnrecordedFree: () => true,
        wakefulNow: () => clock.now(),
        ledger,
        orders: world.ordersFor(number),
        clock,
        timing: createTiming(10_000),
        servers: () =>
          world.servers
            .filter(({id}) => !unlisted.has(id))
            .map(({id, address, isUp}) => ({
              ...{id, address, slots: 2, serviceMs: 400, isOpen: isUp},
            })),
        hasEnded: () => false,
        isListSettled: () => clock.now() >= scene.listSettledAt,
        waitingKeys: () => [],
        nextFence: () => epoch * FENCES_A_TERM + fence++,
        mayAct: () =>
          !leader.isOver &&
          !leader.isFrozen &&
          clock.now() - leader.replacedAt < AUTHORITY_MS,
        onChange: () => undefined,
        onWithdrawn: () => undefined,
        onFenced() {
          leader.isOver = true;
          lead.stop();
        },
        emit: () => undefined,
      });
      const leader: Leader = {
        ...{lead, isFrozen: false, isOver: false},
        replacedAt: Infinity,
      };
      const last = leaders.at(-1);
      if (last !== undefined) last.replacedAt = clock.now();
      leaders.push(leader);
      return leader;
    },
    freezeLast() {
      leaders.at(-1)!.isFrozen = true;
    },
    async pass(ms) {
      for (let passed = 0; passed < ms; passed += TICK_MS) {
        for (const {lead, isFrozen, isOver} of leaders) {
          if (!isFrozen && !isOver) lead.tick();
        }
        await clock.advance(TICK_MS);
      }
    },
  };
  return scene;
}

/** Ranges that the leader has at no server. */
export function unserved({lead}: Leader): number {
  return lead.served().filter(({server}) => server === null).length;
}
