import tap from 'tap';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import {createBackends, type Backends} from '@banyandrum/dispatch/backends.js';
import {findTarget} from '@banyandrum/dispatch/find-target.js';
import type {ForwardState} from '@banyandrum/dispatch/forward-state.js';
import {findFreeServer} from '@banyandrum/slots/free-server.js';
import type {SlotAllocatorConfig} from '@banyandrum/slots/free-server.js';
import type {Owners} from '@banyandrum/dispatch/owners.js';
import type {SlotRequest} from '@banyandrum/dispatch/slots.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {createLeaderlessState} from './leaderless-state.js';

const OWNED_KEYS_MS = 2_000;
const TIMING = {ownedKeysMs: OWNED_KEYS_MS, coldMsOf: () => 0};
const KEYED = 'rounds';
const UNKEYED = 'desks';

interface Fixture {
  readonly clock: ManualClock;
  readonly backends: Backends;
  evacuate(...dataCentres: string[]): void;
  /** The server that the leader would choose; null if there is none. */
  leadersChoice(key: number | null): string | null;
  /** The server that a router without a leader finds; else why it refuses. */
  ownChoice(key: number | null): Promise<string>;
  close(): void;
}

/** Servers `a` and `b`, each in the data centre of its name; `a` owns all keys. */
function setUp(): Fixture {
  const clock = createManualClock(1_000);
  const backends = createBackends(clock);
  const infos = [KEYED, UNKEYED].flatMap(service =>
    ['a', 'b'].map((dataCentre): ServerInfo => ({
      ...{id: `${service}-${dataCentre}`, service, dataCentre, slots: 2},
      ...{address: '127.0.0.1:1', isLeaving: false, coldUntil: 0},
    })),
  );
  backends.update(infos);
  const limits = {
    ...{limitOf: () => null, hasToken: () => true},
    ...{takeToken: () => undefined, takeShareToken: () => true},
  };
  const owners = {
    ownerOf: () => ({kind: 'held', server: `${KEYED}-a`}) as const,
    ...{noteRequest: () => undefined, notHeldMs: () => 0},
    waitForChange: (_: string, ms: number) =>
      new Promise<void>(resolve => void clock.after(ms, resolve)),
  };
  const allocatorCfg = {
    ...{backends, clock, limits, ownerOf: owners.ownerOf},
  } as unknown as SlotAllocatorConfig;
  const serviceOf = (key: number | null): string =>
    key === null ? UNKEYED : KEYED;
  const stateOf = (key: number | null): ForwardState =>
    createLeaderlessState(
      {
        ...{backends, clock, requestLimits: limits},
        owners: owners as unknown as Owners,
      },
      {service: serviceOf(key), key, targetLatencyMs: 200, timeLeftMs: 2_000},
    );
  return {
    ...{clock, backends},
    evacuate: (...dataCentres) =>
      backends.setEvacuated(new Set(dataCentres), TIMING),
    leadersChoice(key) {
      const req = {service: serviceOf(key), key, dataCentre: 'a', excluded: []};
      const backend = findFreeServer(
        allocatorCfg,
        req as unknown as SlotRequest,
      );
      return backend?.info.id ?? null;
    },
    async ownChoice(key) {
      const state = stateOf(key);
      const found = findTarget(state);
      await clock.advance(300);
      const target = await found;
      if (target === null) return state.cause ?? 'not found in time';
      target.backend.connections.release(target.connection!, true);
      return target.backend.info.id;
    },
    close: () => backends.update([]),
  };
}

// Guards against requests to servers that operators want to be left alone.
void tap.test('an evacuated server gets no requests without keys', async t => {
  const {evacuate, leadersChoice, ownChoice, close} = setUp();
  evacuate('a');
  t.equal(leadersChoice(null), `${UNKEYED}-b`);
  t.equal(await ownChoice(null), `${UNKEYED}-b`);
  evacuate('b');
  t.equal(leadersChoice(null), `${UNKEYED}-a`, 'taken back');
  close();
});

void tap.test('owned keys are served there for a limited time', async t => {
  const {clock, evacuate, leadersChoice, ownChoice, close} = setUp();
  evacuate('a');
  t.equal(leadersChoice(7), `${KEYED}-a`, 'while they move');
  t.equal(await ownChoice(7), `${KEYED}-a`);
  await clock.advance(OWNED_KEYS_MS);
  t.equal(leadersChoice(7), null);
  t.not(await ownChoice(7), `${KEYED}-a`, 'whatever the leader does');
  evacuate('a', 'b');
  t.equal(leadersChoice(7), null, 'a further evacuation begins no new time');
  close();
});

// Guards against holding requests that nobody can serve to their deadline.
void tap.test('with all data centres evacuated, refuses at once', async t => {
  const {clock, evacuate, ownChoice, close} = setUp();
  evacuate('a', 'b');
  t.equal(await ownChoice(null), 'evacuated');
  await clock.advance(OWNED_KEYS_MS);
  t.equal(await ownChoice(7), 'evacuated');
  close();
});

void tap.test('servers listed during an evacuation get nothing', async t => {
  const {backends, evacuate, leadersChoice, close} = setUp();
  evacuate('a', 'b');
  const added = {
    ...{id: 'new', service: UNKEYED, dataCentre: 'b', slots: 2},
    ...{address: '127.0.0.1:1', isLeaving: false, coldUntil: 0},
  };
  backends.update([added]);
  t.equal(leadersChoice(null), null);
  close();
});
