import tap from 'tap';
import {createLeaderlessRetry} from '@banyandrum/gateway/leaderless-retry.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

/** As the callers of the shortest route in use: limit in ms, and retries. */
const TIMEOUT_MS = 3_000;
const RETRIES = 2;
/** Callers wait for at most this share of the time that they have left. */
const MAX_WAIT_SHARE = 1 / 3;
/** How long a router waits for an owner before it refuses, in ms. */
const WAIT_MS = 250;
const CALLERS = 1_000;
/** Time from the loss of a leader until the platform chooses another, in ms. */
const SUCCESSION_MS = 1_700;

/** When the last attempt of each caller arrives in an outage that goes on. */
async function lastArrivals(outageMs: number): Promise<readonly number[]> {
  const clock = createManualClock(10_000);
  const random = createRandom(7);
  let leaderAgeMs = outageMs;
  const retryMs = createLeaderlessRetry({
    ...{clock, random, leaderAgeMs: () => leaderAgeMs},
  });
  await clock.advance(outageMs);
  return Array.from({length: CALLERS}, () => {
    let at = 0;
    for (let retry = 0; retry < RETRIES; retry++) {
      leaderAgeMs = outageMs + at + WAIT_MS;
      const leftMs = TIMEOUT_MS - at - WAIT_MS;
      at += WAIT_MS + Math.min(retryMs(), leftMs * MAX_WAIT_SHARE);
    }
    return at;
  });
}

// Guards against callers that use up their retries before a leader can begin.
void tap.test('callers are back after the loss of a leader', async t => {
  const outageMs = 600;
  const earliest = outageMs + Math.min(...(await lastArrivals(outageMs)));
  t.ok(earliest > SUCCESSION_MS, `${earliest} ms after the loss`);
  const inOutage = Math.min(...(await lastArrivals(4_000)));
  t.ok(inOutage > TIMEOUT_MS / 2, `${inOutage} ms after the first attempt`);
});

// Guards against callers that were refused together and return together.
void tap.test('callers return apart', async t => {
  const clock = createManualClock(10_000);
  const random = createRandom(11);
  const retryMs = createLeaderlessRetry({
    ...{clock, random, leaderAgeMs: () => Infinity},
  });
  t.ok(retryMs() <= 375, 'a router that has just started');
  await clock.advance(1_000);
  const times = Array.from({length: CALLERS}, retryMs).sort((a, b) => a - b);
  const share = (fromMs: number): number =>
    times.filter(each => each >= fromMs && each < fromMs + 100).length /
    CALLERS;
  for (let fromMs = 750; fromMs < 1_250; fromMs += 100)
    t.ok(share(fromMs) < 0.25, `${fromMs} ms: ${share(fromMs)}`);
  t.ok(times[0]! >= 750 && times.at(-1)! <= 1_250);
});
