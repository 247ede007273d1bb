import {createClock} from '@banyandrum/base/clock.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import {Ok} from '@banyandrum/base/result.js';
import {DEFAULT_RULES} from '@banyandrum/config/default-rules.js';
import {encodeState} from '@banyandrum/config/snapshot.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {
  ConsentRequest,
  OwnershipPeers,
} from '@banyandrum/ownership/control.js';
import type {RunningCell} from '@banyandrum/ownership/leadership.js';
import {createOwnership} from '@banyandrum/ownership/run-ownership.js';
import {deriveTiming} from '@banyandrum/ownership/timing.js';
import type {Series} from './slopes-fit.js';
import {hostOf, routerAt, stateOf} from './slopes-fixture.js';
import {pause, readOwn, sweep, type Work} from './slopes-sweep.js';

const IDLE_S = 3;
const CONSENT_MS = 250;

const clock = createClock();

/**
 * One router's part in ownership by the size of the whole system, idle: it
 * leads one cell and stands by for another, and as many cells and routers
 * exist. Messages reach nobody and are answered at once.
 */
export function measureLoop(): Promise<readonly Series[]> {
  const own = readOwn();
  return sweep(async () => [own()], [''], {
    name: 'ownership',
    of: 'cells',
    sizes: [300, 1_000, 2_000, 4_700],
    per: IDLE_S,
    unit: '/s',
    open: startOne,
  });
}

function startOne(size: number): Work {
  const routers = Array.from({length: size}, (_, i) => routerAt(i));
  const hosts = routers.map(hostOf);
  const state = stateOf(routers, size, 10);
  const byAddress = new Map(routers.map(router => [router.address, router]));
  const store = {
    current: () => state,
    confirmedAt: () => clock.now(),
    subscribe: () => () => {},
    append: () => new Promise(() => {}),
  } as unknown as StateStore;
  const peers = {
    ask: (_to: unknown, kind: string, ask: ConsentRequest) => {
      const granted = kind === 'consent' ? ask.cells.map(c => c.cell) : [];
      const leads = {leading: [], next: state.next, publication: 1};
      return Promise.resolve(Ok({granted, leaving: false, ...leads}));
    },
    probe: (address: string) => Promise.resolve(Ok(byAddress.get(address)!)),
  } as unknown as OwnershipPeers;
  const ownership = createOwnership({
    self: routers[0]!,
    store,
    hosts: {current: () => hosts},
    peers,
    clock,
    log: createSilentLogger(),
    timing: deriveTiming(DEFAULT_RULES.timing),
    startCell: () => ({led: null, stop: () => null}) as unknown as RunningCell,
    encodeState,
  });
  // The leader that this router stands by for asks for consent.
  const leader = routers[size - 1]!;
  const {cell, epoch} = [...state.views.values()][size - 1]!;
  const consent = setInterval(() => {
    void ownership.handlers.consent(leader, {cells: [{cell, epoch}]});
  }, CONSENT_MS);
  return {
    run: () => pause(IDLE_S * 1_000),
    close() {
      clearInterval(consent);
      return ownership.stop(0);
    },
  };
}
