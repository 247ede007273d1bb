import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {AskHealth} from '@banyandrum/dispatch/ask-health.js';
import type {Backend} from '@banyandrum/dispatch/backend.js';
import type {Backends} from '@banyandrum/dispatch/backends.js';
import type {CompletedAttempt} from '@banyandrum/dispatch/completed-attempt.js';
import type {ProbeResult} from '@banyandrum/dispatch/crash-detector.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import {probeServer} from '@banyandrum/dispatch/probe-server.js';
import {
  createServerPaths,
  type ServerPaths,
} from '@banyandrum/dispatch/server-paths.js';
import {createCarryClient, type CarryClient} from './carry-client.js';

/** Which servers this router reaches, and the routers that reach others. */
export interface ServerReach {
  readonly paths: ServerPaths;
  readonly carriers: CarryClient;
  /**
   * Opens a connection to a server whose connection was lost. A refusal counts
   * only if another router is refused as well, where one can be asked.
   */
  probe(backend: Backend): Promise<ProbeResult>;
  /** The same, but tells only what this router finds. */
  probeDirectly(backend: Backend): Promise<ProbeResult>;
  /**
   * Asks the server's health endpoint, through another router if this one gets no
   * answer soon.
   */
  readonly askHealth: AskHealth;
  /** Ends the probes and closes the connections to carriers. */
  stop(): void;
  /** Records what a lease call shows of the path to its server. */
  noteLeaseCall(outcome: CompletedAttempt): void;
}

/** Dependencies of `createServerReach`. */
export interface ServerReachConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  readonly backends: Backends;
  /** Addresses (`ip:port`) of routers that may carry, the nearest first. */
  carrierAddresses(): readonly string[];
  /** Asks from this router only. */
  readonly askHealthDirectly: AskHealth;
}

/**
 * Other routers are asked for a server's health if it hasn't answered this one for
 * this long, in ms: it gets no requests meanwhile.
 */
const OWN_ANSWER_MS = 50;

/**
 * Creates the state of what this router reaches, and the client of carriers.
 *
 * @example
 * ```ts
 * const reach = createServerReach({clock, emit, backends, carrierAddresses});
 * ```
 */
export function createServerReach(cfg: ServerReachConfig): ServerReach {
  const {clock, emit, backends} = cfg;
  const paths = createServerPaths({
    ...{clock, emit, backendOf: backends.get, probe: probeServer},
  });
  const carriers = createCarryClient({
    ...{clock, emit, candidates: cfg.carrierAddresses},
  });

  const probeDirectly = async (backend: Backend): Promise<ProbeResult> => {
    const {id} = backend.info;
    const sentAt = clock.now();
    const result = await probeServer(backend);
    if (result === 'open') paths.noteReached(id);
    else paths.noteFailed(backend, sentAt, `probe: ${result}`);
    return result;
  };

  const probe = async (backend: Backend): Promise<ProbeResult> => {
    const {id} = backend.info;
    const own = await probeDirectly(backend);
    if (own !== 'refused') return own;
    const other = await carriers.probe(id);
    // Unconfirmed, it counts only if this router isn't cut off itself.
    if (other === null) return paths.isCutOff(id) ? 'silent' : own;
    if (other !== 'open') {
      paths.noteOtherView(id, false);
      return own;
    }
    // Either it has started again meanwhile, or only this router is refused.
    if ((await probeDirectly(backend)) === 'open') return own;
    paths.noteOtherView(id, true);
    return 'silent';
  };

  const askHealth: AskHealth = async (backend, path) => {
    const {id} = backend.info;
    const own = paths.isOpen(id)
      ? cfg.askHealthDirectly(backend, path)
      : Promise.resolve(null);
    const early = await Promise.race([own, sleep(clock, OWN_ANSWER_MS)]);
    if (early) return early;
    return firstKnown([own, carriers.askHealth(id, path)]);
  };

  /** Lets another router try a server whose path failed, once. */
  const confirm = async (server: string): Promise<void> => {
    if (!paths.isUnconfirmed(server)) return;
    const other = await carriers.probe(server);
    if (other !== null) paths.noteOtherView(server, other === 'open');
  };

  return {
    paths,
    carriers,
    probe,
    probeDirectly,
    askHealth,
    stop() {
      paths.stop();
      carriers.stop();
    },
    noteLeaseCall({server, sentAt, result}) {
      const backend = backends.get(server);
      if (backend === undefined) return;
      if (result.kind === 'answered') return paths.noteReached(server);
      if (result.reason === 'not-connected') {
        paths.noteFailed(backend, sentAt, result.detail);
        return void confirm(server);
      }
      if (result.reason !== 'timeout') return;
      void paths.verify(backend, sentAt).then(() => confirm(server));
    },
  };
}

/** The first value that isn't null; null if there is none. */
async function firstKnown<T>(
  values: readonly Promise<T | null>[],
): Promise<T | null> {
  const known = values.map(async each => {
    const value = await each;
    if (value === null) throw new Error('unknown');
    return value;
  });
  return Promise.any(known).catch(() => null);
}
