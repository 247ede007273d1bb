import tap from 'tap';
import type {AttemptResult, LossReason} from '@banyandrum/dispatch/attempt.js';
import type {Backend} from '@banyandrum/dispatch/backend.js';
import type {ForwardRequest} from '@banyandrum/dispatch/forward-state.js';
import type {SlotOutcome} from '@banyandrum/dispatch/slots.js';
import {createQuarantine} from '@banyandrum/dispatch/quarantine.js';
import {createCrashDetector} from '@banyandrum/dispatch/crash-detector.js';
import type {Standing} from '@banyandrum/dispatch/suspect.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const CONTENTS = {exact: 'e', anyCaller: 'c', anyQuery: 'q'};
const REQ = {
  ...{contents: () => CONTENTS, caller: '10.0.0.9', service: 'desks'},
  route: {name: 'checks'},
} as unknown as ForwardRequest;
const BACKEND = {
  info: {id: 's1', isLeaving: false},
} as unknown as Backend;

function lost(reason: LossReason, isWritten = true): AttemptResult {
  return {
    ...{kind: 'lost', reason, isWritten, detail: ''},
    fields: new Map(),
  };
}

const ANSWERED = {kind: 'answered'} as AttemptResult;

interface Case {
  readonly what: string;
  readonly result: AttemptResult;
  readonly slotOutcome: SlotOutcome;
  /** Standing afterwards, if it was unknown before and if it was suspected. */
  readonly after: readonly [Standing, Standing];
}

// Guards against suspecting or clearing a request because of a result that is
// no evidence for either.
const CASES: readonly Case[] = [
  {
    what: 'the server crashed',
    ...{result: lost('connection-lost'), slotOutcome: 'lost'},
    after: ['suspected', 'suspected'],
  },
  {
    what: 'nothing was written',
    ...{result: lost('not-connected', false), slotOutcome: 'unreached'},
    after: ['unknown', 'suspected'],
  },
  {
    what: 'the request timed out',
    ...{result: lost('timeout'), slotOutcome: 'lost'},
    after: ['unknown', 'suspected'],
  },
  {
    what: 'the answer was truncated',
    ...{result: lost('truncated'), slotOutcome: 'lost'},
    after: ['unknown', 'suspected'],
  },
  {
    what: 'a server answered',
    ...{result: ANSWERED, slotOutcome: 'answered'},
    after: ['unknown', 'unknown'],
  },
  {
    what: 'a server failed the request',
    ...{result: ANSWERED, slotOutcome: 'failed'},
    after: ['unknown', 'suspected'],
  },
  {
    what: 'another instance at the same address refused it',
    ...{result: ANSWERED, slotOutcome: 'refused'},
    after: ['unknown', 'suspected'],
  },
];

for (const {what, result, slotOutcome, after} of CASES) {
  void tap.test(`result of an attempt: ${what}`, async t => {
    for (const [index, wasSuspected] of [false, true].entries()) {
      const clock = createManualClock(1_000);
      const suspects = createSuspects(clock, () => undefined);
      const crashDetector = createCrashDetector({
        clock,
        probe: async () => 'refused',
      });
      const quarantine = createQuarantine(suspects, crashDetector);
      const struck = {...REQ, contents: CONTENTS, route: 'checks'};
      if (wasSuspected) suspects.addStrike(struck, 's0', false);
      const attempt = {
        req: REQ,
        backend: BACKEND,
        result,
        slotOutcome,
        isTrial: true,
      };
      await quarantine.noteAttempt({...attempt, sentAt: 1_000});
      t.equal(quarantine.standingOf(REQ), after[index]);
    }
  });
}
