import tap from 'tap';
import type {Backend} from '@banyandrum/dispatch/backend.js';
import type {ProbeResult} from '@banyandrum/dispatch/crash-detector.js';
import {
  createServerPaths,
  type ServerPaths,
} from '@banyandrum/dispatch/server-paths.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

interface Setup {
  readonly clock: ManualClock;
  readonly paths: ServerPaths;
  /** Servers that were probed, in order. */
  readonly probed: string[];
  readonly results: Map<string, ProbeResult>;
  readonly listed: Set<string>;
}

function createSetup(count = 20): Setup {
  const clock = createManualClock(1_000);
  const probed: string[] = [];
  const results = new Map<string, ProbeResult>();
  const listed = new Set(Array.from({length: count}, (_, at) => `s${at}`));
  const paths = createServerPaths({
    ...{clock, emit: () => undefined},
    backendOf: id => (listed.has(id) ? backend(id) : undefined),
    async probe({info}) {
      probed.push(info.id);
      return results.get(info.id) ?? 'silent';
    },
  });
  return {clock, paths, probed, results, listed};
}

function backend(id: string): Backend {
  return {info: {id}} as unknown as Backend;
}

/** Fails the paths to the servers; others reach them. */
function cutOff({paths, clock}: Setup, ids: readonly string[]): void {
  for (const id of ids) {
    paths.noteFailed(backend(id), clock.now() - 1, 'no answer');
    paths.noteOtherView(id, true);
  }
}

void tap.test('a failed path is probed until it works', async t => {
  const setup = createSetup();
  const {clock, paths, probed, results} = setup;
  cutOff(setup, ['s1']);
  t.notOk(paths.isOpen('s1'));
  t.ok(paths.isOpen('s2'));
  await clock.advance(4_000);
  t.ok(probed.length >= 4 && probed.length <= 8, `${probed.length} probes`);
  results.set('s1', 'open');
  await clock.advance(1_200);
  t.ok(paths.isOpen('s1'));
  const count = probed.length;
  await clock.advance(10_000);
  t.equal(probed.length, count, 'nothing is probed while all paths work');
});

// Guards against probes that keep a stopped router's process alive.
void tap.test('a stopped router probes nothing', async t => {
  const setup = createSetup();
  const {clock, paths, probed} = setup;
  cutOff(setup, ['s1']);
  await clock.advance(600);
  const count = probed.length;
  paths.stop();
  cutOff(setup, ['s2']);
  await clock.advance(5_000);
  t.equal(probed.length, count);
});

// Guards against a wave of connections by each router during and after a cut.
void tap.test('probes of many failed paths are spaced out', async t => {
  const setup = createSetup(200);
  const {clock, paths, probed, results, listed} = setup;
  cutOff(setup, [...listed]);
  await clock.advance(5_000);
  t.ok(probed.length <= 41, `${probed.length} probes in 5 s`);
  const before = probed.length;
  for (const id of listed) results.set(id, 'open');
  await clock.advance(1_500);
  t.ok(probed.length - before <= 80, `${probed.length - before} in 1.5 s`);
  const open = [...listed].filter(id => paths.isOpen(id)).length;
  t.ok(open >= 55, `${open} paths restored within 1.5 s`);
});

void tap.test('paths of servers that are not listed any more go', async t => {
  const setup = createSetup();
  cutOff(setup, ['s1', 's2']);
  t.equal(setup.paths.unreachableCount(), 2);
  setup.listed.delete('s1');
  await setup.clock.advance(300);
  t.equal(setup.paths.unreachableCount(), 1);
});

// Guards against taking what one router fails to reach for a lost server, and
// against not believing in a lost server any more while a router is cut off.
void tap.test('what a failed path says of the server', async t => {
  const setup = createSetup();
  const {clock, paths} = setup;
  paths.noteFailed(backend('s1'), clock.now() - 1, 'refused');
  t.notOk(paths.isCutOff('s1'), 'one failure, nobody else asked');
  cutOff(setup, ['s2', 's3']);
  t.ok(paths.isRouterCutOff());
  t.ok(paths.isCutOff('s1'), 'presumed, as others are cut off');
  paths.noteOtherView('s1', false);
  t.notOk(paths.isCutOff('s1'), 'another router fails too');
  t.ok(paths.isLost('s1'));
  await clock.advance(600);
  t.notOk(paths.isLost('s1'), 'another router may reach it again');
  paths.noteReached('s2');
  t.notOk(paths.isRouterCutOff());
});

// Guards against using established connections that lost their way too.
void tap.test('connections are trusted if they answered since', async t => {
  const {clock, paths} = createSetup();
  t.equal(paths.trustedSince('s2'), -Infinity);
  paths.noteReached('s2');
  await clock.advance(10);
  paths.noteFailed(backend('s1'), clock.now() - 5, 'no answer');
  t.equal(paths.trustedSince('s2'), clock.now(), 'nobody answered since');
  paths.noteReached('s3');
  t.equal(paths.trustedSince('s2'), -Infinity, 'only that one fails');
  t.equal(paths.trustedSince('s1'), clock.now());
});

void tap.test('a silent server is verified once a second', async t => {
  const {clock, paths, probed, results} = createSetup();
  results.set('s1', 'open');
  const both = [1, 2].map(() => paths.verify(backend('s1'), clock.now()));
  t.same(await Promise.all(both), [true, true]);
  t.ok(await paths.verify(backend('s1'), clock.now()));
  t.same(probed, ['s1']);
  await clock.advance(1_100);
  results.set('s1', 'silent');
  t.notOk(await paths.verify(backend('s1'), clock.now()));
  t.notOk(paths.isOpen('s1'));
});
