import tap from 'tap';
import {createCanceller} from '@banyandrum/base/cancel.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {findTarget} from '@banyandrum/dispatch/find-target.js';
import type {ForwardState} from '@banyandrum/dispatch/forward-state.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import {NAMES} from './raw-server.js';

// Connections to the leader are reset under a burst. Each router may have two
// connections to a server, and all go to the server that seems quickest; those
// who found its connections in use waited for them until half of the aim had
// passed, and were refused, with idle servers beside it: 6,144 times in two
// seconds of a day of 81 hosts.
void tap.test('a server without a free connection is passed by', async t => {
  const clock = createManualClock(1_000);
  const backends = createBackends(clock);
  backends.setConnectionLimit(() => 1);
  const ids = ['quick', 'slow'];
  backends.update(
    ids.map((id, at) => ({
      ...{id, service: 'holds', address: `127.0.0.1:${at + 1}`},
      ...{dataCentre: 'a', slots: 4, isLeaving: false, coldMs: 0},
    })),
  );
  backends.get('quick')!.serviceMs = 10;
  backends.get('slow')!.serviceMs = 100;
  const events: string[] = [];
  const route = {targetLatencyMs: 500, priority: 1, kind: 'idempotent'};
  const journey = {
    cfg: {
      ...{
        backends,
        clock,
        names: NAMES,
        dataCentre: 'a',
        routerCount: () => 81,
      },
      emit: (event: string) => void events.push(event),
      slotProvider: {acquire: async () => ({kind: 'unavailable'})},
      quarantine: {standingOf: () => 'unknown'},
      limits: {takeShareToken: () => true},
      rests: {remainingMs: () => 0, count: () => 0},
    },
    req: {
      ...{id: 'r1', service: 'holds', key: null, route, firstAskedAt: 1_000},
      ...{deadline: 3_000, signal: createCanceller().signal},
    },
    excluded: new Set<string>(),
  } as unknown as ForwardState;
  const first = await findTarget(journey);
  t.equal(first?.backend.info.id, 'quick');
  const second = await findTarget(journey);
  t.equal(second?.backend.info.id, 'slow');
  t.same(events, []);
  const waiting = findTarget(journey);
  first!.backend.connections.release(first!.connection, true);
  await clock.advance(100);
  t.equal((await waiting)?.backend.info.id, 'quick', 'as soon as one is free');
  for (const id of ids) backends.get(id)!.connections.retire();
});
