import {createClock} from '@banyandrum/base/clock.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import {Ok} from '@banyandrum/base/result.js';
import {DEFAULT_RULES} from '@banyandrum/config/default-rules.js';
import {encodeState} from '@banyandrum/config/snapshot.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {OwnershipPeers} from '@banyandrum/ownership/control.js';
import type {RunningCell} from '@banyandrum/ownership/leadership.js';
import {createOwnership} from '@banyandrum/ownership/run-ownership.js';
import {deriveTiming} from '@banyandrum/ownership/timing.js';
import {fitSeries, type Series} from './slopes-fit.js';
import {hostOf, routerAt, stateOf} from './slopes-fixture.js';
import {costOf, ownUsage, pause} from './slopes-probe.js';

const SIZES = [300, 1_000, 2_000, 4_700];
const REPEATS = 2;
const SETTLE_MS = 2_500;
const PERIOD_MS = 4_000;
const CONSENT_MS = 250;

const clock = createClock();

/**
 * One router's part in ownership by the size of the whole system, idle: it
 * leads one cell and stands by for another, and as many cells and routers
 * exist. Messages reach nobody and are answered at once.
 */
export async function measureLoop(): Promise<readonly Series[]> {
  const cpu: {x: number; y: number}[] = [];
  const asks: {x: number; y: number}[] = [];
  for (const x of SIZES) {
    for (const row of await runOne(x)) {
      cpu.push({x, y: row.cpuUs});
      asks.push({x, y: row.asks});
    }
  }
  return [
    fitSeries('ownership cpu', 'cells', 'us/s', cpu),
    fitSeries('ownership asks', 'cells', 'asks/s', asks),
  ];
}

interface Row {
  readonly cpuUs: number;
  readonly asks: number;
}

async function runOne(size: number): Promise<readonly Row[]> {
  const routers = Array.from({length: size}, (_, i) => routerAt(i));
  const hosts = routers.map(hostOf);
  const state = stateOf(routers, size, 10);
  const byAddress = new Map(routers.map(router => [router.address, router]));
  let asks = 0;
  const [self] = routers;
  const store = {
    current: () => state,
    confirmedAt: () => clock.now(),
    subscribe: () => () => {},
    append: () => new Promise(() => {}),
  } as unknown as StateStore;
  const answers: Readonly<Record<string, (ask: never) => unknown>> = {
    consent: ({cells}: {cells: readonly {cell: string}[]}) => ({
      granted: cells.map(({cell}) => cell),
      leaving: false,
    }),
    leads: () => ({leading: [], next: state.next, publication: 1}),
  };
  const peers = {
    ask: (_to: unknown, kind: string, ask: never) => {
      asks++;
      return Promise.resolve(Ok(answers[kind]!(ask)));
    },
    probe: (address: string) => Promise.resolve(Ok(byAddress.get(address)!)),
  } as unknown as OwnershipPeers;
  const ownership = createOwnership({
    self: self!,
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
  await pause(SETTLE_MS);
  const rows: Row[] = [];
  for (let i = 0; i < REPEATS; i++) {
    const asked = asks;
    const before = ownUsage(() => 0);
    const startedAt = clock.now();
    await pause(PERIOD_MS);
    const seconds = (clock.now() - startedAt) / 1_000;
    const {cpuUs} = costOf(
      before,
      ownUsage(() => 0),
      seconds,
    );
    rows.push({cpuUs, asks: (asks - asked) / seconds});
  }
  clearInterval(consent);
  await ownership.stop(0);
  return rows;
}
