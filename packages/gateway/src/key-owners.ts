import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {Owner, Owners} from '@banyandrum/dispatch/owners.js';
import {findRange, type ServedRange} from '@banyandrum/ranges/table.js';

/** Served ranges of each service. */
export type ServedTables = ReadonlyMap<string, readonly ServedRange[]>;

/** Requests by key since the last report: service, then key and count. */
export type KeyCounts = ReadonlyMap<string, ReadonlyMap<number, number>>;

/** What this router knows of ownership. */
export interface KeyOwners extends Owners {
  /** Takes the tables of the leader, or of the store in its absence. */
  replaceTables(tables: ServedTables): void;
  /** Requests counted since the last call. */
  drainCounts(): KeyCounts;
  /** Servers whose runs were seen to have ended. */
  isReplaced(server: string): boolean;
}

/** Ended runs that are remembered: some weeks of restarts. */
const MAX_REPLACED_INSTANCES = 10_000;

/**
 * Keeps the tables that requests are routed by.
 *
 * @example
 * ```ts
 * const owners = createKeyOwners(clock, emit);
 * owners.takeTables(tables);
 * ```
 */
export function createKeyOwners(clock: Clock, emit: Emit): KeyOwners {
  let tables: ServedTables = new Map();
  let counts = new Map<string, Map<number, number>>();
  const replaced = new Set<string>();
  let waiting: (() => void)[] = [];

  return {
    ownerOf(service, key): Owner {
      const ranges = tables.get(service);
      if (ranges === undefined) return {kind: 'none'};
      const range = findRange(ranges, key);
      if (range === undefined) return {kind: 'none'};
      if (range.server === null) return {kind: 'moving'};
      return {kind: 'held', server: range.server};
    },
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
      emit('key-not-held', {service, key, server});
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
      const woken = waiting;
      waiting = [];
      woken.forEach(wake => wake());
    },
    drainCounts() {
      const drained = counts;
      counts = new Map();
      return drained;
    },
    isReplaced: server => replaced.has(server),
  };
}
