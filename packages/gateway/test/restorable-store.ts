import type {Clock} from '@banyandrum/base/clock.js';
import type {StoreHistory} from '@banyandrum/gateway/platform.js';
import {storeEpochOfTerm, toTermEpoch} from '@banyandrum/ranges/fence.js';
import type {TableStore, SaveResult} from '@banyandrum/ranges/ledger.js';
import type {RangeTable} from '@banyandrum/ranges/table.js';

/** What the store keeps of leaders. */
interface Records {
  readonly terms: number;
  readonly owner: number;
  readonly tables: ReadonlyMap<string, RangeTable>;
}

/** A router's way to the store. */
export interface StoreAccess {
  readonly ledger: TableStore;
  readonly history: StoreHistory;
  /** Whether calls get no answer. */
  isCut: boolean;
}

/** A store in memory that comes back from copies. */
export interface RestorableStore {
  copy(): Records;
  restore(copy: Records): void;
  open(): StoreAccess;
}

/** A call without an answer is given up after this time, in ms. */
const LOST_MS = 800;
const ANSWER_MAX_MS = 8;

/** Makes a store whose calls take some ms. */
export function createRestorableStore(
  clock: Clock,
  random: () => number,
): RestorableStore {
  let records: Records = {terms: 0, owner: 0, tables: new Map()};
  let storeEpoch = 1;

  const open = (): StoreAccess => {
    const listeners = new Set<(epoch: number, before: number | null) => void>();
    let known: number | null = null;
    let seenAt = -Infinity;
    let own = 0;

    const note = (epoch: number): boolean => {
      if (known !== null && epoch <= known) return epoch === known;
      const before = known;
      known = epoch;
      seenAt = clock.now();
      listeners.forEach(listener => listener(epoch, before));
      return true;
    };

    /** Done at once or half way; the answer has the epoch of that moment. */
    const call = <T>(work: () => T): Promise<T | null> =>
      new Promise(resolve => {
        const lose = (): void => void clock.after(LOST_MS, () => resolve(null));
        clock.after(random() * ANSWER_MAX_MS, () => {
          if (access.isCut) return lose();
          const result = work();
          const epoch = storeEpoch;
          clock.after(random() * ANSWER_MAX_MS, () => {
            if (access.isCut) return lose();
            resolve(note(epoch) ? result : null);
          });
        });
      });

    const isOwnHistory = (): boolean => storeEpochOfTerm(own) === storeEpoch;

    const save = (table: RangeTable): SaveResult => {
      if (records.owner > own && isOwnHistory()) return 'fenced';
      if (!isOwnHistory()) return 'failed';
      const tables = new Map(records.tables).set(table.service, table);
      records = {...records, tables};
      return 'saved';
    };

    const access: StoreAccess = {
      isCut: false,
      history: {
        epoch: () => known ?? 0,
        seenAt: () => seenAt,
        subscribe: listener => void listeners.add(listener),
      },
      ledger: {
        async beginTerm() {
          const epoch = await call(() => {
            const terms = records.terms + 1;
            const owner = toTermEpoch(storeEpoch, terms);
            records = {...records, terms, owner};
            return owner;
          });
          own = epoch ?? own;
          return epoch;
        },
        isNewestTerm: () =>
          call(() => isOwnHistory() && records.owner === own).then(answer =>
            known === storeEpochOfTerm(own) ? answer : null,
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
    copy: () => records,
    restore(copy) {
      records = copy;
      storeEpoch++;
    },
  };
}
