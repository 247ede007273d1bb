import tap from 'tap';
import {
  createLeadership,
  type Leadership,
} from '@banyandrum/gateway/leadership.js';
import type {Platform} from '@banyandrum/gateway/platform.js';
import {createLeaseTiming} from '@banyandrum/ranges/timing.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';
import {createFakeCluster, type FakeCluster} from '../../ranges/test/fake-cluster.js';
import {
  createRestorableStore,
  type RestorableStore,
  type StoreAccess,
} from './restorable-store.js';

/** More by hand: `SEEDS=400 npx tap build/test/gateway/test/...`. */
const SEEDS = Number(process.env['SEEDS'] ?? 40);
const FIRST_SEED = Number(process.env['FIRST_SEED'] ?? 1);
const STEP_MS = 50;
const TROUBLE_MS = 40_000;
/** Pause between the starts of two troubles, at the most, in ms. */
const TROUBLE_LONGEST_MS = 10_000;
const GAP_MAX_MS = 1_500;
/** Twice what a successor without memory waits for, and a hold, in ms. */
const CALM_MS = 36_000;
/** Where nobody leads, a router begins within this time, in ms. */
const SUCCESSION_MS = 1_000;
const KEYS = Array.from({length: 32}, (_, at) => at * 2_048);
const SERVICE = 'rounds';

interface Router {
  readonly leadership: Leadership;
  readonly access: StoreAccess;
}

interface Scene {
  readonly world: FakeCluster;
  readonly store: RestorableStore;
  readonly routers: readonly Router[];
  readonly unlisted: Set<string>;
  readonly random: () => number;
  readonly clock: ManualClock;
  pass(ms: number): Promise<void>;
}

function createScene(seed: number): Scene {
  const random = createRandom(seed * 7_919);
  const clock = createManualClock(1_000);
  const world = createFakeCluster(clock, random, ['a', 'b', 'c', 'd']);
  const store = createRestorableStore(clock, random);
  const unlisted = new Set<string>();
  const routers = [0, 1, 2].map((at): Router => {
    const access = store.open();
    const {ledger, history} = access;
    const orders = world.createLeaseClient(at);
    const leadership = createLeadership({
      platform: {ledger, history, orders} as unknown as Platform,
      ...{clock, wakefulNow: () => clock.now()},
      timing: createLeaseTiming(10_000),
      ...{boot: `b${at}`, address: `10.0.1.${at}:7200`},
      emit: () => undefined,
      keyedServices: () => [SERVICE],
      serversOf: () =>
        world.servers
          .filter(({id}) => !unlisted.has(id))
          .map(({id, address, isUp}) => ({
            ...{id, address, slots: 2, serviceMs: 400, isOpen: isUp},
          })),
      hasEnded: () => false,
      isListSettled: () => true,
      waitingKeys: () => [],
      isFirstStart: true,
    });
    return {leadership, access};
  });
  return {
    ...{world, store, routers, unlisted, random, clock},
    async pass(ms) {
      for (let passed = 0; passed < ms; passed += STEP_MS) {
        await clock.advance(STEP_MS);
      }
    },
  };
}

/** Starts at once and ends by itself; troubles overlap. */
type Trouble = (scene: Scene) => void;

const pickFrom = <T>({random}: Scene, some: readonly T[]): T =>
  some[Math.floor(random() * some.length)]!;

const TROUBLES: readonly Trouble[] = [
  ({store, routers, random, clock}) => {
    const copy = store.copy();
    clock.after(random() * 6_000, () => {
      for (const {access} of routers) access.isCut = true;
      clock.after(random() * 4_000, () => {
        store.restore(copy);
        for (const {access} of routers) access.isCut = false;
      });
    });
  },
  scene => void pickFrom(scene, scene.routers).leadership.begin(),
  scene => pickFrom(scene, scene.routers).leadership.resign(),
  scene => {
    const {access} = pickFrom(scene, scene.routers);
    access.isCut = true;
    scene.clock.after(scene.random() * 6_000, () => {
      access.isCut = false;
    });
  },
  // Its keys go to other servers.
  scene => {
    const {id} = pickFrom(scene, scene.world.servers);
    if (scene.unlisted.size > 1) return;
    scene.unlisted.add(id);
    scene.clock.after(scene.random() * 4_000, () => {
      scene.unlisted.delete(id);
    });
  },
  scene => {
    const {unreachableBy: cutFrom} = pickFrom(scene, scene.world.servers);
    const leader = Math.floor(scene.random() * 3);
    cutFrom.add(leader);
    scene.clock.after(scene.random() * 5_000, () => {
      cutFrom.delete(leader);
    });
  },
];

void tap.test('one holder over restores, random schedules', async t => {
  const broken: string[] = [];
  const unserved: number[] = [];
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const scene = createScene(seed);
    const {world, routers, random} = scene;
    void routers[0]!.leadership.begin();
    await scene.pass(3_000);
    Object.assign(world.faultRates, {late: 0.02, unanswered: 0.02, unsaved: 0.02});
    for (let passed = 0; passed < TROUBLE_MS;) {
      const pauseMs = random() * GAP_MAX_MS;
      await scene.pass(pauseMs);
      pickFrom(scene, TROUBLES)(scene);
      passed += pauseMs;
    }
    Object.assign(world.faultRates, {late: 0, unanswered: 0, unsaved: 0});
    await scene.pass(TROUBLE_LONGEST_MS);
    for (let passed = 0; passed < CALM_MS; passed += SUCCESSION_MS) {
      if (!routers.some(({leadership}) => leadership.isLeading())) {
        void routers[0]!.leadership.begin();
      }
      await scene.pass(SUCCESSION_MS);
    }
    broken.push(...world.violations.slice(0, 1).map(why => `${seed}: ${why}`));
    const isHeld = (key: number): boolean => world.holdersOf(key).length > 0;
    if (!KEYS.every(isHeld)) unserved.push(seed);
    for (const {leadership} of routers) leadership.resign();
  }
  t.same(broken, []);
  t.same(unserved, [], 'seeds with keys that nobody holds in the end');
});
