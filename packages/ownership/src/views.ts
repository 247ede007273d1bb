import type {CellId, Incarnation} from '@banyandrum/base/ids.js';
import {isSameIncarnation} from '@banyandrum/base/ids.js';
import type {ClusterState, View} from '@banyandrum/config/state.js';

/** Whether the view is still the newest known of its cell. */
export function isCurrentView(state: ClusterState, view: View): boolean {
  return state.views.get(view.cell)?.epoch === view.epoch;
}

/** The views in which the given incarnation leads. */
export function viewsLedBy(
  state: ClusterState,
  leader: Incarnation,
): readonly View[] {
  return [...state.views.values()].filter(view =>
    isSameIncarnation(view.leader, leader),
  );
}

/** The views in which the given incarnation is the standby. */
export function viewsWithStandby(
  state: ClusterState,
  standby: Incarnation,
): readonly View[] {
  return [...state.views.values()].filter(view =>
    isSameIncarnation(view.standby, standby),
  );
}

/** Whether an operator attested this incarnation lost. */
export function isAttestedLost(
  state: ClusterState,
  incarnation: Incarnation,
): boolean {
  return state.attestations.some(
    ({host, boot}) => host === incarnation.host && boot === incarnation.boot,
  );
}

/** Map key of an incarnation. */
export function incarnationKey(incarnation: Incarnation): string {
  return `${incarnation.host}#${incarnation.boot}`;
}

/** Groups views by the incarnation that `pick` returns. */
export function groupByIncarnation(
  views: readonly View[],
  pick: (view: View) => Incarnation | null,
): ReadonlyMap<string, PeerViews> {
  const groups = new Map<string, {peer: Incarnation; views: View[]}>();
  for (const view of views) {
    const peer = pick(view);
    if (peer === null) continue;
    const key = incarnationKey(peer);
    const group = groups.get(key) ?? {peer, views: []};
    group.views.push(view);
    groups.set(key, group);
  }
  return groups;
}

/** The views that this process shares with one peer. */
export interface PeerViews {
  readonly peer: Incarnation;
  readonly views: readonly View[];
}

/** The view of a cell at an epoch, or null if it is not the newest view. */
export function viewAt(
  state: ClusterState,
  cell: CellId,
  epoch: number,
): View | null {
  const view = state.views.get(cell);
  return view?.epoch === epoch ? view : null;
}
