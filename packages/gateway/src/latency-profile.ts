import type {Clock} from '@banyandrum/base/clock.js';
import type {LatencyProfile} from '@banyandrum/ranges/late-answers.js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';
import {kindOf} from '@banyandrum/service-times/kind.js';
import type {
  ServiceProfile,
  TimeModel,
} from '@banyandrum/service-times/time-model.js';

/** What the profiles of services are built from. */
export interface LatencyProfilesConfig {
  readonly clock: Clock;
  readonly model: Pick<TimeModel, 'profile'>;
  /** Null until one is known. */
  config(): RoutingConfig | null;
}

/**
 * How long a profile is used, in ms. The mix of requests changes in seconds, and
 * the planner computes its tables anew for each profile.
 */
const PROFILE_TTL_MS = 3_000;

/**
 * Returns a function that looks up a service's profile, and builds it anew every
 * few seconds.
 *
 * @example
 * ```ts
 * const profileOf = createLatencyProfiles({clock, model, config});
 * const profile = profileOf('lockers');
 * ```
 */
export function createLatencyProfiles({
  clock,
  model,
  config,
}: LatencyProfilesConfig): (service: string) => LatencyProfile | null {
  const built = new Map<string, {profile: LatencyProfile; until: number}>();
  return service => {
    const now = clock.now();
    const last = built.get(service);
    if (last !== undefined && now < last.until) return last.profile;
    const current = config();
    const profile =
      current === null
        ? null
        : toLatencyProfile(model.profile(service), current);
    if (profile !== null)
      built.set(service, {profile, until: now + PROFILE_TTL_MS});
    return profile;
  };
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
