import tap from 'tap';
import {createCanceller} from '@banyandrum/base/cancel.js';
import {createClock} from '@banyandrum/base/clock.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {forward} from '@banyandrum/dispatch/forward.js';
import type {ForwardConfig} from '@banyandrum/dispatch/forward-state.js';
import type {Owners} from '@banyandrum/dispatch/owners.js';
import {createQuarantine} from '@banyandrum/dispatch/quarantine.js';
import {createCrashDetector} from '@banyandrum/dispatch/crash-detector.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createServerRests} from '@banyandrum/dispatch/server-rests.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import type {SlotOutcome, SlotRequest} from '@banyandrum/dispatch/slots.js';
import {readLoad} from '@banyandrum/dispatch/wire.js';
import {kindOf} from '@banyandrum/service-times/kind.js';
import type {TimeSample} from '@banyandrum/service-times/time-model.js';
import {openPaths} from './open-paths.js';
import {listenRaw, NAMES} from './raw-server.js';

// Guards against load reports that are rejected as a server adds or omits the
// slowdown, and against slowdowns that no machine has.
void tap.test('load reports with and without a slowdown', async t => {
  const load = {running: 3, waiting: 0, slots: 8};
  t.same(readLoad('3,0,8'), load);
  t.same(readLoad('3,0,8,290'), {...load, slowdown: 2.9});
  t.same(readLoad('3, 0, 8, 100'), {...load, slowdown: 1});
  for (const text of ['3,0,8,', '3,0,8,x', '3,0,8,0', '3,0,8,-5', '3,0,8,1e9'])
    t.same(readLoad(text), load, text);
  t.equal(readLoad('3,0'), null);
});

interface Observed {
  readonly asked: SlotRequest[];
  readonly released: (readonly [SlotOutcome, number | undefined])[];
  readonly recorded: TimeSample[];
}

const NO_OWNERS: Owners = {
  ownerOf: () => ({kind: 'none'}),
  waitForChange: async () => undefined,
  noteRequest: () => undefined,
  noteNotHeld: () => undefined,
  notHeldMs: () => 0,
  noteReplaced: () => undefined,
};

/** Sends one request of the route to a server that answers with this head. */
async function send(head: string, keepsTimes: boolean): Promise<Observed> {
  const observed: Observed = {asked: [], released: [], recorded: []};
  const server = await listenRaw(socket => socket.write(head));
  const clock = createClock();
  const backends = createBackends(clock);
  const address = server.origin.slice('http://'.length);
  backends.update([
    {
      ...{id: 's1', service: 'holds', address, dataCentre: 'a'},
      ...{slots: 2, isLeaving: false, coldUntil: 0},
    },
  ]);
  const emit = (): void => undefined;
  const record = (sample: TimeSample): void =>
    void observed.recorded.push(sample);
  const cfg: ForwardConfig = {
    ...{backends, clock, emit, names: NAMES, owners: NO_OWNERS},
    slotProvider: {
      async acquire(req) {
        observed.asked.push(req);
        return {
          ...{kind: 'granted', server: 's1'},
          release: (outcome, _, slowdown) =>
            void observed.released.push([outcome, slowdown]),
        };
      },
    },
    ...{dataCentre: 'a', regionOf: () => 'north', ...openPaths(clock)},
    budget: {
      ...{deposit: () => undefined, hasLeft: () => false},
      ...{tryWithdraw: () => false, services: () => []},
      ...{configure: () => undefined},
      basis: () => ({left: 0, share: 0, routers: 1, routersAgeMs: 0}),
    },
    recordRetry: () => undefined,
    catchUp: () => null,
    leaderlessRetryMs: () => 300,
    quarantine: createQuarantine(
      createSuspects(clock, emit),
      createCrashDetector({clock, probe: async () => 'open'}),
    ),
    requestLimits: {takeShareToken: () => true},
    limits: createServerLimits({clock, emit}),
    rests: createServerRests({clock, emit}),
    noteLeaving: () => undefined,
    routers: {current: () => 1, ageMs: () => 0},
    ...(keepsTimes && {times: {record}}),
  };
  const route = {
    ...{name: 'slot-check', pathPrefix: '/holds/', kind: 'idempotent' as const},
    ...{timeoutMs: 500, targetLatencyMs: 200, priority: 1, maxAttempts: 1},
    ...{targets: [{service: 'holds', weight: 1}], homeRegions: null},
  };
  await forward(cfg, {
    ...{id: 'r1', method: 'POST', path: '/holds/7', body: null, route},
    ...{headers: [NAMES.requestId, 'r1'], caller: '10.0.0.1'},
    contents: () => ({exact: 'e', anyCaller: 'c', anyQuery: 'q'}),
    ...{service: 'holds', key: null, firstAskedAt: clock.now()},
    ...{deadline: clock.now() + 500, signal: createCanceller().signal},
    sendSignal: createCanceller().signal,
  });
  await server.close();
  return observed;
}

const ANSWER =
  `HTTP/1.1 200 OK\r\nx-signature: s\r\n${NAMES.load}: 1,0,2,250\r\n` +
  'content-length: 2\r\n\r\nok';
const FAILURE =
  `HTTP/1.1 500 No\r\nx-signature: s\r\n${NAMES.load}: 1,0,2,250\r\n` +
  'content-length: 0\r\n\r\n';

// Guards against times that are learnt of the wrong route or from failures,
// which take no time.
void tap.test('answers of servers are recorded by route', async t => {
  const {asked, released, recorded} = await send(ANSWER, true);
  const kind = kindOf('slot-check');
  t.equal(asked[0]!.kind, kind);
  t.same(released, [['answered', 2.5]]);
  t.match(recorded, [{service: 'holds', kind, server: 's1', slowdown: 2.5}]);
  t.ok(recorded[0]!.tookMs > 0);
  t.same((await send(FAILURE, true)).recorded, []);
});

// Guards against bytes and work that a deployment pays for without using them.
void tap.test('without request times nothing is sent of them', async t => {
  const {asked, released} = await send(ANSWER, false);
  t.notOk('kind' in asked[0]!);
  t.same(released, [['answered', undefined]]);
});

// Guards against two services that confuse the requests of all routes.
void tap.test('kinds of routes', async t => {
  const names = Array.from({length: 500}, (_, at) => `route-${at}`);
  const kinds = names.map(kindOf);
  t.ok(kinds.every(kind => kind > 0 && kind < 65_536));
  t.ok(new Set(kinds).size > 490);
});
