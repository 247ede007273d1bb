import {build, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';
import type {LoadResult, LoadSpec} from './bench-load.js';

/*
 * Sends the load that its argument describes, as JSON, and prints the result
 * as one line of JSON.
 */

const TICK_MS = 1;
const US_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const DIGITS = 3;

interface Run {
  readonly spec: LoadSpec;
  readonly pools: readonly Pool[];
  readonly body: Buffer | null;
  /** Times in µs. */
  readonly times: Histogram;
  readonly endMs: number;
  sent: number;
  inFlight: number;
  readonly codes: Map<string, number>;
}

async function main(): Promise<void> {
  const spec = JSON.parse(process.argv[2] ?? '') as LoadSpec;
  const {addresses, concurrency} = spec;
  const connections = Math.ceil(concurrency / addresses.length);
  const startMs = performance.now();
  const run: Run = {
    spec,
    pools: addresses.map(
      address => new Pool(`http://${address}`, {connections, pipelining: 1}),
    ),
    body: spec.bodyBytes > 0 ? Buffer.alloc(spec.bodyBytes, 'b') : null,
    times: build({numberOfSignificantValueDigits: DIGITS}),
    endMs: startMs + spec.durationMs,
    sent: 0,
    inFlight: 0,
    codes: new Map(),
  };
  await (spec.ratePerSecond === null ? sendOnAnswer(run) : sendAtRate(run));
  const tookMs = performance.now() - startMs;
  process.stdout.write(`${JSON.stringify(resultOf(run, tookMs))}\n`);
  await Promise.all(run.pools.map(pool => pool.close()));
}

function isOver({sent, endMs, spec}: Run): boolean {
  return sent >= spec.maxRequests || performance.now() >= endMs;
}

async function sendOnAnswer(run: Run): Promise<void> {
  const caller = async (): Promise<void> => {
    while (!isOver(run)) await ask(run, performance.now());
  };
  await Promise.all(Array.from({length: run.spec.concurrency}, caller));
}

/**
 * Times count from when each request was due, so that a stall of the other
 * side shows in all the requests that it held up.
 */
async function sendAtRate(run: Run): Promise<void> {
  const {ratePerSecond, concurrency} = run.spec;
  const gapMs = MS_PER_SECOND / ratePerSecond!;
  const asked: Promise<void>[] = [];
  let dueMs = performance.now();
  while (!isOver(run)) {
    for (; dueMs <= performance.now(); dueMs += gapMs) {
      if (run.inFlight >= concurrency) count(run, 'not-sent');
      else asked.push(ask(run, dueMs));
    }
    await new Promise(resolve => setTimeout(resolve, TICK_MS));
  }
  await Promise.all(asked);
}

async function ask(run: Run, fromMs: number): Promise<void> {
  const {spec, pools, body} = run;
  const turn = run.sent++;
  const pool = pools[turn % pools.length]!;
  run.inFlight++;
  try {
    const res = await pool.request({
      path: spec.paths[turn % spec.paths.length]!,
      method: spec.method,
      headers: spec.headers,
      body,
    });
    const bytes = (await res.body.arrayBuffer()).byteLength;
    const isWhole = body === null || bytes === body.length;
    if (res.statusCode >= 300 || !isWhole) {
      return count(run, String(res.headers['banyandrum-code'] ?? 'not-whole'));
    }
    run.times.recordValue(Math.round((performance.now() - fromMs) * US_PER_MS));
  } catch {
    count(run, 'lost');
  } finally {
    run.inFlight--;
  }
}

function count({codes}: Run, code: string): void {
  codes.set(code, (codes.get(code) ?? 0) + 1);
}

function resultOf({times, codes}: Run, tookMs: number): LoadResult {
  const msAt = (percent: number): number =>
    times.getValueAtPercentile(percent) / US_PER_MS;
  return {
    answered: times.totalCount,
    failed: [...codes.values()].reduce((sum, value) => sum + value, 0),
    codes: Object.fromEntries(codes),
    perSecond: (times.totalCount * MS_PER_SECOND) / tookMs,
    p50Ms: msAt(50),
    p99Ms: msAt(99),
  };
}

await main();
