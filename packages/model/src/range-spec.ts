import type {Specification} from './explore.js';
import {
  createInitialRange,
  RANGE_LEADERS,
  RANGE_SERVERS,
  serializeRange,
  type RangeLeader,
  type RangeSafeguards,
  type RangeScope,
  type RangeServer,
  type RangeState,
} from './range-state.js';
import {RESTORE_STEP, RESTORED_LEADER_STEPS} from './range-restore.js';
import {
  LEADER_RANGE_STEPS,
  ORDER_RANGE_STEPS,
  SERVER_RANGE_STEPS,
  WHOLE_RANGE_STEPS,
} from './range-steps.js';
import {TAKEOVER_STEPS} from './range-takeover.js';
import type {RangeContext, RangeStep} from './range-rules.js';

/** One step of one leader at one server. */
export interface RangeEvent {
  readonly type: string;
  readonly leader: RangeLeader;
  readonly server: RangeServer;
}

const STEPS: Readonly<Record<string, RangeStep>> = {
  ...LEADER_RANGE_STEPS,
  ...ORDER_RANGE_STEPS,
  ...SERVER_RANGE_STEPS,
  ...WHOLE_RANGE_STEPS,
  ...RESTORED_LEADER_STEPS,
  ...TAKEOVER_STEPS,
  restore: RESTORE_STEP,
};

const EVENTS = listEvents();

/**
 * The rules by which one server at a time holds a range of keys: a leader,
 * its successor, two servers, one range, the store that keeps the record.
 *
 * Time goes in ticks. Orders are answered, obeyed without an answer, obeyed
 * late, or lost; a lost one is a step that never happens, and so is a cut
 * between any two of them, or an outage of the store.
 *
 * @example
 * ```ts
 * explore(createRangeSpec(ALL_RANGE_SAFEGUARDS, scope));
 * ```
 */
export function createRangeSpec(
  guards: RangeSafeguards,
  scope: RangeScope,
): Specification<RangeState, RangeEvent> {
  const ctx: RangeContext = {guards, scope};
  return {
    initial: createInitialRange(scope),
    events: state =>
      EVENTS.filter(({type, leader, server}) =>
        STEPS[type]!.can(ctx, state, leader, server),
      ),
    next: (state, {type, leader, server}) =>
      STEPS[type]!.next(ctx, state, leader, server),
    violation: findBreach,
    serialize: serializeRange,
    describe: ({type, leader, server}) =>
      STEPS[type]!.says.replaceAll(/\bM\b/g, leader).replaceAll(
        /\bP\b/g,
        server,
      ),
  };
}

function findBreach({servers, hasSunk}: RangeState): string | null {
  if (servers.A.left > 0 && servers.B.left > 0) return 'both hold the range';
  return hasSunk ? 'a fence is not above that of another server' : null;
}

function listEvents(): readonly RangeEvent[] {
  const [leader] = RANGE_LEADERS;
  const [server] = RANGE_SERVERS;
  const toEvents = (
    steps: object,
    leaders: readonly RangeLeader[],
    servers: readonly RangeServer[],
  ): readonly RangeEvent[] =>
    Object.keys(steps).flatMap(type =>
      leaders.flatMap(by =>
        servers.map(at => ({type, leader: by, server: at})),
      ),
    );
  return [
    ...toEvents({...WHOLE_RANGE_STEPS, restore: 0}, [leader], [server]),
    ...toEvents(TAKEOVER_STEPS, [leader], [server]),
    ...toEvents(RESTORED_LEADER_STEPS, RANGE_LEADERS, [server]),
    ...toEvents(SERVER_RANGE_STEPS, [leader], RANGE_SERVERS),
    ...toEvents(LEADER_RANGE_STEPS, RANGE_LEADERS, [server]),
    ...toEvents(ORDER_RANGE_STEPS, RANGE_LEADERS, RANGE_SERVERS),
  ];
}
