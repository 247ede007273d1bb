import type {Clock} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {createLogger} from '@banyandrum/base/logger.js';
import {encodeState} from '@banyandrum/config/snapshot.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {HostWatch} from '@banyandrum/hosts/watch.js';
import {createCatchUp} from '@banyandrum/ownership/catch-up.js';
import {
  createOwnership,
  type Ownership,
} from '@banyandrum/ownership/run-ownership.js';
import {deriveTiming} from '@banyandrum/ownership/timing.js';
import type {Cells} from './cells.js';
import type {LateHandlers, RouterPeers} from './control.js';
import type {Describer} from './describe.js';

export interface TenureOptions {
  readonly self: Incarnation;
  readonly store: StateStore;
  readonly hostWatch: HostWatch;
  readonly peers: RouterPeers;
  readonly cells: Cells;
  readonly clock: Clock;
  readonly late: LateHandlers;
  readonly describer: () => Describer;
  /** Called once, when this process may be sent requests. */
  readonly onBegun: () => void;
}

/** Ownership from the first publication until the process stops. */
export interface Tenure {
  /** Null before a publication is in force here. */
  ownership(): Ownership | null;
  begin(): void;
  stop(limitMs: number): Promise<void>;
}

/**
 * Starts ownership as soon as a publication is in force: its times of the
 * protocol must not change while cells are led, so nothing is led before they
 * are known. While the log is down, peers on the host list are asked for it.
 *
 * @example
 * ```ts
 * const tenure = createTenure(options);
 * tenure.begin();
 * await tenure.stop(5000);
 * ```
 */
export function createTenure(options: TenureOptions): Tenure {
  const {self, store, hostWatch, peers, clock} = options;
  const abort = new AbortController();
  const log = createLogger('ownership');
  let ownership: Ownership | null = null;

  const start = (): void => {
    if (ownership !== null || abort.signal.aborted) return;
    if (store.current().publication === null) return;
    ownership = createOwnership({
      self,
      store,
      hosts: hostWatch,
      peers,
      clock,
      log,
      timing: deriveTiming(store.current().rules.timing),
      startCell: options.cells.start,
      encodeState,
    });
    options.late.set(handlersOf(ownership, options.describer()));
    options.onBegun();
  };

  return {
    ownership: () => ownership,
    begin() {
      store.subscribe(start);
      start();
      void hostWatch.run(abort.signal);
      const catchUp = createCatchUp({
        self,
        store,
        peers,
        hosts: hostWatch,
        clock,
        log,
        signal: abort.signal,
        random: Math.random,
      });
      void catchUp.runUntilRead();
    },
    async stop(limitMs) {
      abort.abort();
      await ownership?.stop(limitMs);
    },
  };
}

function handlersOf(
  ownership: Ownership,
  describer: Describer,
): Parameters<LateHandlers['set']>[0] {
  return {
    ...ownership.handlers,
    describe: async () => describer.describe(),
    explain: async (_from, {service, key}) => {
      const explained = describer.explain(service, key);
      if (explained === null) throw new Error(`no service ${service}`);
      return explained;
    },
  };
}
