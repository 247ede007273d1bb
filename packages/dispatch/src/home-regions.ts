import type {Backend} from './backend.js';
import type {ForwardState} from './forward-state.js';

/**
 * Whether the request may be sent to the server: it is in one of the route's
 * home regions, or the route has none. A data centre whose region is unknown is
 * in none of them.
 */
export function isInHomeRegion(
  {cfg, req}: ForwardState,
  {info}: Pick<Backend, 'info'>,
): boolean {
  const {homeRegions} = req.route;
  if (homeRegions === null) return true;
  const region = cfg.regionOf(info.dataCentre);
  return region !== null && homeRegions.includes(region);
}

/** Ids of the service's servers outside of the route's home regions. */
export function serversOutsideHome(state: ForwardState): readonly string[] {
  const {cfg, req} = state;
  if (req.route.homeRegions === null) return [];
  return cfg.backends
    .ofService(req.service)
    .filter(backend => !isInHomeRegion(state, backend))
    .map(({info}) => info.id);
}
