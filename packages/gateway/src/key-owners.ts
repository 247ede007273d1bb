import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {Owner, Owners} from '@banyandrum/dispatch/owners.js';
import {createNotHeldKeys} from './not-held-keys.js';
import {findRange, type ServedRange} from '@banyandrum/ranges/table.js';

/** The served ranges of each service. */
export type ServedTables = ReadonlyMap<string, readonly ServedRange[]>;

/** Number of requests by service and key since the last report. */
export type KeyCounts = ReadonlyMap<string, ReadonlyMap<number, number>>;

/** What this router knows about the ownership of keys. */
export interface KeyOwners extends Owners {
  /** Sets the tables, which come from the leader or, without one, the store. */
  replaceTables(tables: ServedTables): void;
  /**
   * Returns the requests counted since the last call, and resets the counts.
   */
  drainCounts(): KeyCounts;
  /** Whether another instance was seen at the address of this one. */
  isReplaced(server: string): boolean;
}

/** Limit of remembered replaced instances: a few weeks of restarts. */
const MAX_REPLACED_INSTANCES = 10_000;

/**
 * Keeps the tables by which requests are routed.
 *
 * @example
 * ```ts
 * const owners = createKeyOwners(clock, emit);
 * owners.replaceTables(tables);
 * ```
 */
export function createKeyOwners(clock: Clock, emit: Emit): KeyOwners {
  let tables: ServedTables = new Map();
  let counts = new Map<string, Map<number, number>>();
  const replaced = new Set<string>();
  let waiting: (() => void)[] = [];
  const notHeld = createNotHeldKeys(clock);

  const ownerOf = (service: string, key: number): Owner => {
    const ranges = tables.get(service);
    if (ranges === undefined) return {kind: 'none'};
    const range = findRange(ranges, key);
    if (range === undefined) return {kind: 'none'};
    if (range.server === null) return {kind: 'moving'};
    return {kind: 'held', server: range.server};
  };

  return {
    ownerOf,
    waitForChange(_, ms) {
      return new Promise(resolve => {
        const cancel = clock.after(ms, resolve);
        waiting.push(() => {
          cancel();
          resolve();
        });
      });
    },
    noteRequest(service, key) {
      const group = counts.get(service) ?? new Map<number, number>();
      counts.set(service, group);
      group.set(key, (group.get(key) ?? 0) + 1);
    },
    noteNotHeld(service, key, server) {
      notHeld.note(service, key, server);
      emit('key-not-held', {service, key, server});
    },
    notHeldMs(service, key) {
      const owner = ownerOf(service, key);
      if (owner.kind !== 'held') return 0;
      return notHeld.remainingMs(service, key, owner.server);
    },
    noteReplaced(server) {
      replaced.add(server);
      if (replaced.size > MAX_REPLACED_INSTANCES) {
        const [oldest] = replaced;
        replaced.delete(oldest!);
      }
      emit('server-replaced', {server});
    },
    replaceTables(next) {
      tables = next;
      const waiters = waiting;
      waiting = [];
      waiters.forEach(wake => wake());
    },
    drainCounts() {
      const drained = counts;
      counts = new Map();
      return drained;
    },
    isReplaced: server => replaced.has(server),
  };
}
