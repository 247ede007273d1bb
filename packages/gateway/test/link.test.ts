import tap from 'tap';
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {createCanceller} from '@banyandrum/base/cancel.js';
import {createClock} from '@banyandrum/base/clock.js';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {createPlaceIssuer} from '@banyandrum/dispatch/place-issuer.js';
import type {Place, PlaceAsk} from '@banyandrum/dispatch/places.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createKeyOwners} from '@banyandrum/gateway/key-owners.js';
import type {Leadership} from '@banyandrum/gateway/leadership.js';
import {
  followLeader,
  type LinkClient,
} from '@banyandrum/gateway/link-client.js';
import {serveLinks} from '@banyandrum/gateway/link-server.js';
import type {Candidate} from '@banyandrum/gateway/host-capacity.js';
import {
  createServerList,
  type ServerList,
} from '@banyandrum/gateway/server-list.js';

const HOST = '127.0.0.1';
const ROOM = {processors: 1, linkMbps: 1_000};

/** A path to the leader whose open connections can fall silent. */
interface Path {
  readonly address: string;
  /** Nothing more passes on connections that are open now. */
  silence(): void;
  close(): void;
}

async function startPath(to: string): Promise<Path> {
  const open = new Set<Socket>();
  let silenced = new Set<Socket>();
  const port = Number(to.slice(to.lastIndexOf(':') + 1));
  const server = createServer(near => {
    const far = connect({host: HOST, port});
    for (const [from, into] of [
      [near, far],
      [far, near],
    ] as const) {
      open.add(from);
      from.on('data', chunk => silenced.has(from) || into.write(chunk));
      from.on('close', () => silenced.has(from) || into.destroy());
      from.on('error', () => undefined);
    }
  });
  const address = await listenAny(server);
  return {
    address,
    silence() {
      silenced = new Set(open);
    },
    close() {
      server.close();
      for (const socket of open) socket.destroy();
    },
  };
}

function listenAny(server: Server): Promise<string> {
  return new Promise(resolve => {
    server.listen(0, HOST, () => {
      const {port} = server.address() as AddressInfo;
      resolve(`${HOST}:${port}`);
    });
  });
}

async function freeAddress(): Promise<string> {
  const server = createServer();
  const address = await listenAny(server);
  await new Promise(resolve => server.close(resolve));
  return address;
}

const LEADING: Leadership = {
  isLeading: () => true,
  tables: () => new Map(),
  version: () => 'v1',
  epoch: () => 1,
  confirmationAgeMs: () => 0,
  observeTerm: () => undefined,
  startTerm: async () => true,
  checkTerm: () => undefined,
  resign: () => undefined,
  addRequestCounts: () => undefined,
  subscribe: () => undefined,
};

const ASK: PlaceAsk = {
  id: 'r1',
  service: 'holds',
  key: null,
  priority: 1,
  leftMs: 5_000,
  aimLeftMs: 5_000,
  askedMs: 0,
  excluded: [],
  dataCentre: 'a',
};

function acquire(link: LinkClient): Promise<Place> {
  return link.acquire(ASK, createCanceller().signal);
}

async function until(holds: () => Promise<boolean>): Promise<void> {
  const end = performance.now() + 8_000;
  while (!(await holds())) {
    if (performance.now() > end) throw new Error('it did not come about');
    await new Promise(resolve => setTimeout(resolve, 25));
  }
}

/** A leader and a router that follows it over `path`. */
interface Scene {
  readonly path: Path;
  readonly link: LinkClient;
  readonly leaderList: ServerList;
  readonly list: ServerList;
  close(): void;
}

const SERVER: ServerInfo = {
  ...{id: 's1', service: 'holds', address: `${HOST}:1`, dataCentre: 'a'},
  ...{slots: 2, isLeaving: false, coldMs: 0},
};

/** A router that never leads; its list of servers is `list`. */
function startRouter(
  self: Candidate,
  list: ServerList,
  chosen: () => string | null,
): LinkClient {
  const clock = createClock();
  const emit = (): void => undefined;
  return followLeader({
    ...{clock, emit, list, self, chosenAddress: chosen},
    owners: createKeyOwners(clock, emit),
    suspects: createSuspects(clock, emit),
    limits: createServerLimits({clock, emit}),
    isLeading: () => false,
    onLeadershipOffered: () => undefined,
    onLeaderLost: () => undefined,
    epoch: () => null,
    onConfigCursor: () => undefined,
    applyConfig: () => undefined,
    configCursor: () => null,
    setRouterCount: () => undefined,
  });
}

