import tap from 'tap';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import type {Suspect} from '@banyandrum/dispatch/suspect.js';
import type {Leadership} from '@banyandrum/gateway/leadership.js';
import type {LinkClient} from '@banyandrum/gateway/link-client.js';
import type {Platform} from '@banyandrum/gateway/platform.js';
import {shareSuspects} from '@banyandrum/gateway/share-suspects.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

function quarantinedRow(content: string): Suspect {
  return {
    ...{content, scope: 'exact', family: content},
    ...{caller: '10.0.0.9', service: 'desks', route: 'checks'},
    ...{round: 0, isQuarantined: true, cleared: null},
    strikes: [{server: 's1', isTrial: true, by: ''}],
  };
}

// Guards against losing a quarantine that was stored after the snapshot from
// which the store was restored.
void tap.test('a restore of the store loses no quarantine', async t => {
  const clock = createManualClock();
  const suspects = createSuspects(clock, () => undefined);
  let stored = new Map<string, Suspect>();
  let epoch = 1;
  const listeners: (() => void)[] = [];
  const platform = {
    suspects: {
      load: async () => [...stored.values()],
      async save(_epoch: number, row: Suspect) {
        stored.set(row.content, row);
        return 'saved';
      },
    },
  } as unknown as Platform;
  const leadership = {
    epoch: () => epoch,
    isLeading: () => true,
    checkTerm: () => undefined,
    subscribe: (listener: () => void) => void listeners.push(listener),
  } as unknown as Leadership;
  let isStopped = false;
  shareSuspects({
    ...{clock, suspects, leadership, platform},
    link: {isSynced: () => true} as unknown as LinkClient,
    emit: () => undefined,
    goesOn: () => !isStopped,
    unixNow: () => 0,
  });
  listeners.forEach(listener => listener());
  await clock.advance(1_000);
  const snapshot = new Map(stored);
  suspects.merge([quarantinedRow('c1')]);
  await clock.advance(1_000);
  t.ok(stored.has('c1'));
  stored = snapshot;
  epoch = 2;
  listeners.forEach(listener => listener());
  await clock.advance(1_000);
  t.ok(stored.has('c1'), 'saved again');
  isStopped = true;
});
