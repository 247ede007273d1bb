import tap from 'tap';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {
  createSlotAllocator,
  type SlotAllocator,
} from '@banyandrum/slots/slot-allocator.js';
import type {SlotRequest} from '@banyandrum/dispatch/slots.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const SERVERS = 200;
const SLOTS = 2;
const WAITING = 600;
const ROUNDS = 500;
const SERVICE_MS = 180;

/** Number of property reads while slots are allocated. */
interface ReadCounts {
  serverReads: number;
  waiterReads: number;
}

/** Counts reads of each server's service time. */
function countServerReads(
  backends: readonly object[],
  reads: ReadCounts,
): void {
  for (const backend of backends) {
    let ms = SERVICE_MS;
    Object.defineProperty(backend, 'serviceMs', {
      get() {
        reads.serverReads++;
        return ms;
      },
      set(next: number) {
        ms = next;
      },
    });
  }
}

/** Creates a slot request that counts reads of its priority. */
function createRequest(at: number, reads: ReadCounts): SlotRequest {
  return {
    ...{id: `r${at}`, service: 'holds', key: null, excluded: []},
    ...{leftMs: 20_000, aimLeftMs: 10_000, askedMs: 0, dataCentre: 'a'},
    get priority() {
      reads.waiterReads++;
      return 1;
    },
  };
}

/** Ends one request and starts one in each millisecond, while many wait. */
async function measureAllocation(): Promise<ReadCounts> {
  const clock = createManualClock(1_000);
  const backends = createBackends(clock);
  backends.update(
    Array.from({length: SERVERS}, (_, at) => ({
      ...{id: `s${at}`, service: 'holds', address: `10.0.0.${at}:80`},
      ...{dataCentre: 'a', slots: SLOTS, isLeaving: false, coldUntil: 0},
    })),
  );
  const reads: ReadCounts = {serverReads: 0, waiterReads: 0};
  countServerReads(backends.ofService('holds'), reads);
  const allocator = createSlotAllocator({
    ...{backends, clock, emit: () => undefined},
    suspects: createSuspects(clock, () => undefined),
    limits: createServerLimits({clock, emit: () => undefined}),
    ownerOf: () => ({kind: 'none'}),
    onNotHeld: () => undefined,
  });
  const running: ReturnType<SlotAllocator['ask']>[] = [];
  let requestCount = 0;
  const sendRequest = (): void => {
    const release = allocator.ask(createRequest(requestCount++, reads), () => {
      // The reply may be called within `ask`, before `release` is assigned.
      queueMicrotask(() => running.push(release));
    });
  };
  for (let at = 0; at < SERVERS * SLOTS + WAITING; at++) sendRequest();
  await clock.advance(0);
  reads.serverReads = 0;
  reads.waiterReads = 0;
  for (let round = 0; round < ROUNDS; round++) {
    running.shift()!('answered', SERVICE_MS);
    sendRequest();
    await clock.advance(1);
  }
  return {
    serverReads: reads.serverReads / ROUNDS,
    waiterReads: reads.waiterReads / ROUNDS,
  };
}

// Guards against examining all servers and waiting requests for each slot.
// Under overload, a few hundred requests wait, and the leader allocates all
// slots; any extra work delays all callers. Scanning everything took most of
// its processor time: 404 reads of service times and 3,623 of priorities per
// slot.
void tap.test(
  'finding a place at a server does not scan all servers',
  async t => {
    const {serverReads, waiterReads} = await measureAllocation();
    t.comment(
      `servers ${serverReads.toFixed(1)}, waiters ${waiterReads.toFixed(1)}`,
    );
    t.ok(serverReads < SERVERS / 4, 'servers');
    t.ok(waiterReads < WAITING / 20, 'waiters');
  },
);
