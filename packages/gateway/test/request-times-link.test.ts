import tap from 'tap';
import {createCanceller} from '@banyandrum/base/cancel.js';
import {createClock} from '@banyandrum/base/clock.js';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createKeyOwners} from '@banyandrum/gateway/key-owners.js';
import type {Leadership} from '@banyandrum/gateway/leadership.js';
import {followLeader} from '@banyandrum/gateway/link-client.js';
import {serveLinks} from '@banyandrum/gateway/link-server.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import {createTimeModel} from '@banyandrum/service-times/time-model.js';
import {createSlotAllocator} from '@banyandrum/slots/slot-allocator.js';
import {reserveAddress} from '@banyandrum/standins/ports.js';

const HOST = '127.0.0.1';
const ROOM = {processors: 1, linkMbps: 1_000};
const KIND = 51_200;

const LEADING = {
  isLeading: () => true,
  tables: () => new Map(),
  version: () => 'v1',
  addRequestCounts: () => undefined,
  subscribe: () => undefined,
} as unknown as Leadership;

const SERVER: ServerInfo = {
  ...{id: 's1', service: 'holds', address: `${HOST}:1`, dataCentre: 'a'},
  ...{slots: 2, isLeaving: false, coldUntil: 0},
};

async function waitUntil(isMet: () => boolean): Promise<void> {
  const end = performance.now() + 5_000;
  while (!isMet()) {
    if (performance.now() > end) throw new Error('condition not met in 5 s');
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

// Guards against a leader that doesn't learn from its followers' requests, and
// against a deputy that starts to lead without what the leader learnt.
void tap.test('times from a follower, and back to it as deputy', async t => {
  const clock = createClock();
  const emit = (): void => undefined;
  const backends = createBackends(clock);
  backends.update([SERVER]);
  const suspects = createSuspects(clock, emit);
  const limits = createServerLimits({clock, emit});
  const leaderModel = createTimeModel({clock});
  const common = {
    ...{clock, emit, suspects, limits},
    configPosition: () => null,
  };
  const allocator = createSlotAllocator({
    ...{...common, backends, times: leaderModel},
    ownerOf: () => ({kind: 'none'}),
    onNotHeld: () => undefined,
  });
  const listen = await reserveAddress();
  const server = await serveLinks({
    ...{...common, listen, allocator, leadership: LEADING, room: ROOM},
    ...{list: createServerList(clock, emit, 2_000), times: leaderModel},
    ...{config: () => null, configAgeMs: () => 0, leader: () => null},
    self: {address: listen, dataCentre: 'a'},
    paths: {
      ...{unreachableCount: () => 0, unreachableSince: () => null},
      subscribe: () => undefined,
    },
    carryServer: {handle: () => undefined},
    contactAgeMs: () => 0,
    onLeadershipOffered: async () => true,
    ...{noteReplaced: emit, noteLeaving: emit, noteRequest: emit},
    noteEvacuated: emit,
  });
  const followerModel = createTimeModel({clock});
  const link = followLeader({
    ...{...common, times: followerModel},
    list: createServerList(clock, emit, 2_000),
    self: {address: `${HOST}:2`, room: ROOM, dataCentre: 'a'},
    owners: createKeyOwners(clock, emit),
    suspects: createSuspects(clock, emit),
    limits: createServerLimits({clock, emit}),
    ...{chosenAddress: () => listen, isLeading: () => false},
    ...{onLeadershipOffered: emit, onLeaderLost: emit},
    isGone: () => false,
    ownDeputies: () => [],
    ...{unreachableCount: () => 0, termEpoch: () => null},
    ...{onConfigCursor: emit, applyConfig: emit, confirmConfig: emit},
    ...{applyPosition: () => true, setRouterCount: emit},
  });
  t.teardown(() => {
    link.stop();
    server.close();
  });
  await waitUntil(() => link.leader() !== null);
  for (let each = 0; each < 30; each++) {
    const slot = await link.acquire(
      {
        ...{id: 'r1', service: 'holds', key: null, priority: 1, kind: KIND},
        ...{leftMs: 5_000, aimLeftMs: 5_000, askedMs: 0},
        ...{excluded: [], dataCentre: 'a'},
      },
      createCanceller().signal,
    );
    if (slot.kind !== 'granted') throw new Error(slot.kind);
    slot.release('answered', 240, 1.5);
  }
  const hasAll = (): boolean =>
    leaderModel
      .rows()
      .some(([of, , , samples]) => of === 'v' && samples === 30);
  await waitUntil(hasAll);
  const usualMs = leaderModel.usualMs('holds', KIND, 's1')!;
  t.ok(Math.abs(usualMs - 240) < 12, `${usualMs}`);
  const changed = leaderModel.rows().find(([of]) => of === 'k');
  t.match(changed, ['k', 'holds', KIND]);
  await waitUntil(() => followerModel.usualMs('holds', KIND, 's1') !== null);
  const deputyMs = followerModel.usualMs('holds', KIND, 's1')!;
  t.ok(Math.abs(deputyMs - 240) < 24, `${deputyMs}`);
});
