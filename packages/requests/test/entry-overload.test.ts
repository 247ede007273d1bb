import tap from 'tap';
import {failure} from '@banyandrum/base/failure.js';
import type {ServiceRequest} from '@banyandrum/base/request.js';
import {createEntryLimits} from '@banyandrum/requests/entry-limits.js';
import {createThrottle} from '@banyandrum/requests/throttle.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {request, RULES} from './fakes.js';
import {createRandom} from './load.js';

const LIMIT_CASES = [
  {name: 'room for all levels', held: 3, ask: {precedence: 2}, code: null},
  {
    name: 'no room for reports',
    held: 5,
    ask: {precedence: 2},
    code: 'overloaded',
  },
  {name: 'but for holds', held: 5, ask: {precedence: 0}, code: null},
  {name: 'none left', held: 10, ask: {precedence: 0}, code: 'overloaded'},
  {
    name: 'too many bytes',
    held: 2,
    ask: {body: new Uint8Array(900)},
    code: 'overloaded',
  },
  {
    name: 'larger than any may be',
    held: 0,
    ask: {body: new Uint8Array(1001)},
    code: 'too-large',
  },
];

void tap.test('concurrent requests are limited by level', async t => {
  for (const c of LIMIT_CASES) {
    const limits = createEntryLimits({requests: 10, bytes: 1000}, () => RULES);
    const held = Array.from({length: c.held}, () =>
      request({body: new Uint8Array(100)}),
    );
    for (const req of held) t.equal(limits.enter(req), null);
    const refusal = limits.enter(request(c.ask));
    t.equal(refusal?.code ?? null, c.code, c.name);
    if (refusal !== null) t.equal(refusal.verdict, 'not-run');
    for (const req of held) limits.leave(req);
    if (c.code === 'overloaded') {
      t.equal(limits.enter(request(c.ask)), null, `${c.name}: room again`);
    }
  }
});

interface Flow {
  /** Requests per 10 ms. */
  readonly rate: number;
  /** Fraction that the leader accepts. */
  readonly accepts: number;
  readonly of: () => Partial<ServiceRequest>;
}

/** Runs flows for some seconds; returns the fraction of each that is sent. */
async function letThrough(
  clock: ManualClock,
  throttle: ReturnType<typeof createThrottle>,
  flows: readonly Flow[],
  seconds: number,
): Promise<readonly number[]> {
  const random = createRandom(3);
  const passed = flows.map(() => 0);
  for (let step = 0; step < seconds * 100; step++) {
    for (const [i, flow] of flows.entries()) {
      for (let n = 0; n < flow.rate; n++) {
        const req = request(flow.of());
        if (throttle.refuses('holds/0', req) !== null) continue;
        passed[i] = (passed[i] ?? 0) + 1;
        if (random() < flow.accepts) throttle.accepted('holds/0', req);
        else throttle.refused('holds/0', req, 300);
      }
    }
    await clock.advance(10);
  }
  return flows.map(({rate}, i) => (passed[i] ?? 0) / (rate * seconds * 100));
}

let turn = 0;
const many = (): Partial<ServiceRequest> => {
  turn++;
  return {key: `k${turn % 40}`, caller: `c${turn % 7}`};
};

const THROTTLE_CASES: readonly {
  readonly name: string;
  readonly flows: readonly Flow[];
  /** Minimum and maximum fraction that is sent, by flow. */
  readonly through: readonly (readonly [number, number])[];
}[] = [
  {
    name: 'nothing is refused by the leader',
    flows: [{rate: 5, accepts: 1, of: many}],
    through: [[1, 1]],
  },
  {
    name: 'the leader refuses one in three: within the headroom',
    flows: [{rate: 5, accepts: 0.67, of: many}],
    through: [[0.97, 1]],
  },
  {
    name: 'the leader refuses nine in ten',
    flows: [{rate: 10, accepts: 0.1, of: many}],
    through: [[0.02, 0.3]],
  },
  {
    name: 'reports are refused, holds are not',
    flows: [
      {rate: 3, accepts: 1, of: many},
      {rate: 10, accepts: 0, of: () => ({...many(), precedence: 2})},
    ],
    through: [
      [1, 1],
      [0, 0.2],
    ],
  },
  {
    name: 'one hot key does not throttle its callers',
    flows: [
      {rate: 3, accepts: 1, of: many},
      {rate: 10, accepts: 0.05, of: () => ({...many(), key: 'hot'})},
    ],
    through: [
      [0.97, 1],
      [0, 1],
    ],
  },
  {
    name: 'one aggressive caller does not throttle its keys',
    flows: [
      {rate: 3, accepts: 1, of: many},
      {rate: 10, accepts: 0.05, of: () => ({...many(), caller: 'noisy'})},
    ],
    through: [
      [0.97, 1],
      [0, 1],
    ],
  },
];

void tap.test('the entry throttles what the leader refuses', async t => {
  for (const c of THROTTLE_CASES) {
    const clock = createManualClock();
    const throttle = createThrottle({clock, random: createRandom(1)});
    const parts = await letThrough(clock, throttle, c.flows, 10);
    for (const [i, [least, most]] of c.through.entries()) {
      const part = parts[i] ?? -1;
      t.ok(part >= least && part <= most, `${c.name}, flow ${i}: ${part}`);
    }
  }
});

void tap.test(
  'the throttle sends requests again after an overload',
  async t => {
    // Guards against refusals that continue for minutes after the leader accepts
    // requests again.
    const clock = createManualClock();
    const throttle = createThrottle({clock, random: createRandom(1)});
    const none = {rate: 5, accepts: 0, of: many};
    const all = {rate: 5, accepts: 1, of: many};
    const [during] = await letThrough(clock, throttle, [none], 10);
    t.ok((during ?? 1) < 0.3, `during: ${during}`);
    const [first] = await letThrough(clock, throttle, [all], 4);
    t.comment(`first 4 s after it: ${first}`);
    const [after] = await letThrough(clock, throttle, [all], 2);
    t.ok((after ?? 0) > 0.99, `from 4 s after it: ${after}`);
  },
);

void tap.test(
  'the retry delay of the leader is returned to the caller',
  async t => {
    const clock = createManualClock();
    const throttle = createThrottle({clock, random: () => 0});
    const refused = failure('not-run', 'overloaded', '', 1234);
    let hint: number | null = null;
    for (let i = 0; i < 50 && hint === null; i++) {
      const req = request();
      hint = throttle.refuses('holds/0', req);
      if (hint === null) {
        throttle.refused('holds/0', req, refused.retryAfterMs ?? 0);
      }
    }
    t.equal(hint, 1234);
  },
);
