import type {RoutingConfig} from '@banyandrum/routing/config.js';
import {kindOf} from '@banyandrum/service-times/kind.js';
import type {ServiceProfile} from '@banyandrum/service-times/time-model.js';

/** The requests of a service, as far as they determine which are late. */
export interface LatencyProfile {
  readonly kinds: readonly KindLatency[];
  /** Equally probable quantiles of a time relative to its mean, in order. */
  readonly spread: readonly number[];
}

/** One kind of requests of a service. */
export interface KindLatency {
  /** Share of all requests of the service. */
  readonly share: number;
  /** Mean work relative to the mean of the service. */
  readonly relativeWork: number;
  /** Target latency, in ms. */
  readonly targetMs: number;
}

/**
 * Adds the target latencies of the configured routes to what was measured. Null
 * if nothing was, or if none of the measured kinds has a route.
 *
 * @example
 * ```ts
 * const profile = toLatencyProfile(model.profile('lockers'), config);
 * ```
 */
export function toLatencyProfile(
  profile: ServiceProfile | null,
  config: RoutingConfig,
): LatencyProfile | null {
  if (profile === null) return null;
  const targets = targetsByKind(config);
  const known = profile.kinds.flatMap(({kind, share, workMs}) => {
    const targetMs = targets.get(kind);
    return targetMs === undefined ? [] : [{share, workMs, targetMs}];
  });
  const totalShare = known.reduce((sum, {share}) => sum + share, 0);
  if (totalShare === 0) return null;
  const totalMs = known.reduce(
    (sum, each) => sum + each.share * each.workMs,
    0,
  );
  const meanMs = totalMs / totalShare;
  return {
    kinds: known.map(({share, workMs, targetMs}) => ({
      share: share / totalShare,
      relativeWork: workMs / meanMs,
      targetMs,
    })),
    spread: relativeToMean(profile.spread),
  };
}

/** Of routes with the same hash, the lowest target counts. */
function targetsByKind({hosts}: RoutingConfig): ReadonlyMap<number, number> {
  const targets = new Map<number, number>();
  for (const routes of hosts.values()) {
    for (const {name, targetLatencyMs} of routes.values()) {
      const kind = kindOf(name);
      const known = targets.get(kind) ?? Infinity;
      targets.set(kind, Math.min(known, targetLatencyMs));
    }
  }
  return targets;
}

function relativeToMean(quantiles: readonly number[]): readonly number[] {
  const mean =
    quantiles.reduce((sum, each) => sum + each, 0) / quantiles.length;
  return quantiles.map(each => each / mean);
}
