import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import tap from 'tap';
import {Server, ServerCredentials} from '@grpc/grpc-js';
import {createCanceller} from '@banyandrum/base/cancel.js';
import {createClock} from '@banyandrum/base/clock.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createKeyOwners} from '@banyandrum/gateway/key-owners.js';
import {
  followLeader,
  type LinkClient,
} from '@banyandrum/gateway/link-client.js';
import {
  LINK_SERVICE,
  type StateMessage,
} from '@banyandrum/gateway/link-messages.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import {reserveAddress} from '@banyandrum/standins/ports.js';

const HOST = '127.0.0.1';
/** Longer than a follower waits for a leader that it has heard, in ms. */
const LATE_MS = 1_200;

const STATE: StateMessage = {
  ...{kind: 'state', tables: null, list: null, listCursor: null},
  ...{listAgeMs: 0, configCursor: null, config: null, configAgeMs: 0},
  ...{deputies: null, routers: 2, touchMs: 0},
};

function startFollower(chosen: string): LinkClient {
  const clock = createClock();
  const emit = (): void => undefined;
  return followLeader({
    ...{clock, emit, chosenAddress: () => chosen},
    list: createServerList(clock, emit, 2_000),
    self: {
      ...{address: `${HOST}:2`, dataCentre: 'a'},
      room: {processors: 1, linkMbps: 1_000},
    },
    owners: createKeyOwners(clock, emit),
    suspects: createSuspects(clock, emit),
    limits: createServerLimits({clock, emit}),
    isLeading: () => false,
    onLeadershipOffered: () => undefined,
    onLeaderLost: () => undefined,
    isGone: () => false,
    ownDeputies: () => [],
    unreachableCount: () => 0,
    termEpoch: () => null,
    onConfigCursor: () => undefined,
    applyConfig: () => undefined,
    confirmConfig: () => undefined,
    configPosition: () => null,
    applyPosition: () => true,
    setRouterCount: () => undefined,
  });
}

/** A leader that sends its first message late, and then nothing. */
async function startLateLeader(): Promise<{
  readonly address: string;
  streams(): number;
  close(): void;
}> {
  const server = new Server();
  let streams = 0;
  server.addService(
    {follow: LINK_SERVICE.follow},
    {
      follow(stream: {write(message: StateMessage): void}) {
        streams++;
        setTimeout(() => stream.write(STATE), LATE_MS);
      },
    },
  );
  const address = await reserveAddress();
  await new Promise(resolve =>
    server.bindAsync(address, ServerCredentials.createInsecure(), resolve),
  );
  return {address, streams: () => streams, close: () => server.forceShutdown()};
}

async function waitUntil(isMet: () => boolean): Promise<number> {
  const startedAt = performance.now();
  while (!isMet()) {
    if (performance.now() - startedAt > 8_000)
      throw new Error('condition not met within 8 s');
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  return performance.now() - startedAt;
}

// Guards against a late leader whose followers leave before they hear it, and
// open stream after stream that it has to serve.
void tap.test('a leader that works is waited for', async t => {
  const leader = await startLateLeader();
  const link = startFollower(leader.address);
  t.teardown(() => {
    link.stop();
    leader.close();
  });
  const request = {
    ...{id: 'r1', service: 'holds', key: null, priority: 1, leftMs: 5_000},
    ...{aimLeftMs: 5_000, askedMs: 0, excluded: [], dataCentre: 'a'},
  };
  await waitUntil(() => leader.streams() > 0);
  const askedAt = performance.now();
  const slot = await link.acquire(request, createCanceller().signal);
  t.equal(slot.kind, 'unavailable', 'no request waits for it');
  t.ok(performance.now() - askedAt < 100);
  await waitUntil(() => link.leader() !== null);
  t.equal(leader.streams(), 1);
  // Once heard, it is left after the usual time.
  const silentMs = await waitUntil(() => link.leader() === null);
  t.ok(silentMs < LATE_MS, `left after ${silentMs} ms`);
});

// Guards against waiting as long for a suspended process, whose host accepts
// the connection, while another router may lead already.
void tap.test('a process that accepts nothing is soon passed by', async t => {
  const open: Socket[] = [];
  const silent = createServer(socket => void open.push(socket));
  silent.listen(0, HOST);
  await once(silent, 'listening');
  const {port} = silent.address() as AddressInfo;
  const link = startFollower(`${HOST}:${port}`);
  t.teardown(() => {
    link.stop();
    silent.close();
    for (const socket of open) socket.destroy();
  });
  const startedAt = performance.now();
  t.equal(await link.followAt(`${HOST}:${port}`), false);
  const tookMs = performance.now() - startedAt;
  t.ok(tookMs < 1_100, `passed by after ${tookMs} ms`);
});
