import tap from 'tap';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {
  createSlotAllocator,
  type SlotAllocator,
} from '@banyandrum/dispatch/place-issuer.js';
import type {SlotRequest} from '@banyandrum/dispatch/slots.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const SERVERS = 200;
const SLOTS = 2;
const WAITING = 600;
const ROUNDS = 500;
const SERVICE_MS = 180;

/** What handing out places had to look at. */
interface ReadCounts {
  serverReads: number;
  waiterReads: number;
}

/** Counts each look at a server's time. */
function countServerReads(
  backends: readonly object[],
  looks: ReadCounts,
): void {
  for (const backend of backends) {
    let ms = SERVICE_MS;
    Object.defineProperty(backend, 'serviceMs', {
      get() {
        looks.serverReads++;
        return ms;
      },
      set(next: number) {
        ms = next;
      },
    });
  }
}

/** An ask that counts each look at its urgency. */
function createRequest(at: number, looks: ReadCounts): SlotRequest {
  return {
    ...{id: `r${at}`, service: 'holds', key: null, excluded: []},
    ...{leftMs: 20_000, aimLeftMs: 10_000, askedMs: 0, dataCentre: 'a'},
    get priority() {
      looks.waiterReads++;
      return 1;
    },
  };
}

/** One request ends and one comes, each millisecond, while many wait. */
async function measureAllocation(): Promise<ReadCounts> {
  const clock = createManualClock(1_000);
  const backends = createBackends(clock);
  backends.update(
    Array.from({length: SERVERS}, (_, at) => ({
      ...{id: `s${at}`, service: 'holds', address: `10.0.0.${at}:80`},
      ...{dataCentre: 'a', slots: SLOTS, isLeaving: false, coldMs: 0},
    })),
  );
  const looks: ReadCounts = {serverReads: 0, waiterReads: 0};
  countServerReads(backends.ofService('holds'), looks);
  const issuer = createSlotAllocator({
    ...{backends, clock, emit: () => undefined},
    suspects: createSuspects(clock, () => undefined),
    limits: createServerLimits({clock, emit: () => undefined}),
    ownerOf: () => ({kind: 'none'}),
  });
  const running: ReturnType<SlotAllocator['ask']>[] = [];
  let asked = 0;
  const ask = (): void => {
    const end = issuer.ask(createRequest(asked++, looks), () => {
      // Told within `ask` where a place is free at once.
      queueMicrotask(() => running.push(end));
    });
  };
  for (let at = 0; at < SERVERS * SLOTS + WAITING; at++) ask();
  await clock.advance(0);
  looks.serverReads = 0;
  looks.waiterReads = 0;
  for (let round = 0; round < ROUNDS; round++) {
    running.shift()!('answered', SERVICE_MS);
    ask();
    await clock.advance(1);
  }
  return {
    serverReads: looks.serverReads / ROUNDS,
    waiterReads: looks.waiterReads / ROUNDS,
  };
}

// More requests come than the servers take, some hundred wait, and one router
// hands out all places. Callers of all kinds are answered late by as much as it
// looks at more than it must: with a look at each server and each waiting
// request for every place, most of its processor's time went into looking.
// Looks a place before: 404 at servers' times, 3,623 at requests' urgency.
void tap.test('a place costs no look at all servers and waiters', async t => {
  const {serverReads: servers, waiterReads: waiters} =
    await measureAllocation();
  t.comment(`servers ${servers.toFixed(1)}, waiters ${waiters.toFixed(1)}`);
  t.ok(servers < SERVERS / 4, 'servers');
  t.ok(waiters < WAITING / 20, 'waiters');
});
