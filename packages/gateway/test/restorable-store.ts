import type {Clock} from '@banyandrum/base/clock.js';
import type {StoreHistory} from '@banyandrum/gateway/platform.js';
import {storeEpochOfTerm, toTermEpoch} from '@banyandrum/ranges/fence.js';
import type {
  TableStore,
  SaveResult,
  TermLeader,
} from '@banyandrum/ranges/table-store.js';
import type {RangeTable} from '@banyandrum/ranges/table.js';

/** The records of terms and tables in the store. */
interface StoreRecords {
  readonly terms: number;
  readonly owner: number;
  readonly tables: ReadonlyMap<string, RangeTable>;
  /** The leader of each term. */
  readonly leaders: readonly TermLeader[];
}

/** A router's connection to the store. */
export interface StoreAccess {
  readonly ledger: TableStore;
  readonly history: StoreHistory;
  /** Whether calls time out. */
  isUnreachable: boolean;
}

/** An in-memory store that can be restored from a snapshot. */
export interface RestorableStore {
  takeSnapshot(): StoreRecords;
  restore(snapshot: StoreRecords): void;
  open(): StoreAccess;
}

/** Timeout of a call, in ms. */
const CALL_TIMEOUT_MS = 800;
/** Longest delay of a call's request and of its response, in ms. */
const MAX_DELAY_MS = 8;

/** Creates a store whose calls take some milliseconds. */
export function createRestorableStore(
  clock: Clock,
  random: () => number,
): RestorableStore {
  let records: StoreRecords = {
    ...{terms: 0, owner: 0, tables: new Map()},
    leaders: [],
  };
  let storeEpoch = 1;

  const open = (): StoreAccess => {
    const listeners = new Set<(epoch: number, before: number | null) => void>();
    let knownEpoch: number | null = null;
    let seenAt = -Infinity;
    let ownTerm = 0;

    const noteEpoch = (epoch: number): boolean => {
      if (knownEpoch !== null && epoch <= knownEpoch)
        return epoch === knownEpoch;
      const before = knownEpoch;
      knownEpoch = epoch;
      seenAt = clock.now();
      listeners.forEach(listener => listener(epoch, before));
      return true;
    };

    /**
     * Runs `work` after the request delay unless the store is unreachable; the
     * response carries the store epoch of that time.
     */
    const call = <T>(work: () => T): Promise<T | null> =>
      new Promise(resolve => {
        const timeOut = (): void =>
          void clock.after(CALL_TIMEOUT_MS, () => resolve(null));
        clock.after(random() * MAX_DELAY_MS, () => {
          if (access.isUnreachable) return timeOut();
          const result = work();
          const epoch = storeEpoch;
          clock.after(random() * MAX_DELAY_MS, () => {
            if (access.isUnreachable) return timeOut();
            resolve(noteEpoch(epoch) ? result : null);
          });
        });
      });

    const isOwnHistory = (): boolean =>
      storeEpochOfTerm(ownTerm) === storeEpoch;

    const save = (table: RangeTable): SaveResult => {
      if (records.owner > ownTerm && isOwnHistory()) return 'fenced';
      if (!isOwnHistory()) return 'unsent';
      const tables = new Map(records.tables).set(table.service, table);
      records = {...records, tables};
      return 'saved';
    };

    const access: StoreAccess = {
      isUnreachable: false,
      history: {
        epoch: () => knownEpoch ?? 0,
        epochSeenAt: () => seenAt,
        subscribe: listener => void listeners.add(listener),
      },
      ledger: {
        async beginTerm(address, run) {
          const recordedEpoch = knownEpoch ?? 0;
          const epoch = await call(() => {
            const terms = records.terms + 1;
            const owner = toTermEpoch(storeEpoch, terms);
            const recorded = toTermEpoch(recordedEpoch, terms);
            const leader = {epoch: recorded, address, run};
            const leaders = [...records.leaders, leader];
            records = {...records, terms, owner, leaders};
            return owner;
          });
          ownTerm = epoch ?? ownTerm;
          return epoch;
        },
        async previousLeader() {
          const previous = ownTerm - 1;
          return call(
            () => records.leaders.find(({epoch}) => epoch === previous) ?? null,
          );
        },
        isNewestTerm: () =>
          call(() => isOwnHistory() && records.owner === ownTerm).then(
            answer =>
              knownEpoch === storeEpochOfTerm(ownTerm) ? answer : null,
          ),
        lastLeader: async () => ({kind: 'failed'}),
        load: () => call(() => [...records.tables.values()]),
        save: async table => (await call(() => save(table))) ?? 'failed',
      },
    };
    return access;
  };

  return {
    open,
    takeSnapshot: () => records,
    restore(snapshot) {
      records = snapshot;
      storeEpoch++;
    },
  };
}
