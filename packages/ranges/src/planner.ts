import type {KeyLoad} from './key-load.js';
import type {Holding, KeyRange} from './table.js';

/** A server that may hold keys, as placement sees it. */
export interface PlacedServer {
  readonly id: string;
  readonly slots: number;
  /** Time for one request without waiting, in ms. */
  readonly serviceMs: number;
  /** Whether it takes further keys. */
  readonly isOpen: boolean;
}

/** Keys that should go to another server. */
export interface PlannedMove {
  readonly range: KeyRange;
  readonly from: string;
  readonly to: string;
}

/**
 * Servers' busy shares that differ by less than this are left alone: with the
 * few requests a second of a server, counts stray that far by chance.
 */
const MIN_GAP = 0.22;
/** A move is worth its pause only for this many requests a second. */
const MIN_RATE = 0.15;
/** A segment may be larger than wanted by this factor. */
const OVERSHOOT = 1.15;

/** The share of its slots that a server's keys keep busy. */
export function busyShare(server: PlacedServer, rate: number): number {
  return (rate * server.serviceMs) / 1000 / server.slots;
}

/**
 * The next move that evens out how busy the servers are: from the busiest to
 * the idlest, of about half their difference; null where they are even.
 *
 * @example
 * ```ts
 * const move = planMove(holdings, servers, load);
 * if (move !== null) startMove(move);
 * ```
 */
export function planMove(
  holdings: readonly Holding[],
  servers: readonly PlacedServer[],
  load: KeyLoad,
): PlannedMove | null {
  const rates = ratesOf(holdings, load);
  const shareOf = (server: PlacedServer): number =>
    busyShare(server, rates.get(server.id) ?? 0);
  const open = servers.filter(({isOpen}) => isOpen);
  if (open.length < 2) return null;
  const sorted = [...open].sort((a, b) => shareOf(b) - shareOf(a));
  const idlest = sorted[sorted.length - 1]!;
  for (const busiest of sorted) {
    const gap = shareOf(busiest) - shareOf(idlest);
    if (gap < MIN_GAP) return null;
    const wanted = rateToEven(busiest, idlest, gap);
    const own = holdings.filter(({server}) => server === busiest.id);
    const range = bestSegment(own, load, wanted);
    if (range !== null) return {range, from: busiest.id, to: idlest.id};
  }
  return null;
}

function ratesOf(
  holdings: readonly Holding[],
  load: KeyLoad,
): ReadonlyMap<string, number> {
  const rates = new Map<string, number>();
  for (const holding of holdings) {
    const {server} = holding;
    if (server === null) continue;
    rates.set(server, (rates.get(server) ?? 0) + load.rateOf(holding));
  }
  return rates;
}

function rateToEven(
  busiest: PlacedServer,
  idlest: PlacedServer,
  gap: number,
): number {
  const perRate =
    busiest.serviceMs / 1000 / busiest.slots +
    idlest.serviceMs / 1000 / idlest.slots;
  return gap / perRate;
}

/** The largest end of a holding with at most about the wanted rate. */
function bestSegment(
  holdings: readonly Holding[],
  load: KeyLoad,
  wanted: number,
): KeyRange | null {
  let best: KeyRange | null = null;
  let bestRate = MIN_RATE;
  for (const {from, to} of holdings) {
    for (const step of [1, -1] as const) {
      const segment = growSegment(from, to, step, load, wanted * OVERSHOOT);
      if (segment === null || segment.rate <= bestRate) continue;
      best = segment.range;
      bestRate = segment.rate;
    }
  }
  return best;
}

function growSegment(
  from: number,
  to: number,
  step: 1 | -1,
  load: KeyLoad,
  most: number,
): {range: KeyRange; rate: number} | null {
  const first = step === 1 ? from : to;
  const last = step === 1 ? to : from;
  let rate = 0;
  let end = first - step;
  for (let key = first; key !== last + step; key += step) {
    const next = rate + load.rateOfKey(key);
    if (next > most) break;
    rate = next;
    end = key;
  }
  if (end === first - step) return null;
  const range = step === 1 ? {from: first, to: end} : {from: end, to: first};
  return {range, rate};
}
