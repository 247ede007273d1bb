import type {RangeLease} from './range-lease.js';
import type {SaveResult, TableStore} from './table-store.js';

/**
 * Returns a store that forgets where ranges were moved from (`movedFrom`) once a
 * write that has their new assignments may have been carried out.
 *
 * @example
 * ```ts
 * const tracked = trackUnsentMoves(tableStore, () => leader.leases);
 * ```
 */
export function trackUnsentMoves(
  tableStore: Pick<TableStore, 'save'>,
  leases: () => readonly RangeLease[],
): Pick<TableStore, 'save'> {
  return {
    async save(table): Promise<SaveResult> {
      const moves = leases()
        .filter(({movedFrom}) => movedFrom !== null)
        .map(lease => ({lease, before: {...lease}}));
      for (const {lease} of moves) lease.movedFrom = null;
      const result = await tableStore.save(table);
      if (result !== 'unsent') return result;
      for (const {lease, before} of moves) {
        if (lease.assignment === before.assignment)
          lease.movedFrom = before.movedFrom;
      }
      return result;
    },
  };
}
