import tap from 'tap';
import type {Clock} from '@banyandrum/base/clock.js';
import {kindOf} from '@banyandrum/service-times/kind.js';
import {
  ANY_SERVER,
  createTimeModel,
  type TimeModel,
} from '@banyandrum/service-times/time-model.js';
import {
  simulateTimes,
  type Deployment,
  type RouteLoad,
  type TimeSimulation,
} from './simulate-times.js';

const route = (
  ...[name, service, perSecond, workMs]: [string, string, number, number]
): RouteLoad => ({route: name, perSecond, workMs, serviceAt: () => service});

const SERANTAU_SERVICES = ['memory', 'glossary', 'checks', 'spare'];

const PERILO: Deployment = {
  servers: {lockers: 120, history: 65},
  speeds: [0.7, 0.7, 1.6],
  routes: [
    route('slot-check', 'lockers', 686, 160),
    route('handover-confirm', 'lockers', 256, 210),
    route('linen-history', 'history', 221, 400),
  ],
  reportsSlowdown: true,
};

const SERANTAU: Deployment = {
  servers: {memory: 73, glossary: 35, checks: 52, spare: 7},
  speeds: [0.7, 0.7, 1.6],
  routes: [
    route('segment-lookup', 'memory', 519, 190),
    route('tm-commit', 'checks', 190, 250),
    route('glossary-pull', 'glossary', 147, 470),
    {
      ...route('match-check', 'memory', 121, 75),
      serviceAt: at => SERANTAU_SERVICES[Math.floor(at / 5_000) % 4]!,
    },
  ],
  reportsSlowdown: true,
};

const MIXES = {perilo: PERILO, serantau: SERANTAU} as const;
const WARM_UP_MS = 16_000;
const SEEDS = [1, 2, 3];

const createModel = (clock: Clock): TimeModel => createTimeModel({clock});

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

/** Relative errors of the usual and of the present estimates. */
function errorsOf(
  simulation: TimeSimulation,
  model: TimeModel,
  {routes}: Deployment,
): {usual: number[]; expected: number[]} {
  const usual: number[] = [];
  const expected: number[] = [];
  for (const {route: name, workMs, serviceAt} of routes) {
    const service = serviceAt(simulation.clock.now());
    const kind = kindOf(name);
    for (const server of simulation.servers) {
      if (server.service !== service) continue;
      const usualMs = simulation.trueUsualMs(workMs, server);
      const expectedMs = simulation.trueExpectedMs(workMs, server);
      const usualRatio = model.usualMs(service, kind, server.id)! / usualMs;
      const ratio = model.expectedMs(service, kind, server.id)! / expectedMs;
      usual.push(Math.abs(usualRatio - 1));
      expected.push(Math.abs(ratio - 1));
    }
  }
  return {usual, expected};
}

// Guards against requests that are queued, placed or refused by a time that is
// far from the true one: a mean over all servers is wrong by half for most.
for (const [name, deployment] of Object.entries(MIXES)) {
  for (const reportsSlowdown of [true, false]) {
    const title = `times of ${name}, slowdown reported: ${reportsSlowdown}`;
    void tap.test(title, async t => {
      const load = {...deployment, reportsSlowdown};
      for (const seed of SEEDS) {
        const simulation = simulateTimes(load, seed, createModel);
        simulation.runUntil(WARM_UP_MS);
        const errors = errorsOf(simulation, simulation.model, load);
        const usual = median(errors.usual);
        const expected = median(errors.expected);
        t.comment(`seed ${seed}: ${usual.toFixed(3)} ${expected.toFixed(3)}`);
        t.ok(usual <= 0.25, `usual time, error ${usual}`);
        t.ok(expected <= 0.25, `expected time, error ${expected}`);
      }
    });
  }
}

