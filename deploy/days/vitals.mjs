// Prints what the routers told of themselves, two seconds a row: who leads, how
// busy it and the others are, how late, and the calls to the platform by what
// they were for.
//
//   node deploy/days/vitals.mjs < printed-log
//
// Each line of the log is `TIME HOST {...}` as the bench prints it, or the JSON
// object alone as a router writes it.
import console from 'node:console';
import process from 'node:process';
import {createInterface} from 'node:readline';

const PERIOD_S = 2;
const PURPOSES = [
  ...['join', 'config', 'servers', 'routers', 'tables', 'save', 'term'],
  'leave',
];

/** One period; counts and lists grow as lines are read. */
function createPeriod() {
  return {
    leaders: [],
    busy: [],
    lags: [],
    left: 0,
    began: 0,
    calls: Object.fromEntries(PURPOSES.map(purpose => [purpose, 0])),
  };
}

function read(line) {
  const start = line.indexOf('{');
  if (start < 0) return null;
  try {
    const event = JSON.parse(line.slice(start));
    const time = Number.parseFloat(line);
    return {event, time: Number.isNaN(time) ? event.at / 1_000 : time};
  } catch {
    return null;
  }
}

const TAKERS = {
  vitals(period, {host, isLeading, busy, lagMs, followers, calls}) {
    if (isLeading) period.leaders.push(`${host}:${followers}:${busy}:${lagMs}`);
    else {
      period.busy.push(busy);
      period.lags.push(lagMs);
    }
    for (const part of calls.split(' ').filter(Boolean)) {
      const [purpose, count] = part.split(':');
      period.calls[purpose] = (period.calls[purpose] ?? 0) + Number(count);
    }
  },
  'leader-left'(period) {
    period.left++;
  },
  'leadership-began'(period) {
    period.began++;
  },
};

function quantile(values, share) {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * share)] ?? 0;
}

const periods = new Map();
for await (const line of createInterface({input: process.stdin})) {
  const told = read(line);
  const take = TAKERS[told?.event.event];
  if (take === undefined) continue;
  const from = Math.floor(told.time / PERIOD_S) * PERIOD_S;
  if (!periods.has(from)) periods.set(from, createPeriod());
  take(periods.get(from), told.event);
}

const head = ['second', 'terms', 'left', 'busy p50', 'p90', 'lag p90'];
console.log([...head, ...PURPOSES, 'leader:followers:busy:lag'].join('\t'));
const totals = Object.fromEntries(PURPOSES.map(purpose => [purpose, 0]));
for (const [from, period] of [...periods].sort(([a], [b]) => a - b)) {
  const {leaders, busy, lags, left, began, calls} = period;
  for (const purpose of PURPOSES) totals[purpose] += calls[purpose];
  const shares = [quantile(busy, 0.5), quantile(busy, 0.9)];
  console.log(
    [
      ...[from, began, left, ...shares, quantile(lags, 0.9)],
      ...PURPOSES.map(purpose => calls[purpose]),
      leaders.join(' '),
    ].join('\t'),
  );
}
const sums = PURPOSES.map(purpose => totals[purpose]);
console.log(['all', '', '', '', '', '', ...sums].join('\t'));
