import tap from 'tap';
import {simulateLimits, type LimitLoad} from './simulate-limits.js';

const WINDOW_MS = 4_000;
/** Time after the first report before a limit must be enforced, in ms. */
const GRACE_MS = 3_000;
const SECONDS = 30;

interface Case {
  readonly what: string;
  readonly limit: (at: number) => number;
  readonly leaderless?: LimitLoad['leaderless'];
  /** Minimum fraction of the limit that must be used. */
  readonly minUsed: number;
}

const CASES: readonly Case[] = [
  {what: 'a limit of 12 a second', limit: () => 12, minUsed: 0.95},
  {what: 'a limit of 0.5 a second', limit: () => 0.5, minUsed: 0.95},
  {
    what: 'a limit that falls and rises',
    limit: at => (Math.floor(at / 2_000) % 2 === 0 ? 10 : 5),
    minUsed: 0.95,
  },
  {
    what: 'a limit during a brief loss of the leader',
    limit: () => 5.4,
    leaderless: {from: 12_000, to: 15_000},
    minUsed: 0.8,
  },
  {
    what: 'a low limit during a long loss of the leader',
    limit: () => 0.5,
    leaderless: {from: 8_000, to: 24_000},
    minUsed: 0.4,
  },
];

/** Maximum ratio of arrivals to allowed requests over all windows. */
function peakRatio(
  arrivals: readonly number[],
  limit: (at: number) => number,
): number {
  let maxRatio = 0;
  for (let from = GRACE_MS; from < SECONDS * 1_000; from += 10) {
    const until = from + WINDOW_MS;
    const count = arrivals.filter(at => at >= from && at < until).length;
    let sum = 0;
    for (let at = from; at < until; at += 100) sum += limit(at) / 10;
    maxRatio = Math.max(maxRatio, count / (1.5 * sum + 5));
  }
  return maxRatio;
}

// Guards against each router using the whole limit by itself.
for (const routers of [4, 10, 59]) {
  for (const {what, limit, leaderless, minUsed} of CASES) {
    void tap.test(`${routers} routers share ${what}`, async t => {
      const outcomes = await simulateLimits({
        ...{seed: routers, seconds: SECONDS, routers, perSecond: 120},
        limits: [limit, limit, limit],
        ...(leaderless !== undefined && {leaderless}),
      });
      let quota = 0;
      for (let at = 0; at < SECONDS * 1_000; at += 100) quota += limit(at) / 10;
      for (const {arrivals} of outcomes) {
        const peak = peakRatio(arrivals, limit);
        t.ok(peak <= 1, `${peak.toFixed(2)} of the allowed requests`);
        const used = arrivals.length / quota;
        t.ok(used >= minUsed, `${used.toFixed(2)} of the limit used`);
      }
    });
  }
}
