import type {Clock} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {setLogLevel, type Logger} from '@banyandrum/base/logger.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import {versionOf} from '@banyandrum/config/fold.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {OperatorActions} from '@banyandrum/operators/actions.js';
import type {StateMessage} from '@banyandrum/operators/messages.js';
import {createOperatorChanges} from './operator-changes.js';
import {createStatus, type StatusOptions} from './operator-status.js';
import {watchState} from './operator-watch.js';

export interface OperatorActionsOptions extends StatusOptions {
  readonly self: Incarnation;
  readonly store: StateStore;
  readonly clock: Clock;
  readonly log: Logger;
}

/**
 * What operators can do, carried out by this process.
 *
 * @example
 * ```ts
 * const actions = createOperatorActions(options);
 * const service = createOperatorsService({actions, ...});
 * ```
 */
export function createOperatorActions(
  options: OperatorActionsOptions,
): OperatorActions {
  const {store, clock, log} = options;
  const status = createStatus(options);
  return {
    ...createOperatorChanges(store),
    state: async () => Ok(describeState(store, clock)),
    publication: async () => {
      const {publication} = store.current();
      if (publication !== null) return Ok(publication);
      return Err({kind: 'not-found', detail: 'nothing has been published'});
    },
    history: async limit => {
      const newest = store.current().audit.slice(-limit).reverse();
      return Ok({entries: newest});
    },
    status: status.read,
    explain: status.explain,
    setLogLevel: async (operator, level) => {
      setLogLevel(level);
      log.info('log level set', {level, operator: operator.name});
      return Ok(level);
    },
    watch: signal => watchState(store, clock, signal),
  };
}

function describeState(store: StateStore, clock: Clock): StateMessage {
  const state = store.current();
  const age = clock.now() - store.confirmedAt();
  return {
    version: versionOf(state),
    publication: state.publication,
    next: state.next,
    confirmedAgeMs: Number.isFinite(age) ? age : null,
    drains: [...state.drains].sort(),
  };
}
