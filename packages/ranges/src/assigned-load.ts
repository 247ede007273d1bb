import {lateAnswersOf} from './late-answers.js';
import type {LeaderState} from './leader-state.js';

/** Load assigned to a server: requests per second and number of ranges. */
export interface AssignedLoad {
  rate: number;
  count: number;
}

export const NO_LOAD: Readonly<AssignedLoad> = {rate: 0, count: 0};

export function loadByServer({
  leases,
  load,
}: LeaderState): ReadonlyMap<string, Readonly<AssignedLoad>> {
  const sums = new Map<string, AssignedLoad>();
  for (const {assignment} of leases) {
    const {server} = assignment;
    if (server === null) continue;
    const sum = sums.get(server) ?? {...NO_LOAD};
    sum.rate += load.rateOf(assignment);
    sum.count++;
    sums.set(server, sum);
  }
  return sums;
}

/**
 * Late answers per second that are expected at the service's servers; 0 without
 * a latency profile.
 */
export function expectedLate(leader: LeaderState): number {
  const profile = leader.profile();
  if (profile === null) return 0;
  const late = lateAnswersOf(profile);
  const loads = loadByServer(leader);
  return leader.servers().reduce((sum, server) => {
    const {rate} = loads.get(server.id) ?? NO_LOAD;
    return sum + late.perSecond(server, rate);
  }, 0);
}
