import tap from 'tap';
import type {AttemptResult, LossReason} from '@banyandrum/dispatch/attempt.js';
import type {Backend} from '@banyandrum/dispatch/backend.js';
import type {ForwardRequest} from '@banyandrum/dispatch/forward-state.js';
import type {SlotOutcome} from '@banyandrum/dispatch/slots.js';
import {createQuarantine} from '@banyandrum/dispatch/quarantine.js';
import {createCrashDetector} from '@banyandrum/dispatch/server-ends.js';
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
  readonly end: AttemptResult;
  readonly how: SlotOutcome;
  /** What is believed of it then, where it was unknown and suspected. */
  readonly after: readonly [Standing, Standing];
}

// One end of a server is held against a request, or for it, only where that is
// what it shows.
const CASES: readonly Case[] = [
  {
    what: 'its server ended',
    ...{end: lost('connection-lost'), how: 'lost'},
    after: ['suspected', 'suspected'],
  },
  {
    what: 'nothing was written',
    ...{end: lost('not-connected', false), how: 'unreached'},
    after: ['unknown', 'suspected'],
  },
  {
    what: 'it took too long',
    ...{end: lost('timeout'), how: 'lost'},
    after: ['unknown', 'suspected'],
  },
  {
    what: 'its answer was cut',
    ...{end: lost('truncated'), how: 'lost'},
    after: ['unknown', 'suspected'],
  },
  {
    what: 'a server answered it',
    ...{end: ANSWERED, how: 'answered'},
    after: ['unknown', 'unknown'],
  },
  {
    what: 'a server failed it',
    ...{end: ANSWERED, how: 'failed'},
    after: ['unknown', 'suspected'],
  },
  {
    what: 'another run refused it at the address of the one that ended',
    ...{end: ANSWERED, how: 'refused'},
    after: ['unknown', 'suspected'],
  },
];

for (const {what, end: result, how: slotOutcome, after} of CASES) {
  void tap.test(`what an attempt shows: ${what}`, async t => {
    for (const [at, wasSuspected] of [false, true].entries()) {
      const clock = createManualClock(1_000);
      const suspects = createSuspects(clock, () => undefined);
      const ends = createCrashDetector({clock, probe: async () => 'refused'});
      const quarantine = createQuarantine(suspects, ends);
      const struck = {...REQ, contents: CONTENTS, route: 'checks'};
      if (wasSuspected) suspects.addStrike(struck, 's0', false);
      const attempt = {
        req: REQ,
        backend: BACKEND,
        result: result,
        slotOutcome: slotOutcome,
        isTrial: true,
      };
      await quarantine.noteAttempt({...attempt, sentAt: 1_000});
      t.equal(quarantine.standingOf(REQ), after[at]);
    }
  });
}
