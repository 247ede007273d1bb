import type {CellDescription} from '@banyandrum/ownership/cell-leader.js';
import {runOwnershipMeter} from '@banyandrum/router/ownership-meter.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import {Registry} from 'prom-client';
import tap from 'tap';

interface Owned {
  readonly server: string | null;
  readonly servable: boolean;
}

function describe(shards: readonly Owned[]): CellDescription {
  const rest = {
    ...{state: 'held', next: null, busy: 0},
    ...{reason: '', movedAgoMs: null},
  };
  return {
    cell: 'holds/0',
    epoch: 1,
    mayAct: true,
    servers: [],
    shards: shards.map((owned, i) => ({...rest, ...owned, shard: `${i}`})),
  } as CellDescription;
}

// Two shards: a server is lost for two looks, then both are served again, one
// by another server. Operators must see one move and the time of both shards.
void tap.test('moves and unserved time of shards', async t => {
  const clock = createManualClock();
  const registry = new Registry();
  const abort = new AbortController();
  const a = {server: 'a', servable: true};
  const lost = {server: 'a', servable: false};
  const b = {server: 'b', servable: true};
  let shards = [a, a];
  const cells = {
    start: () => {
      throw new Error('not asked for');
    },
    describe: () => [describe(shards)],
  };
  const done = runOwnershipMeter(registry, cells, clock, abort.signal);
  await clock.advance(1000);
  shards = [lost, lost];
  await clock.advance(2000);
  shards = [a, b];
  await clock.advance(1000);
  const text = await registry.metrics();
  t.match(text, 'banyandrum_cell_shard_moves_total{cell="holds/0"} 1');
  const seconds = 'banyandrum_cell_unserved_shard_seconds_total';
  t.match(text, `${seconds}{cell="holds/0"} 4`);
  abort.abort();
  await done;
});
