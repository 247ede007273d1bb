import tap from 'tap';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import type {EventFields} from '@banyandrum/dispatch/events.js';
import {listAssignableServers} from '@banyandrum/gateway/assignable-servers.js';
import {toLatencyProfile} from '@banyandrum/gateway/latency-profile.js';
import {createMetrics} from '@banyandrum/gateway/metrics.js';
import {
  createRequestTimes,
  type RequestTimes,
} from '@banyandrum/gateway/request-times.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import {createServiceTimes} from '@banyandrum/gateway/service-times.js';
import type {Route, RoutingConfig} from '@banyandrum/routing/config.js';
import {kindOf} from '@banyandrum/service-times/kind.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

const route = (name: string, targetLatencyMs: number): Route => ({
  ...{name, pathPrefix: `/${name}/`, kind: 'idempotent', timeoutMs: 3_000},
  ...{targetLatencyMs, priority: 0, maxAttempts: 2, homeRegions: null},
  targets: [{service: 'lockers', weight: 1}],
});

function configOf(routes: readonly Route[]): RoutingConfig {
  const service = {
    ...{name: 'lockers', maxConnections: 8, isKeyed: true},
    ...{coldMs: 0, coldPerSecond: null},
  };
  return {
    version: 1,
    hosts: new Map([
      ['perilo.example', new Map(routes.map(each => [each.pathPrefix, each]))],
    ]),
    services: new Map([['lockers', service]]),
    limits: {
      ...{maxHeaderBytes: 1, maxBodyBytes: 1},
      ...{headerTimeoutMs: 1, idleTimeoutMs: 1},
    },
  };
}

const CHECK = route('slot-check', 500);
const CONFIRM = route('handover-confirm', 800);
const CONFIG = configOf([CHECK, CONFIRM]);

const SERVERS = ['s1', 's2'].map((id, at): ServerInfo => ({
  ...{id, service: 'lockers', address: `10.0.0.${at}:80`, dataCentre: 'a'},
  ...{slots: 3, isLeaving: false, coldUntil: 0},
}));

interface Harness {
  readonly clock: ManualClock;
  readonly times: RequestTimes;
  readonly lines: EventFields[];
  config: RoutingConfig;
  isLeading: boolean;
  list(servers: readonly ServerInfo[]): void;
  /** Records 60 answers of each route by each server; the second is slower. */
  answer(): void;
}

function setUp(mode: 'per_kind' | 'per_service' = 'per_kind'): Harness {
  const clock = createManualClock(1_000);
  const lines: EventFields[] = [];
  const list = createServerList(clock, () => undefined, 2_000);
  let cursor = 0;
  const times = createRequestTimes({
    ...{clock, list, mode},
    emit: (event, fields) =>
      void (event === 'request-times' && lines.push(fields)),
    config: () => harness.config,
    isLeading: () => harness.isLeading,
  });
  const harness: Harness = {
    ...{clock, times, lines, config: CONFIG, isLeading: true},
    list: servers => list.applySnapshot({cursor: ++cursor, servers}, 0),
    answer() {
      for (let each = 0; each < 60; each++) {
        for (const [server, slowness] of [
          ['s1', 0.7],
          ['s2', 1.3],
        ] as const) {
          for (const [name, workMs] of [
            ['slot-check', 160],
            ['handover-confirm', 210],
          ] as const) {
            times.part.times!.record({
              ...{service: 'lockers', kind: kindOf(name), server},
              ...{tookMs: workMs * slowness, slowdown: null},
            });
          }
        }
      }
    },
  };
  return harness;
}

// Guards against a log that a large deployment floods, or that says nothing of
// which servers are slow.
void tap.test('a leader logs its times every ten seconds', async t => {
  const harness = setUp();
  const {clock, lines, times} = harness;
  harness.list(SERVERS);
  await clock.advance(1_000);
  harness.answer();
  await clock.advance(20_000);
  t.equal(lines.length, 2);
  t.match(lines[0], {service: 'lockers', servers: 2});
  t.match(lines[0]!['routes'], /^slot-check:1[56]\d handover-confirm:2\d\d$/);
  t.match(lines[0]!['slowest'], /^s2:1\.[23]\d s1:0\.7\d$/);
  harness.isLeading = false;
  await clock.advance(20_000);
  t.equal(lines.length, 2);
  times.stop();
});

