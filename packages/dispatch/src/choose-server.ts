import {isEligible, type Backend} from './backend.js';
import {costOf, preferHealthy, typicalServiceMs} from './server-cost.js';

/** Maximum running and queued requests at a server, per slot. */
const MAX_LOAD_PER_SLOT = 3;
/** Time constant with which a report of other routers' load decays, in ms. */
const OTHERS_LOAD_DECAY_MS = 400;
/**
 * Maximum random increase of the expected answer time, as a fraction. Without
 * it, routers with the same measurements would all choose the same server.
 */
const JITTER = 0.1;

/** Minimum number of servers among which a router chooses. */
const MIN_CANDIDATES = 3;
/**
 * Number of servers among which each router chooses, times the number of
 * routers. The more routers share the servers, the less has each of them
 * measured: if all chose the best that they know, many would choose the same.
 */
const CANDIDATES_TIMES_ROUTERS = 240;

/**
 * Returns the server with the shortest expected answer time among those with
 * capacity, in large deployments among a random few of them; null if there is
 * none.
 *
 * @example
 * ```ts
 * const backend = chooseServer(backends.ofService('holds'), tried, 6, now);
 * ```
 */
export function chooseServer(
  backends: readonly Backend[],
  excluded: ReadonlySet<string>,
  routerCount: number,
  now: number,
): Backend | null {
  const usable = backends.filter(backend => isUsable(backend, excluded));
  const mean = meanOwnInFlight(usable) * Math.max(0, routerCount - 1);
  const typicalMs = typicalServiceMs(usable);
  const loads = new Map(
    preferHealthy(usable, now)
      .map(each => [each, estimateLoad(each, mean, now)] as const)
      .filter(([each, load]) => hasCapacity(each, load)),
  );
  const candidates = sample([...loads.keys()], candidateCount(routerCount));
  let best: Backend | null = null;
  let bestMs = Infinity;
  for (const backend of candidates) {
    const load = loads.get(backend)!;
    const expectedMs = expectedAnswerMs(backend, load, typicalMs, now);
    if (expectedMs >= bestMs) continue;
    best = backend;
    bestMs = expectedMs;
  }
  return best;
}

function candidateCount(routerCount: number): number {
  const count = Math.ceil(CANDIDATES_TIMES_ROUTERS / Math.max(1, routerCount));
  return Math.max(MIN_CANDIDATES, count);
}

/** Returns `count` random elements, or all if there are no more. */
function sample<T>(all: readonly T[], count: number): readonly T[] {
  if (all.length <= count) return all;
  const left = [...all];
  return Array.from({length: count}, () => {
    const at = Math.floor(Math.random() * left.length);
    const picked = left[at]!;
    left[at] = left.at(-1)!;
    left.pop();
    return picked;
  });
}

/**
 * Estimates the requests of all routers at the server. As the last load report
 * ages, `mean` replaces the reported requests of other routers.
 */
export function estimateLoad(
  server: Backend,
  mean: number,
  now: number,
): number {
  const age = now - server.othersInFlightAt;
  const weight = Math.exp(-age / OTHERS_LOAD_DECAY_MS);
  return server.inFlight + server.othersInFlight * weight + mean * (1 - weight);
}

/** Whether the server can run or queue one more request. */
export function hasCapacity(backend: Backend, load: number): boolean {
  const {slots} = backend.info;
  if (backend.inFlight >= slots * MAX_LOAD_PER_SLOT) return false;
  return load < slots * MAX_LOAD_PER_SLOT;
}

function isUsable(backend: Backend, excluded: ReadonlySet<string>): boolean {
  return isEligible(backend) && !excluded.has(backend.info.id);
}

function expectedAnswerMs(
  backend: Backend,
  load: number,
  typicalMs: number,
  now: number,
): number {
  const {slots} = backend.info;
  const rounds = 1 + Math.max(0, load + 1 - slots) / slots;
  const jitter = 1 + JITTER * Math.random();
  return costOf(backend, typicalMs, now) * rounds * jitter;
}

function meanOwnInFlight(backends: readonly Backend[]): number {
  if (backends.length === 0) return 0;
  let sum = 0;
  for (const {inFlight} of backends) sum += inFlight;
  return sum / backends.length;
}
