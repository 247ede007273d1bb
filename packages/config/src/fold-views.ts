import {isSameIncarnation} from '@banyandrum/base/ids.js';
import type {CellId, Offset} from '@banyandrum/base/ids.js';
import type {Claim, ViewsRecord} from './records.js';
import type {ClusterState, FormerPair, View} from './state.js';

/**
 * The state after claims of cells: each counts only if nobody else has claimed
 * the epoch that it names before.
 *
 * @example
 * ```ts
 * const next = applyViews(state, 17, {kind: 'views', claims});
 * ```
 */
export function applyViews(
  state: ClusterState,
  offset: Offset,
  record: ViewsRecord,
): ClusterState {
  const views = new Map<CellId, View>(state.views);
  let changed = false;
  for (const claim of record.claims) {
    const current = views.get(claim.cell) ?? null;
    if ((current?.epoch ?? 0) !== claim.previous) continue;
    views.set(claim.cell, {
      cell: claim.cell,
      epoch: offset,
      leader: claim.leader,
      standby: claim.standby,
      unsettled: unsettledAfter(current, claim),
    });
    changed = true;
  }
  return changed ? {...state, views} : state;
}

// See `View.unsettled`: former pairs are never dropped for their number, since
// each may still have a leader that lives on its standby's consent.
function unsettledAfter(
  current: View | null,
  claim: Claim,
): readonly FormerPair[] {
  if (current === null) return [];
  const {epoch, leader, standby, unsettled} = current;
  if (isSameIncarnation(claim.leader, leader)) {
    return claim.settled ? [] : unsettled;
  }
  if (isSameIncarnation(claim.leader, standby)) return unsettled;
  return [...unsettled, {epoch, leader, standby}];
}
