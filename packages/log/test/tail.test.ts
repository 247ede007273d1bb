import tap, {type Test} from 'tap';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import type {
  LogClient,
  LogError,
  LogPage,
  ReadOptions,
} from '@banyandrum/log/client.js';
import {runTail, type TailPage} from '@banyandrum/log/tail.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

const WAIT_MS = 250;

void tap.test(
  'a page confirms the state at the time its read was sent',
  async t => {
    // Guards against a leader that acts on an outdated read: records appended
    // after the read was sent may be missing, as are those of further pages.
    const tail = startTail(t, [
      {tookMs: 400, result: page(1, 2, 5)},
      {tookMs: 100, result: page(3, 2, 5)},
      {tookMs: 250, result: page(5, 0, 5)},
    ]);
    await tail.clock.advance(750);
    t.same(tail.froms, [1, 3, 5, 5]);
    t.same(tail.confirmed, [null, 400, 500]);
  },
);

void tap.test('reads are retried with backoff during an outage', async t => {
  // The log is down for six reads. Nothing is confirmed meanwhile, and one
  // successful read resets the backoff.
  const down = {tookMs: 0, result: failed('unavailable')};
  const tail = startTail(t, [
    ...Array.from({length: 6}, () => down),
    {tookMs: 10, result: page(1, 1, 2)},
    down,
    {tookMs: 10, result: page(2, 0, 2)},
  ]);
  await tail.clock.advance(10_000);
  const gaps = tail.sentAt.map((at, i) => at - (tail.sentAt[i - 1] ?? 0));
  t.same(gaps, [0, 50, 100, 200, 400, 500, 500, 10, 50, 10]);
  t.same(tail.confirmed, [1750, 1810]);
  t.ok(tail.timeouts.every(timeoutMs => timeoutMs === 1000));
});

void tap.test('delays are spread over their whole range', async t => {
  // Guards against routers that lost the log together and all retry together.
  const firstRetry = async (draw: number): Promise<number | undefined> => {
    const script = [{tookMs: 0, result: failed('unavailable')}];
    const tail = startTail(t, script, () => draw);
    await tail.clock.advance(1000);
    return tail.sentAt[1];
  };
  t.same(
    [await firstRetry(0), await firstRetry(0.25), await firstRetry(0.75)],
    [0, 25, 75],
  );
});

void tap.test('expired records are reported to the callback', async t => {
  // The callback loads a snapshot up to 40, and the reader continues there. The
  // expiry itself confirms nothing.
  const expired = Err({kind: 'expired', detail: '', first: 30} as const);
  const tail = startTail(
    t,
    [
      {tookMs: 10, result: expired},
      {tookMs: 10, result: page(40, 1, 41)},
    ],
    undefined,
    () => 40,
  );
  await tail.clock.advance(100);
  t.same(tail.expired, [30]);
  t.same(tail.froms, [1, 40, 41]);
  t.same(tail.confirmed, [10]);
});

void tap.test('an end that moved back confirms nothing', async t => {
  // Guards against a replaced leader that continues to act, confirmed by an
  // outdated replica of the log.
  const tail = startTail(t, [
    {tookMs: 10, result: page(1, 5, 6)},
    {tookMs: 10, result: page(6, 0, 3)},
    {tookMs: 10, result: page(6, 0, 6)},
  ]);
  await tail.clock.advance(1000);
  t.same(tail.froms, [1, 6, 6, 6]);
  t.same(tail.confirmed, [0, 70]);
});

void tap.test('the timeout grows after timeouts and shrinks again', async t => {
  // Guards against a log that can never be read because it is slower than a
  // fixed timeout.
  const timedOut = (timeoutMs: number): Scripted => ({
    tookMs: WAIT_MS + timeoutMs,
    result: failed('unavailable'),
  });
  const tail = startTail(t, [
    timedOut(1000),
    timedOut(2000),
    timedOut(4000),
    {tookMs: WAIT_MS + 3000, result: page(1, 0, 1)},
    {tookMs: WAIT_MS + 5, result: page(1, 0, 1)},
    {tookMs: WAIT_MS + 5, result: page(1, 0, 1)},
    {tookMs: WAIT_MS + 5, result: page(1, 0, 1)},
  ]);
  await tail.clock.advance(30_000);
  t.same(tail.timeouts, [1000, 2000, 4000, 5000, 5000, 2500, 1250, 1000]);
});

interface Scripted {
  readonly tookMs: number;
  readonly result: Result<LogPage, LogError>;
}

interface RunningTail {
  readonly clock: ManualClock;
  readonly froms: number[];
  readonly sentAt: number[];
  readonly timeouts: (number | undefined)[];
  readonly confirmed: (number | null)[];
  readonly expired: number[];
}

/** Runs a tail with scripted responses; further reads never return. */
function startTail(
  t: Test,
  script: readonly Scripted[],
  random = (): number => 0.5,
  onExpired = (first: number): number => first,
): RunningTail {
  const clock = createManualClock();
  const tail: RunningTail = {
    clock,
    froms: [],
    sentAt: [],
    timeouts: [],
    confirmed: [],
    expired: [],
  };
  const left = [...script];
  const client: LogClient = {
    append: () => Promise.reject(new Error('not scripted')),
    read: (options: ReadOptions, signal) => {
      tail.froms.push(options.from);
      tail.sentAt.push(clock.now());
      tail.timeouts.push(options.timeoutMs);
      return answer(clock, left.shift(), signal);
    },
    close: () => Promise.resolve(),
  };
  const stop = new AbortController();
  const running = runTail({
    client,
    from: 1,
    clock,
    waitMs: WAIT_MS,
    signal: stop.signal,
    log: createSilentLogger(),
    firstPauseMs: 100,
    maxPauseMs: 1000,
    random,
    onPage: ({confirmedAt}: TailPage) => {
      tail.confirmed.push(confirmedAt);
    },
    onExpired: first => {
      tail.expired.push(first);
      return onExpired(first);
    },
  });
  t.teardown(async () => {
    stop.abort();
    await running;
  });
  return tail;
}

function answer(
  clock: ManualClock,
  next: Scripted | undefined,
  signal: AbortSignal | undefined,
): Promise<Result<LogPage, LogError>> {
  return new Promise(resolve => {
    signal?.addEventListener('abort', () => resolve(failed('unavailable')));
    if (next !== undefined) {
      clock.after(next.tookMs, () => resolve(next.result));
    }
  });
}

function page(
  from: number,
  count: number,
  end: number,
): Result<LogPage, LogError> {
  const records = Array.from({length: count}, (_, i) => ({
    offset: from + i,
    data: new Uint8Array(1),
  }));
  return Ok({first: 1, end, records});
}

function failed(kind: LogError['kind']): Result<LogPage, LogError> {
  return Err({kind, detail: 'scripted'});
}