async function startScene(chosen?: () => string | null): Promise<Scene> {
  const clock = createClock();
  const emit = (): void => undefined;
  const backends = createBackends(clock);
  backends.update([SERVER]);
  const suspects = createSuspects(clock, emit);
  const limits = createServerLimits({clock, emit});
  const issuer = createPlaceIssuer({
    ...{backends, clock, emit, suspects, limits},
    ownerOf: () => ({kind: 'none'}),
  });
  const listen = await freeAddress();
  const leaderList = createServerList(clock, emit, 2_000);
  const server = await serveLinks({
    ...{listen, clock, emit, leadership: LEADING, issuer, room: ROOM},
    suspects,
    limits,
    list: leaderList,
    configCursor: () => null,
    config: () => null,
    configAgeMs: () => 0,
    leader: () => null,
    contactAgeMs: () => 0,
    onLeadershipOffered: async () => true,
    noteReplaced: () => undefined,
    noteLeaving: () => undefined,
    noteRequest: () => undefined,
  });
  const path = await startPath(listen);
  const list = createServerList(clock, emit, 2_000);
  const link = startRouter(
    {address: `${HOST}:2`, room: ROOM, dataCentre: 'a'},
    list,
    chosen ?? (() => path.address),
  );
  return {
    ...{path, link, leaderList, list},
    close() {
      link.stop();
      server.close();
      path.close();
    },
  };
}

// The connection to the leader goes silent without an end, while new ones
// work. The request that waits on it is told that nobody answers, in time to be
// placed without the leader; then the router must reach the leader again over
// a connection of its own, and slots taken on the silent one must come back
// once the leader sees its end.
void tap.test('a silent connection to the leader is left', async t => {
  const {path, link, close} = await startScene();
  await until(async () => {
    const place = await acquire(link);
    if (place.kind === 'granted') place.end('answered', 10);
    return place.kind === 'granted';
  });

  path.silence();
  const began = performance.now();
  t.equal((await acquire(link)).kind, 'unavailable');
  const tookMs = performance.now() - began;
  t.ok(tookMs < 1_500, `told after ${tookMs} ms`);
  await until(async () => {
    const place = await acquire(link);
    if (place.kind === 'granted') place.end('answered', 10);
    return place.kind === 'granted';
  });
  // Both slots are there: none is lost with the silent connection.
  await until(async () => {
    const places = [await acquire(link), await acquire(link)];
    for (const place of places) {
      if (place.kind === 'granted') place.end('answered', 10);
    }
    return places.every(({kind}) => kind === 'granted');
  });
  close();
  t.pass();
});

// The store is silent for this router only, and a server leaves. The leader,
// which is in touch, tells within moments; a router that waited for its own
// reads would send the server requests for as long as that lasts.
void tap.test('what the leader reads reaches all routers', async t => {
  const {leaderList, list, close} = await startScene();
  const listed = {kind: 'listed', server: SERVER} as const;
  leaderList.applyRead({
    kind: 'read',
    isWhole: true,
    changes: [listed],
    cursor: 1,
  });
  await until(async () => list.has('s1'));
  const leaving = {...listed, server: {...SERVER, isLeaving: true}};
  list.applyRead({kind: 'failed', detail: 'silent'});
  leaderList.applyRead({
    kind: 'read',
    isWhole: false,
    changes: [leaving],
    cursor: 2,
  });
  const began = performance.now();
  await until(async () => list.snapshot()!.servers[0]!.isLeaving);
  const tookMs = performance.now() - began;
  t.ok(tookMs < 1_500, `told after ${tookMs} ms`);
  close();
});

// The leader is lost together with a host that should lead next: it takes what
// it is asked and says nothing, or refuses. Whoever asks must go on to the next
// one before callers' time is over.
void tap.test(
  'one that is asked to lead answers soon or counts as gone',
  async t => {
    const {path, link, close} = await startScene();
    t.equal(await link.offerLeadership(path.address), true);
    t.equal(await link.offerLeadership(await freeAddress()), false, 'refused');
    const open: Socket[] = [];
    const silent = createServer(socket => void open.push(socket));
    const address = await listenAny(silent);
    const began = performance.now();
    t.equal(await link.offerLeadership(address), false);
    const tookMs = performance.now() - began;
    t.ok(tookMs < 2_000, `given up after ${tookMs} ms`);
    silent.close();
    for (const socket of open) socket.destroy();
    close();
  },
);

// The leader is lost, and the platform turns this router away, so that it can't
// be told who was chosen since. The leader had named who should lead next: the
// router finds the next one there, and its callers are served in the meantime;
// asked by each of 195 routers for a list of all, the platform had a thousand
// calls a second.
void tap.test('the next leader is found among those named', async t => {
  let known: string | null = null;
  const first = await startScene(() => known);
  const next = await startScene();
  known = first.path.address;
  const hello = await followAs(first.path.address, next.path.address);
  await until(async () => first.link.deputies().length > 0);
  known = null;
  hello.stop();
  first.path.close();
  first.path.silence();
  await until(async () => first.link.leader() === next.path.address);
  t.equal(first.link.leader(), next.path.address);
  first.close();
  next.close();
});

/** A router at `address` that follows the leader, and says that it has room. */
async function followAs(leader: string, address: string): Promise<LinkClient> {
  const link = startRouter(
    {address, room: ROOM, dataCentre: 'b'},
    createServerList(createClock(), () => undefined, 2_000),
    () => leader,
  );
  await until(async () => link.leader() !== null);
  return link;
}