// Guards against a new leader that estimates by the mean of the service for the
// seconds in which it learns, while the backlog of the change is served.
void tap.test('a successor has the estimates at once', async t => {
  const simulation = simulateTimes(PERILO, 4, createModel);
  const successor = createTimeModel(simulation);
  let revision = 0;
  let bytes = 0;
  for (let at = 1_000; at <= WARM_UP_MS; at += 1_000) {
    simulation.runUntil(at);
    const rows = simulation.model.rows(revision);
    revision = simulation.model.revision();
    const wire = JSON.stringify(rows);
    if (at > WARM_UP_MS / 2) bytes += wire.length;
    successor.merge(JSON.parse(wire));
  }
  const errors = errorsOf(simulation, successor, PERILO);
  t.ok(median(errors.usual) <= 0.25, `error ${median(errors.usual)}`);
  t.ok(median(errors.expected) <= 0.25, `error ${median(errors.expected)}`);
  const perSecond = bytes / (WARM_UP_MS / 2_000);
  t.comment(`${Math.round(perSecond)} bytes per second`);
  t.ok(perSecond <= 6_000, `${perSecond} bytes per second`);
  const {kinds, spread} = successor.profile('lockers')!;
  const check = kinds.find(({kind}) => kind === kindOf('slot-check'))!;
  t.ok(Math.abs(check.share - 686 / (686 + 256)) <= 0.1, `${check.share}`);
  t.equal(spread.length, simulation.model.profile('lockers')!.spread.length);
  successor.merge([['x', 'row of a later version'] as never]);
});

// Guards against memory that grows with each restart of a server and each change
// of the routes.
void tap.test('rows of servers and kinds that are gone', async t => {
  const model = createTimeModel({clock: {now: () => 1, after: () => () => {}}});
  const record = (kind: number, server: string): void =>
    model.record({service: 'a', kind, server, tookMs: 100, slowdown: null});
  const services = new Set(['a']);
  const kinds = new Set([1, 2]);
  for (let run = 0; run < 200; run++) {
    const servers = new Set([`s~${run}`, `s~${run + 1}`]);
    model.retain({services, servers, kinds});
    for (let kind = 1; kind < 50; kind++) record(kind, `s~${run}`);
    record(1, 'unlisted');
    model.merge([['v', `s~${run + 9}`, 'a', 9, 2, 0, 0]]);
    model.merge([['k', 'a', 60 + run, 9, 2, 1]]);
  }
  t.same(
    model.servers().map(({server}) => server),
    ['s~199'],
  );
  t.same(
    model
      .profile('a')!
      .kinds.map(({kind}) => kind)
      .sort(),
    [1, 2],
  );
  t.equal(model.rows().length, 4);
  model.retain({services: new Set(), servers: new Set(), kinds});
  t.same(model.rows(), []);
  t.equal(model.usualMs('a', 1, 's~199'), null);
});

// Guards against estimates from nothing, and against routes that are rated by
// the mean of a service that they have just moved to.
void tap.test('few samples', async t => {
  const model = createTimeModel({
    clock: {now: () => 0, after: () => () => {}},
  });
  t.equal(model.usualMs('a', 1, 's1'), null);
  t.equal(model.profile('a'), null);
  t.equal(model.slowness('s1'), 1);
  const record = (service: string, kind: number, tookMs: number): void =>
    model.record({
      service,
      kind,
      server: `${service}1`,
      tookMs,
      slowdown: null,
    });
  record('a', 1, 900);
  t.equal(Math.round(model.usualMs('a', 1, 'a1')!), 900);
  for (let each = 0; each < 40; each++) record('a', 1, 100);
  for (let each = 0; each < 40; each++) record('b', 2, 400);
  const movedMs = model.usualMs('b', 1, ANY_SERVER)!;
  t.ok(movedMs < 150, `${movedMs}`);
  t.ok(model.usualMs('b', 0, ANY_SERVER)! > 350);
});

// Guards against a slowdown that is believed long after it may have ended.
void tap.test('a reported slowdown counts for half a second', async t => {
  let now = 0;
  const model = createTimeModel({
    clock: {now: () => now, after: () => () => {}},
  });
  const record = (tookMs: number, slowdown: number): void =>
    model.record({service: 'a', kind: 1, server: 's1', tookMs, slowdown});
  for (let each = 0; each < 100; each++) {
    now += 1_000;
    record(100, 1);
  }
  now += 1_000;
  record(300, 3);
  const usualMs = model.usualMs('a', 1, 's1')!;
  t.ok(model.expectedMs('a', 1, 's1')! > usualMs * 2);
  now += 499;
  t.ok(model.expectedMs('a', 1, 's1')! > usualMs);
  now += 1;
  t.equal(model.expectedMs('a', 1, 's1'), usualMs);
});
