import {createSilentLogger} from '@banyandrum/base/logger.js';
import {Ok} from '@banyandrum/base/result.js';
import {EMPTY_STATE} from '@banyandrum/config/fold.js';
import {
  createNewestSnapshot,
  runSnapshotWriter,
} from '@banyandrum/config/snapshot-writer.js';
import type {ClusterState, View} from '@banyandrum/config/state.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import tap from 'tap';
import {createRandom} from './generate-records.js';

const ROUTERS = 300;
const READ_MS = 300;

void tap.test('few of many routers write the same snapshot', async t => {
  // Every router finds at the same moment that a snapshot is due. Had they
  // only five seconds between them, some twenty of 300 would write one, and
  // some 280 of 4,700, each of hundreds of kB that everybody then reads: the
  // log and its readers would be busy with that twice an hour.
  const clock = createManualClock();
  const random = createRandom(5);
  const stopping = new AbortController();
  const schedule = {afterMs: 1_800_000, afterRecords: 100, jitterMs: 5_000};
  const views = Array.from({length: ROUTERS}, (_, i) => viewOf(`holds/${i}`));
  const state: ClusterState = {
    ...EMPTY_STATE,
    next: 101,
    views: new Map(views.map(view => [view.cell, view])),
  };
  const newests = Array.from({length: ROUTERS}, () =>
    createNewestSnapshot(clock, schedule, random),
  );
  let written = 0;
  const append = async ({next}: {readonly next: number}) => {
    written++;
    clock.after(READ_MS, () => {
      for (const newest of newests) newest.note(next, true);
    });
    return Ok(null);
  };
  const writers = newests.map(newest =>
    runSnapshotWriter({
      clock,
      log: createSilentLogger(),
      random,
      schedule,
      newest,
      append,
      current: () => state,
      confirmedAt: () => clock.now(),
      signal: stopping.signal,
    }),
  );
  await clock.advance(40_000);
  stopping.abort();
  await Promise.all(writers);
  t.ok(written >= 1, 'somebody writes it');
  t.ok(written <= 8, `${written} routers wrote it`);
});

function viewOf(cell: string): View {
  const leader = {
    host: 'entry-1',
    address: '10.0.0.1:7500',
    boot: 'a',
    dataCentre: 'naroda',
  };
  return {cell, epoch: 1, leader, standby: null, unsettled: []};
}
