import tap from 'tap';
import {hashCaller} from '@banyandrum/dispatch/caller-hash.js';
import {reportQueueShares} from '@banyandrum/gateway/queue-reports.js';
import type {RefusalCount} from '@banyandrum/slots/queue-report.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const FLOW = {service: 'holds', owner: 's4', priority: 0};

// Guards against logs that show who was refused, but not for whom, and against
// a line every two seconds from routers that refuse nothing.
void tap.test('the largest flows are logged after refusals', async t => {
  const clock = createManualClock(1_000);
  const lines: unknown[] = [];
  let refusals: readonly RefusalCount[] = [];
  const stop = reportQueueShares(
    clock,
    (event, fields) => lines.push({event, ...fields}),
    {
      refusals: () => refusals,
      largestFlows: () => [
        {...FLOW, kind: 'key', name: '917', slotsTaken: 2.41, slotsAsked: 6.1},
      ],
    },
  );
  await clock.advance(4_000);
  t.same(lines, []);
  refusals = [{service: 'holds', why: 'displaced', count: 3}];
  await clock.advance(4_000);
  t.same(lines, [
    {
      ...{event: 'queue-shares', refused: 'displaced:3'},
      ...{callers: '', keys: 'holds/s4:917=2.4/6.1'},
    },
  ]);
  stop();
});

// Guards against a caller that is taken for an unknown one, or for another.
void tap.test('addresses have distinct hashes other than 0', async t => {
  const hashes = new Set<number>();
  for (let host = 0; host < 1_000; host++)
    hashes.add(hashCaller(`10.4.${host >> 8}.${host & 255}`));
  t.equal(hashes.size, 1_000);
  t.notOk(hashes.has(0));
  t.equal(hashCaller(''), hashCaller(''));
});
