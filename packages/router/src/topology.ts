import type {Service} from '@banyandrum/config/inventory.js';
import {matchOperation} from '@banyandrum/config/match-operation.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {PolicyLookup} from '@banyandrum/callers/policy.js';

/** Looks up a service of the inventory in force. */
export type ServiceLookup = (name: string) => Service | null;

/**
 * Looks services up by name, in one step for each request.
 *
 * @example
 * ```ts
 * const serviceOf = createServiceLookup(store);
 * serviceOf('holds')?.shards;
 * ```
 */
export function createServiceLookup(store: StateStore): ServiceLookup {
  let known: ClusterState['inventory'] | null = null;
  let services = new Map<string, Service>();
  return name => {
    const {inventory} = store.current();
    if (inventory !== known) {
      known = inventory;
      services = new Map(inventory.services.map(entry => [entry.name, entry]));
    }
    return services.get(name) ?? null;
  };
}

/** What the rules in force say about a caller's request. */
export function createPolicyLookup(
  store: StateStore,
  serviceOf: ServiceLookup,
): PolicyLookup {
  return (service, method, path) => {
    const {rules} = store.current();
    const {maxDeadlineMs, maxBodyBytes} = rules.limits;
    const matched = matchOperation(rules, service, method, path);
    // Named one by one: a spread of these took 2 % of a request's time.
    const {precedence, once, deadlineMs} = matched;
    return {
      known: serviceOf(service) !== null,
      precedence,
      once,
      deadlineMs,
      maxDeadlineMs,
      maxBodyBytes,
    };
  };
}
