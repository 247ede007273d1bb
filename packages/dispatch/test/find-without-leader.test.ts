import tap from 'tap';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {findTarget} from '@banyandrum/dispatch/find-target.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import {createLeaderlessState} from './leaderless-state.js';

// Guards against waiting for a connection to the fastest server while others
// are idle. When the connections to the leader were reset during a burst, all
// requests chose the server that seemed fastest, to which each router may have
// only two connections. The others waited for half of their target latency and
// were then refused: 6,144 in two seconds of a simulated day with 81 hosts.
void tap.test('a server without a free connection is passed by', async t => {
  const clock = createManualClock(1_000);
  const backends = createBackends(clock);
  backends.setConnectionLimit(() => 1);
  const ids = ['quick', 'slow'];
  backends.update(
    ids.map((id, at) => ({
      ...{id, service: 'holds', address: `127.0.0.1:${at + 1}`},
      ...{dataCentre: 'a', slots: 4, isLeaving: false, coldUntil: 0},
    })),
  );
  backends.get('quick')!.serviceMs = 10;
  backends.get('slow')!.serviceMs = 100;
  const events: string[] = [];
  const journey = createLeaderlessState(
    {
      ...{backends, clock, emit: event => void events.push(event)},
      routers: {current: () => 81, ageMs: () => 0},
    },
    {service: 'holds', key: null, targetLatencyMs: 500, timeLeftMs: 2_000},
  );
  const first = await findTarget(journey);
  t.equal(first?.backend.info.id, 'quick');
  const second = await findTarget(journey);
  t.equal(second?.backend.info.id, 'slow');
  t.same(events, []);
  const waiting = findTarget(journey);
  first!.backend.connections.release(first!.connection!, true);
  await clock.advance(100);
  t.equal(
    (await waiting)?.backend.info.id,
    'quick',
    'as soon as a connection is free',
  );
  for (const id of ids) backends.get(id)!.connections.retire();
});

// Guards against routers that start without a leader and each send a server as
// many requests as its limit allows to all of them.
void tap.test(
  'a router that knows no others takes little of a limit',
  async t => {
    const clock = createManualClock(1_000);
    const backends = createBackends(clock);
    backends.update([
      {
        ...{id: 's1', service: 'holds', address: '127.0.0.1:1'},
        ...{dataCentre: 'a', slots: 4, isLeaving: false, coldUntil: 0},
      },
    ]);
    const limits = createServerLimits({clock, emit: () => undefined});
    limits.mergeFromLeader([['s1', 10]]);
    let sent = 0;
    for (let at = 0; at < 400; at++) {
      await clock.advance(10);
      const journey = createLeaderlessState(
        {
          ...{backends, clock, requestLimits: limits},
          routers: {current: () => null, ageMs: () => Infinity},
        },
        {service: 'holds', key: null, targetLatencyMs: 2, timeLeftMs: 1_000},
      );
      const finding = findTarget(journey);
      await clock.advance(5);
      const target = await finding;
      if (target === null) continue;
      sent++;
      target.backend.connections.release(target.connection!, true);
    }
    // 6 s at 10 a second, of which 200 routers may use 0.45 without a leader.
    t.ok(sent <= 1, `${sent} requests of 60 that all may send`);
  },
);
