import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {EvacuationsRead} from './platform.js';

/** The data centres whose servers must get no requests, by operator's order. */
export interface Evacuations {
  current(): ReadonlySet<string>;
  /**
   * Those that a restored store lacks, and that are evacuated for a grace time.
   * Only a router that has read the restored store knows when that ends: another
   * one that was told of them would hold them for good, and tell others.
   */
  missing(): ReadonlySet<string>;
  /** Applies what a read of the platform's log says. */
  applyRead(read: EvacuationsRead): void;
  /** Replaces all of them by those that another router knows. */
  applyRelayed(dataCentres: readonly string[], by: RelayingRouter): void;
  /** Calls `listener` after each change. */
  subscribe(listener: () => void): void;
  stop(): void;
}

/** A router that told what it knows, with its address. */
export type RelayingRouter = `leader ${string}` | `follower ${string}`;

/** Dependencies of `createEvacuations`. */
export interface EvacuationsConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  /** Time since the platform's store was restored, in ms. */
  sinceRestoreMs(): number;
}

/**
 * A data centre that is missing in a restored store remains evacuated for this
 * time, in ms: the order may have been lost, and operators write again what was
 * lost within seconds. A data centre that is empty for too long costs capacity;
 * one that is used too early breaks the order.
 */
const RESTORE_GRACE_MS = 3_000;

/** How a change became known, for the log. */
type EvacuationSource = 'read' | 'grace-ended' | RelayingRouter;

/**
 * Keeps the evacuated data centres. An order that can't be decoded changes
 * nothing.
 *
 * @example
 * ```ts
 * const evacuations = createEvacuations({clock, emit, sinceRestoreMs});
 * evacuations.applyRead(result.evacuations);
 * evacuations.current().has('north');
 * ```
 */
export function createEvacuations({
  clock,
  emit,
  sinceRestoreMs,
}: EvacuationsConfig): Evacuations {
  let evacuated: ReadonlySet<string> = new Set();
  /** Those missing in a restored store, which have time to be ordered again. */
  const missing = new Set<string>();
  const listeners = new Set<() => void>();
  let cancelGrace = (): void => undefined;

  const replace = (next: ReadonlySet<string>, by: EvacuationSource): void => {
    const added = [...next].filter(each => !evacuated.has(each));
    const removed = [...evacuated].filter(each => !next.has(each));
    if (added.length + removed.length === 0) return;
    evacuated = next;
    for (const dataCentre of added)
      emit('data-centre-evacuated', {dataCentre, by});
    for (const dataCentre of removed)
      emit('data-centre-returned', {dataCentre, by});
    listeners.forEach(listener => listener());
  };

  const endGrace = (): void => {
    const next = new Set([...evacuated].filter(each => !missing.has(each)));
    missing.clear();
    replace(next, 'grace-ended');
  };

  const replaceWhole = (
    listed: ReadonlySet<string>,
    by: EvacuationSource,
  ): void => {
    for (const dataCentre of listed) missing.delete(dataCentre);
    const graceMs = RESTORE_GRACE_MS - sinceRestoreMs();
    if (graceMs <= 0) return replace(listed, by);
    const absent = [...evacuated].filter(each => !listed.has(each));
    for (const dataCentre of absent) {
      if (missing.has(dataCentre)) continue;
      missing.add(dataCentre);
      emit('evacuation-missing', {dataCentre, by, graceMs});
    }
    cancelGrace();
    if (missing.size > 0) cancelGrace = clock.after(graceMs, endGrace);
    replace(new Set([...listed, ...absent]), by);
  };

  return {
    current: () => evacuated,
    missing: () => missing,
    applyRead({isWhole, changes}) {
      const next = new Set(isWhole ? [] : evacuated);
      for (const change of changes) {
        const {dataCentre} = change;
        if (change.kind === 'unreadable') {
          emit('evacuation-refused', {dataCentre, detail: change.detail});
          if (evacuated.has(dataCentre)) next.add(dataCentre);
          continue;
        }
        missing.delete(dataCentre);
        if (change.kind === 'evacuated') next.add(dataCentre);
        else next.delete(dataCentre);
      }
      if (isWhole) replaceWhole(next, 'read');
      else replace(next, 'read');
    },
    applyRelayed: (dataCentres, by) => replaceWhole(new Set(dataCentres), by),
    subscribe: listener => void listeners.add(listener),
    stop: () => cancelGrace(),
  };
}
