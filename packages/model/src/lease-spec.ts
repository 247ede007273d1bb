import type {Specification} from './explore.js';
import {trim} from './lease-ages.js';
import {type LeaseContext, findLeaseBreach} from './lease-rules.js';
import {
  type LeaderName,
  type LeaseSafeguards,
  type LeaseScope,
  type LeaseState,
  type ServerName,
  LEADERS,
  SERVERS,
  createInitialLeases,
  serializeLeases,
} from './lease-state.js';
import {
  type LeaseStep,
  CELL_STEPS,
  LEADER_STEPS,
  SERVER_STEPS,
} from './lease-steps.js';

type LeaderStepName = keyof typeof LEADER_STEPS;
type ServerStepName = keyof typeof SERVER_STEPS;
type CellStepName = keyof typeof CELL_STEPS;
type StepName = LeaderStepName | ServerStepName | CellStepName;

const STEPS: Readonly<Record<StepName, LeaseStep>> = {
  ...LEADER_STEPS,
  ...SERVER_STEPS,
  ...CELL_STEPS,
};

/** One step of one leader at one server. */
export interface LeaseEvent {
  readonly type: StepName;
  readonly leader: LeaderName;
  readonly server: ServerName;
}

const EVENTS = listAllEvents();

/**
 * The rules by which one server at a time holds a shard: an old leader, its
 * successor, two servers, one shard.
 *
 * Time goes in ticks, a lease lasts two. Each order echoes a stamp that was
 * read in the step that sends it, the longest lease that the rules allow. An
 * order is acknowledged at once, or it is never answered and may arrive at
 * any later moment and any number of times. `docs/design/model.md` says what
 * is abstracted away.
 *
 * @example
 * ```ts
 * explore(createLeaseSpec(ALL_LEASE_SAFEGUARDS, scope));
 * ```
 */
export function createLeaseSpec(
  guards: LeaseSafeguards,
  scope: LeaseScope,
): Specification<LeaseState, LeaseEvent> {
  const ctx: LeaseContext = {guards, scope};
  return {
    initial: createInitialLeases(scope),
    events: state =>
      EVENTS.filter(({type, leader, server}) =>
        STEPS[type].can(ctx, state, leader, server),
      ),
    next: (state, {type, leader, server}) =>
      trim(ctx, STEPS[type].next(ctx, state, leader, server)),
    violation: state => findLeaseBreach(ctx, state),
    serialize: serializeLeases,
    describe: describeEvent,
  };
}

function listAllEvents(): readonly LeaseEvent[] {
  const events: LeaseEvent[] = [];
  for (const type of Object.keys(CELL_STEPS) as CellStepName[]) {
    events.push({type, leader: 'L', server: 'A'});
  }
  for (const server of SERVERS) {
    for (const type of Object.keys(SERVER_STEPS) as ServerStepName[]) {
      events.push({type, leader: 'L', server});
    }
    for (const leader of LEADERS) {
      for (const type of Object.keys(LEADER_STEPS) as LeaderStepName[]) {
        events.push({type, leader, server});
      }
    }
  }
  return events;
}

function describeEvent({type, leader, server}: LeaseEvent): string {
  const {says} = STEPS[type];
  return says
    .replaceAll(/\bP\b/g, server)
    .replaceAll(/\bL\b/g, type in LEADER_STEPS ? leader : 'L');
}
