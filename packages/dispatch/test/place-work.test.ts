import tap from 'tap';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {
  createPlaceIssuer,
  type PlaceIssuer,
} from '@banyandrum/dispatch/place-issuer.js';
import type {PlaceAsk} from '@banyandrum/dispatch/places.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const SERVERS = 200;
const SLOTS = 2;
const WAITING = 600;
const ROUNDS = 500;
const SERVICE_MS = 180;

/** What handing out places had to look at. */
interface Looks {
  servers: number;
  waiters: number;
}

/** Counts each look at a server's time. */
function watchServers(backends: readonly object[], looks: Looks): void {
  for (const backend of backends) {
    let ms = SERVICE_MS;
    Object.defineProperty(backend, 'serviceMs', {
      get() {
        looks.servers++;
        return ms;
      },
      set(next: number) {
        ms = next;
      },
    });
  }
}

/** An ask that counts each look at its urgency. */
function createAsk(at: number, looks: Looks): PlaceAsk {
  return {
    ...{id: `r${at}`, service: 'holds', key: null, excluded: []},
    ...{leftMs: 20_000, aimLeftMs: 10_000, askedMs: 0, dataCentre: 'a'},
    get priority() {
      looks.waiters++;
      return 1;
    },
  };
}

/** One request ends and one comes, each millisecond, while many wait. */
async function handOut(): Promise<Looks> {
  const clock = createManualClock(1_000);
  const backends = createBackends(clock);
  backends.update(
    Array.from({length: SERVERS}, (_, at) => ({
      ...{id: `s${at}`, service: 'holds', address: `10.0.0.${at}:80`},
      ...{dataCentre: 'a', slots: SLOTS, isLeaving: false, coldMs: 0},
    })),
  );
  const looks: Looks = {servers: 0, waiters: 0};
  watchServers(backends.ofService('holds'), looks);
  const issuer = createPlaceIssuer({
    ...{backends, clock, emit: () => undefined},
    suspects: createSuspects(clock, () => undefined),
    limits: createServerLimits({clock, emit: () => undefined}),
    ownerOf: () => ({kind: 'none'}),
  });
  const running: ReturnType<PlaceIssuer['ask']>[] = [];
  let asked = 0;
  const ask = (): void => {
    const end = issuer.ask(createAsk(asked++, looks), () => {
      // Told within `ask` where a place is free at once.
      queueMicrotask(() => running.push(end));
    });
  };
  for (let at = 0; at < SERVERS * SLOTS + WAITING; at++) ask();
  await clock.advance(0);
  looks.servers = 0;
  looks.waiters = 0;
  for (let round = 0; round < ROUNDS; round++) {
    running.shift()!('answered', SERVICE_MS);
    ask();
    await clock.advance(1);
  }
  return {servers: looks.servers / ROUNDS, waiters: looks.waiters / ROUNDS};
}

// More requests come than the servers take, some hundred wait, and one router
// hands out all places. Callers of all kinds are answered late by as much as it
// looks at more than it must: with a look at each server and each waiting
// request for every place, most of its processor's time went into looking.
// Looks a place before: 404 at servers' times, 3,623 at requests' urgency.
void tap.test('a place costs no look at all servers and waiters', async t => {
  const {servers, waiters} = await handOut();
  t.comment(`servers ${servers.toFixed(1)}, waiters ${waiters.toFixed(1)}`);
  t.ok(servers < SERVERS / 4, 'servers');
  t.ok(waiters < WAITING / 20, 'waiters');
});
