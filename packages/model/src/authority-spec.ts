import {type AuthorityContext, findBreach} from './authority-rules.js';
import {
  type AuthoritySafeguards,
  type AuthorityScope,
  type AuthorityState,
  type Process,
  PROCESSES,
  createInitial,
  serializeAuthority,
} from './authority-state.js';
import {
  type AuthorityStep,
  LIVING_STEPS,
  OUTER_STEPS,
} from './authority-steps.js';
import type {Specification} from './explore.js';

type StepName = keyof typeof LIVING_STEPS | keyof typeof OUTER_STEPS;

const STEPS: Readonly<Record<StepName, AuthorityStep>> = {
  ...LIVING_STEPS,
  ...OUTER_STEPS,
};
const LIVING_NAMES = Object.keys(LIVING_STEPS) as readonly StepName[];
const OUTER_NAMES = Object.keys(OUTER_STEPS) as readonly StepName[];

/** One step of one process. */
export interface AuthorityEvent {
  readonly type: StepName;
  readonly proc: Process;
}

/**
 * The protocol by which one process at a time may act for a cell.
 *
 * Time goes in ticks. A pause is a process that takes no step while ticks
 * pass, a partition a message that is never delivered, an outage of the log a
 * read or an append that never happens. `docs/design/model.md` says what is
 * abstracted away.
 *
 * @example
 * ```ts
 * explore(createAuthoritySpec(ALL_AUTHORITY_SAFEGUARDS, scope));
 * ```
 */
export function createAuthoritySpec(
  guards: AuthoritySafeguards,
  scope: AuthorityScope,
): Specification<AuthorityState, AuthorityEvent> {
  const ctx = {guards, scope};
  return {
    initial: createInitial(scope),
    events: state => listEvents(ctx, state),
    next: (state, {type, proc}) => STEPS[type].next(ctx, state, proc),
    violation: state => findBreach(ctx, state),
    serialize: serializeAuthority,
    describe: ({type, proc}) => STEPS[type].says.replace('P', proc),
  };
}

function listEvents(
  ctx: AuthorityContext,
  state: AuthorityState,
): readonly AuthorityEvent[] {
  const events: AuthorityEvent[] = [];
  for (const proc of PROCESSES) {
    const names = state.procs[proc].gone
      ? OUTER_NAMES
      : [...LIVING_NAMES, ...OUTER_NAMES];
    for (const type of names) {
      if (STEPS[type].can(ctx, state, proc)) events.push({type, proc});
    }
  }
  return events;
}
