import {
  createLeadership,
  type Leadership,
} from '@banyandrum/gateway/leadership.js';
import type {Platform} from '@banyandrum/gateway/platform.js';
import {createLeaseTiming} from '@banyandrum/ranges/lease-timing.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';
import {
  createFakeCluster,
  type FakeCluster,
} from '../../ranges/test/fake-cluster.js';
import {
  createRestorableStore,
  type RestorableStore,
  type StoreAccess,
} from './restorable-store.js';

const STEP_MS = 50;
/** Longest delay of a question to the previous leader and its answer, in ms. */
const MAX_ANSWER_MS = 400;
/** Share of the answers that are lost. */
const LOST_ANSWERS = 0.2;
const SERVICE = 'rounds';

/** A router that may lead. */
interface Router {
  readonly leadership: Leadership;
  readonly access: StoreAccess;
  readonly address: string;
}

/** Routers, and the servers and the store that they work with. */
export interface Harness {
  readonly cluster: FakeCluster;
  readonly store: RestorableStore;
  readonly routers: readonly Router[];
  readonly unlisted: Set<string>;
  readonly random: () => number;
  readonly clock: ManualClock;
  /** The links between the routers. */
  readonly links: {areCut: boolean};
  advance(ms: number): Promise<void>;
}

/** Creates three routers and four servers; the seed determines the faults. */
export function createHarness(seed: number): Harness {
  const random = createRandom(seed * 7_919);
  const clock = createManualClock(1_000);
  const cluster = createFakeCluster(clock, random, ['a', 'b', 'c', 'd']);
  const store = createRestorableStore(clock, random);
  const unlisted = new Set<string>();
  const links = {areCut: false};
  const routers: readonly Router[] = [0, 1, 2].map((at): Router => {
    const access = store.open();
    const {ledger, history} = access;
    const orders = cluster.createLeaseClient(at);
    const leadership = createLeadership({
      platform: {ledger, history, orders} as unknown as Platform,
      ...{clock, suspendAwareNow: () => clock.now()},
      timing: createLeaseTiming(10_000),
      ...{bootId: `b${at}`, address: `10.0.1.${at}:7200`},
      async askTermEnd(address, question) {
        await sleep(clock, random() * MAX_ANSWER_MS);
        if (links.areCut) return null;
        const other = routers.find(each => each.address === address)!;
        const answer = other.leadership.answerTermEnd(question);
        await sleep(clock, random() * MAX_ANSWER_MS);
        return random() < LOST_ANSWERS ? null : answer;
      },
      emit: () => undefined,
      keyedServices: () => [SERVICE],
      serversOf: () =>
        cluster.servers
          .filter(({id}) => !unlisted.has(id))
          .map(({id, address, isUp}) => ({
            ...{id, address, slots: 2, serviceMs: 400},
            ...{isOpen: isUp, isEvacuated: false},
          })),
      hasEnded: () => false,
      isListSettled: () => true,
      waitingKeys: () => [],
      runningKeys: () => [],
      profileOf: () => null,
      isFirstStart: true,
    });
    return {leadership, access, address: `10.0.1.${at}:7200`};
  });
  return {
    ...{cluster, store, routers, unlisted, random, clock, links},
    async advance(ms) {
      for (let passed = 0; passed < ms; passed += STEP_MS) {
        await clock.advance(STEP_MS);
      }
    },
  };
}