// Guards against memory that holds servers and routes that are gone.
void tap.test('the model follows the list and the configuration', async t => {
  const harness = setUp();
  const {clock, times} = harness;
  harness.list(SERVERS);
  await clock.advance(1_000);
  harness.answer();
  t.equal(times.servers().length, 2);
  harness.list(SERVERS.slice(0, 1));
  t.same(
    times.servers().map(({server}) => server),
    ['s1'],
  );
  harness.config = configOf([CHECK]);
  await clock.advance(1_000);
  t.same(
    times.routeTimes().map(each => each.route),
    ['slot-check'],
  );
  times.stop();
});

// Guards against keys that are placed by targets of other routes, or by shares
// that don't add up.
void tap.test('the latency profile of a service', async t => {
  const harness = setUp();
  harness.list(SERVERS);
  await harness.clock.advance(1_000);
  t.equal(harness.times.profileOf('lockers'), null);
  harness.answer();
  const {kinds, spread} = harness.times.profileOf('lockers')!;
  t.same(kinds.map(({targetMs}) => targetMs).sort(), [500, 800]);
  const total = (of: (each: (typeof kinds)[0]) => number): number =>
    kinds.reduce((sum, each) => sum + of(each), 0);
  t.ok(Math.abs(total(({share}) => share) - 1) < 1e-9);
  const meanWork = total(({share, relativeWork}) => share * relativeWork);
  t.ok(Math.abs(meanWork - 1) < 1e-9);
  const [check, confirm] = kinds;
  const ratio = confirm!.relativeWork / check!.relativeWork;
  t.ok(Math.abs(ratio - 210 / 160) < 0.05, `${ratio}`);
  const mean = spread.reduce((sum, each) => sum + each, 0) / spread.length;
  t.ok(Math.abs(mean - 1) < 1e-9);
  t.same(
    spread,
    [...spread].sort((a, b) => a - b),
  );
  const unknown = {kinds: [{kind: 0, share: 1, workMs: 9}], spread: [1]};
  t.equal(toLatencyProfile(unknown, CONFIG), null);
  harness.times.stop();
});

// Guards against a planner that takes servers of unlike speed for equal, and
// against one that changes without the setting.
void tap.test('times of servers for the planner', async t => {
  const {clock, times, ...harness} = setUp();
  const backends = createBackends(clock);
  backends.update(SERVERS);
  harness.list(SERVERS);
  harness.answer();
  const cfg = {
    ...{backends, clock, times: createServiceTimes()},
    ...{limits: {limitOf: () => null}, hasEnded: () => false},
    paths: {isOpen: () => true},
  };
  const timesOf = (requestTimes = times.part.times): readonly number[] =>
    listAssignableServers({...cfg, requestTimes}, 'lockers').map(
      ({serviceMs}) => serviceMs,
    );
  const [fast, slow] = timesOf();
  t.ok(slow! / fast! > 1.6, `${slow} and ${fast}`);
  t.same(
    listAssignableServers(cfg, 'lockers').map(({serviceMs}) => serviceMs),
    [300, 300],
  );
  times.stop();
});

// Guards against metrics that only some routers can explain: followers know the
// times of their own requests only.
void tap.test('metrics of the leader', async t => {
  const harness = setUp();
  harness.list(SERVERS);
  await harness.clock.advance(1_000);
  harness.answer();
  const zero = (): number => 0;
  const source = new Proxy(
    {
      requestTimes: harness.times,
      isLeading: () => harness.isLeading,
      retriesLeft: () => [],
      slotRefusals: () => [],
    },
    {get: (target, name) => Reflect.get(target, name) ?? zero},
  );
  const {server} = createMetrics(source as never, () => false);
  const read = (): Promise<string> =>
    new Promise(resolve => {
      const res = {writeHead: () => undefined, end: resolve};
      server.emit('request', {}, res);
    });
  const text = await read();
  t.match(
    text,
    /route_service_seconds\{service="lockers",route="slot-check"\}/,
  );
  t.match(text, /server_slowness\{service="lockers",server="s2"\} 1\.[23]/);
  harness.isLeading = false;
  t.notMatch(await read(), /server_slowness\{/);
  harness.times.stop();
});

// Guards against a setting that costs memory or lines where it is off.
void tap.test('times by service only', async t => {
  const {clock, times, lines} = setUp('per_service');
  t.same(times.part, {});
  await clock.advance(30_000);
  t.same(lines, []);
  t.same([times.servers(), times.routeTimes()], [[], []]);
  t.equal(times.profileOf('lockers'), null);
  times.stop();
});
