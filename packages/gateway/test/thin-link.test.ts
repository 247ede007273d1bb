import tap from 'tap';
import {connect, createServer, type AddressInfo} from 'node:net';
import {createClock} from '@banyandrum/base/clock.js';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {createPlaceIssuer} from '@banyandrum/dispatch/place-issuer.js';
import {createKeyOwners} from '@banyandrum/gateway/key-owners.js';
import type {Leadership} from '@banyandrum/gateway/leadership.js';
import {followLeader} from '@banyandrum/gateway/link-client.js';
import {serveLinks} from '@banyandrum/gateway/link-server.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import type {ServedRange} from '@banyandrum/ranges/table.js';
import {knownRed} from '@banyandrum/standins/known-red.js';

const HOST = '127.0.0.1';
const FOLLOWERS = 77;
const SERVERS = 296;
/** 10 Mbit/s, in bytes a millisecond. */
const LINK_BYTES_MS = 1_250;
const STEP_MS = 10;
const WITHIN_MS = 3_000;

const LIST: readonly ServerInfo[] = Array.from({length: SERVERS}, (_, at) => ({
  ...{id: `i-${at.toString(16).padStart(10, '0')}`, service: 'wubo73a'},
  ...{address: `10.2.${at >> 6}.${at & 63}:8022`, dataCentre: 'maninagar'},
  ...{slots: 4, isLeaving: false, coldMs: 0},
}));
const RANGES: readonly ServedRange[] = LIST.map(({id}, at) => ({
  ...{from: at * 200, to: at * 200 + 199, server: id},
}));

const LEADING: Leadership = {
  isLeading: () => true,
  tables: () => new Map([['jemi29c', RANGES]]),
  version: () => 'v1',
  epoch: () => 1,
  touchMs: () => 0,
  noteTerm: () => undefined,
  begin: async () => true,
  check: () => undefined,
  resign: () => undefined,
  takeCounts: () => undefined,
  subscribe: () => undefined,
};

/** A way to the leader that carries only so much away from it. */
async function startThinPath(
  to: string,
): Promise<{address: string; close(): void}> {
  const port = Number(to.split(':')[1]);
  const waiting: {bytes: Buffer; write(bytes: Buffer): void}[] = [];
  let room = 0;
  const timer = setInterval(() => {
    room = Math.min(room + LINK_BYTES_MS * STEP_MS, LINK_BYTES_MS * 20);
    while (room > 0 && waiting.length > 0) {
      const {bytes, write} = waiting.shift()!;
      room -= bytes.length;
      write(bytes);
    }
  }, STEP_MS);
  const server = createServer(near => {
    const far = connect({host: HOST, port});
    near.on('data', chunk => far.write(chunk));
    far.on('data', bytes => {
      waiting.push({bytes, write: some => void near.write(some)});
    });
    for (const [one, other] of [
      [near, far],
      [far, near],
    ] as const) {
      one.on('close', () => other.destroy());
      one.on('error', () => undefined);
    }
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  return {
    address: `${HOST}:${(server.address() as AddressInfo).port}`,
    close() {
      clearInterval(timer);
      server.close();
    },
  };
}

const THIN = 'all routers come to follow a leader behind a thin link';

// The leader is lost, and the next one stands on a host with a link of 10
// Mbit/s. All 77 routers connect to it at once. Each was sent the whole list of
// servers and all tables, 5 MB in all and four seconds of that link, and left
// for its silence after 0.6 s, only to come back for the same. So nobody was
// followed for long; routers guessed, other ones began to lead, and callers of
// keyed services were refused for half a minute. Proved by the log of that day:
// 18 terms in 33 s, `leader-left` 90 to 135 times in 2 s, at most 45 followers.
void tap.test(THIN, async t => {
  const todo = knownRed(THIN) ?? false;
  const clock = createClock();
  const emit = (): void => undefined;
  const backends = createBackends(clock);
  const issuer = createPlaceIssuer({
    ...{backends, clock, emit},
    ownerOf: () => ({kind: 'none'}),
  });
  const makeList = () => {
    const list = createServerList(clock, emit, 2_000);
    const changes = LIST.map(server => ({kind: 'listed', server}) as const);
    list.take({kind: 'read', isWhole: true, changes, cursor: 1_000});
    return list;
  };
  const probe = createServer();
  await new Promise<void>(resolve => probe.listen(0, HOST, resolve));
  const listen = `${HOST}:${(probe.address() as AddressInfo).port}`;
  await new Promise(resolve => probe.close(resolve));
  const room = {processors: 1, linkMbps: 10};
  const server = await serveLinks({
    ...{listen, clock, emit, issuer, room, leadership: LEADING},
    list: makeList(),
    configCursor: () => null,
    config: () => null,
    configAgeMs: () => 0,
    leader: () => null,
    touchMs: () => 0,
    onOffered: async () => false,
    noteReplaced: () => undefined,
    noteRequest: () => undefined,
  });
  const path = await startThinPath(listen);
  let left = 0;
  const links = Array.from({length: FOLLOWERS}, () =>
    followLeader({
      clock,
      emit: event => void (left += Number(event === 'leader-left')),
      list: makeList(),
      owners: createKeyOwners(clock, emit),
      chosen: () => path.address,
      isLeading: () => false,
      self: {address: `${HOST}:2`, room, dataCentre: 'a'},
      onOffered: () => undefined,
      onLost: () => undefined,
      epoch: () => null,
      noteConfigCursor: () => undefined,
      takeConfig: () => undefined,
      configCursor: () => null,
      noteRouters: () => undefined,
    }),
  );
  const following = (): number =>
    links.filter(link => link.leader() !== null).length;
  const end = performance.now() + WITHIN_MS;
  while (performance.now() < end && following() < FOLLOWERS) {
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  t.equal(following(), FOLLOWERS, 'all follow', {todo});
  t.equal(left, 0, 'and none left meanwhile', {todo});
  for (const link of links) link.stop();
  server.close();
  path.close();
  await new Promise(resolve => setTimeout(resolve, 600));
});
