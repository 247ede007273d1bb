import type {Clock} from '@banyandrum/base/clock.js';
import {createAnswerLimits, type AnswerLimits} from './answer-limits.js';
import {
  createBackend,
  type Backend,
  type Evacuation,
  type ServerInfo,
} from './backend.js';

/** Durations around an evacuation. */
export interface EvacuationTiming {
  /** How long owned keys may be served from its start, in ms. */
  readonly ownedKeysMs: number;
  /** How long a service's server counts as cold after its end, in ms. */
  coldMsOf(service: string): number;
}

/** Backend servers known to this router. */
export interface Backends {
  /** Replaces the server list; drops the servers that it doesn't contain. */
  update(servers: readonly ServerInfo[]): void;
  /**
   * Sets the data centres whose servers must get no requests. A server of a data
   * centre that is no longer one of them counts as cold, unless its entry says
   * otherwise later.
   */
  setEvacuated(
    dataCentres: ReadonlySet<string>,
    timing: EvacuationTiming,
  ): void;
  ofService(service: string): readonly Backend[];
  all(): Iterable<Backend>;
  get(id: string): Backend | undefined;
  /** Sets the maximum number of connections from this router to each server. */
  setConnectionLimit(limitOf: (service: string) => number): void;
  /** Resolves when a request to the service ends, at the latest after `ms`. */
  waitForCapacity(service: string, ms: number): Promise<void>;
  /** Wakes the first `waitForCapacity` call of the service. */
  notifyCapacity(service: string): void;
}

/**
 * Creates the set of servers, whose answers share the limits `answers`. The state
 * of a server is kept while it is listed.
 *
 * @example
 * ```ts
 * const backends = createBackends(clock);
 * backends.update(list);
 * ```
 */
export function createBackends(
  clock: Clock,
  answers: AnswerLimits = createAnswerLimits(),
): Backends {
  const byId = new Map<string, Backend>();
  const byService = new Map<string, Backend[]>();
  const waitersByService = new Map<string, Set<() => void>>();
  /** Monotonic time at which each instance's shutdown became known, in ms. */
  const leavingSinceById = new Map<string, number>();
  let limitOf: (service: string) => number = () => DEFAULT_CONNECTIONS;
  /** Evacuations by data centre. */
  let evacuations: ReadonlyMap<string, Evacuation> = new Map();

  const evacuationOf = ({dataCentre}: ServerInfo): Evacuation | null =>
    evacuations.get(dataCentre) ?? null;

  const recordLeaving = ({id, isLeaving}: ServerInfo): number | null => {
    if (!isLeaving) return null;
    const since = leavingSinceById.get(id) ?? clock.now();
    leavingSinceById.set(id, since);
    if (leavingSinceById.size > MAX_LEAVING_ENTRIES) {
      leavingSinceById.delete([...leavingSinceById.keys()][0]!);
    }
    return since;
  };

  const regroup = (): void => {
    byService.clear();
    for (const backend of byId.values()) {
      const {service} = backend.info;
      const group = byService.get(service);
      if (group === undefined) byService.set(service, [backend]);
      else group.push(backend);
    }
  };

  return {
    update(servers) {
      const now = clock.now();
      const listed = new Set(servers.map(({id}) => id));
      for (const [id, backend] of byId) {
        if (listed.has(id)) continue;
        byId.delete(id);
        backend.connections.retire();
      }
      for (const info of servers) {
        const known = byId.get(info.id);
        if (known === undefined) {
          const backend = createBackend(
            ...([info, limitOf(info.service), now, answers] as const),
          );
          backend.leavingSince = recordLeaving(info);
          backend.evacuation = evacuationOf(info);
          byId.set(info.id, backend);
        } else {
          if (info.coldUntil !== known.info.coldUntil)
            known.coldUntil = info.coldUntil;
          known.info = info;
          known.leavingSince = recordLeaving(info);
          known.evacuation = evacuationOf(info);
        }
      }
      regroup();
    },
    setEvacuated(dataCentres, {ownedKeysMs, coldMsOf}) {
      const now = clock.now();
      const started = {since: now, ownedKeysUntil: now + ownedKeysMs};
      evacuations = new Map(
        [...dataCentres].map(each => [each, evacuations.get(each) ?? started]),
      );
      for (const backend of byId.values()) {
        const next = evacuationOf(backend.info);
        const isBack = backend.evacuation !== null && next === null;
        backend.evacuation = next;
        if (!isBack) continue;
        const assumedUntil = now + coldMsOf(backend.info.service);
        backend.coldUntil = Math.max(backend.coldUntil, assumedUntil);
      }
    },
    ofService: service => byService.get(service) ?? [],
    all: () => byId.values(),
    get: id => byId.get(id),
    setConnectionLimit(next) {
      limitOf = next;
      for (const {info, connections} of byId.values()) {
        connections.setLimit(limitOf(info.service));
      }
    },
    waitForCapacity(service, ms) {
      return new Promise(resolve => {
        const group = waitersByService.get(service) ?? new Set();
        waitersByService.set(service, group);
        const finish = (): void => {
          cancel();
          group.delete(finish);
          resolve();
        };
        const cancel = clock.after(ms, finish);
        group.add(finish);
      });
    },
    notifyCapacity(service) {
      const [first] = waitersByService.get(service) ?? [];
      first?.();
    },
  };
}

/**
 * Bounds memory, as entries are kept for instances that may be listed again.
 */
const MAX_LEAVING_ENTRIES = 2_000;
/** Connection limit until `setConnectionLimit` is called. */
const DEFAULT_CONNECTIONS = 4;
