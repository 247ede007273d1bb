import tap from 'tap';
import type {Socket} from 'node:net';
import {createCanceller} from '@banyandrum/base/cancel.js';
import {createClock} from '@banyandrum/base/clock.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {forward} from '@banyandrum/dispatch/forward.js';
import type {Reply} from '@banyandrum/dispatch/forward-state.js';
import type {Owners} from '@banyandrum/dispatch/owners.js';
import {createQuarantine} from '@banyandrum/dispatch/quarantine.js';
import {createRetryBudget} from '@banyandrum/dispatch/retry-budget.js';
import {createCrashDetector} from '@banyandrum/dispatch/crash-detector.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createServerRests} from '@banyandrum/dispatch/server-rests.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import type {RequestKind} from '@banyandrum/routing/config.js';
import {openPaths} from './open-paths.js';
import {listenRaw, NAMES, type RawServer} from './raw-server.js';

const NO_OWNERS: Owners = {
  ownerOf: () => ({kind: 'none'}),
  waitForChange: async () => undefined,
  noteRequest: () => undefined,
  noteNotHeld: () => undefined,
  notHeldMs: () => 0,
  noteReplaced: () => undefined,
};

const ROUTERS = {current: () => 1, ageMs: () => 0};
const AMPLE_ALLOWANCE = {ratio: 100, slack: 100, windowMs: 10_000};
/** Allows two retries to a router that has just started. */
const TWO_RETRIES = {ratio: 0, slack: 30, windowMs: 10_000};

type Behaviour = (socket: Socket, head: string) => void;

const answer: Behaviour = socket =>
  socket.write(
    'HTTP/1.1 200 OK\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok',
  );
const refuse: Behaviour = socket =>
  socket.write(
    'HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n',
  );
const rest: Behaviour = socket =>
  socket.write(
    'HTTP/1.1 503 Full\r\nx-not-run: 1\r\nretry-after: 3\r\n' +
      'content-length: 0\r\n\r\n',
  );
const fail: Behaviour = socket =>
  socket.write(
    'HTTP/1.1 500 No\r\nx-signature: s\r\ncontent-length: 0\r\n\r\n',
  );
const reset: Behaviour = socket => socket.resetAndDestroy();
// Answers late, but within the request's timeout.
const slow: Behaviour = socket => {
  setTimeout(() => answer(socket, ''), 350);
};
const unsigned: Behaviour = socket =>
  socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');

interface Outcome {
  readonly reply: Reply;
  /** Requests that reached a server. */
  readonly arrivals: number;
  readonly heads: readonly string[];
}

/**
 * Sends one request to three servers. The nth request that arrives is handled
 * by the nth behaviour; the last behaviour repeats.
 */
async function send(
  kind: RequestKind,
  behaviours: readonly Behaviour[],
  maxAttempts = 2,
  allowance = AMPLE_ALLOWANCE,
): Promise<Outcome> {
  const heads: string[] = [];
  const serve: Behaviour = (socket, head) => {
    heads.push(head);
    const behave = behaviours[Math.min(heads.length, behaviours.length) - 1]!;
    behave(socket, head);
  };
  const servers: RawServer[] = [];
  for (let at = 0; at < 3; at++) servers.push(await listenRaw(serve));
  const clock = createClock();
  const backends = createBackends(clock);
  backends.update(
    servers.map(({origin}, at) => ({
      id: `s${at}`,
      service: 'holds',
      address: origin.slice('http://'.length),
      dataCentre: 'a',
      slots: 2,
      isLeaving: false,
      coldUntil: 0,
    })),
  );
  const reply = await forward(
    {
      backends,
      owners: NO_OWNERS,
      slotProvider: {acquire: async () => ({kind: 'unavailable'})},
      dataCentre: 'a',
      regionOf: () => 'north',
      ...openPaths(clock),
      budget: createRetryBudget(allowance, {
        ...{clock, routers: ROUTERS, random: () => 0},
      }),
      recordRetry: () => undefined,
      catchUp: () => null,
      leaderlessRetryMs: () => 300,
      quarantine: createQuarantine(
        createSuspects(clock, () => undefined),
        createCrashDetector({clock, probe: async () => 'open'}),
      ),
      requestLimits: {takeShareToken: () => true},
      limits: createServerLimits({clock, emit: () => undefined}),
      rests: createServerRests({clock, emit: () => undefined}),
      noteLeaving: () => undefined,
      names: NAMES,
      clock,
      emit: () => undefined,
      routers: ROUTERS,
    },
    {
      id: 'r1',
      method: 'POST',
      path: '/holds/7?x=1',
      headers: [NAMES.requestId, 'r1'],
      body: Buffer.from('bed'),
      route: {
        name: 'r',
        pathPrefix: '/holds/',
        kind,
        timeoutMs: 500,
        targetLatencyMs: 200,
        priority: 1,
        targets: [{service: 'holds', weight: 1}],
        maxAttempts,
        homeRegions: null,
      },
      service: 'holds',
      key: null,
      firstAskedAt: clock.now(),
      deadline: clock.now() + 500,
      caller: '10.0.0.9',
      contents: () => ({exact: 'c1', anyCaller: 'c2', anyQuery: 'c3'}),
      signal: createCanceller().signal,
      sendSignal: createCanceller().signal,
    },
  );
  backends.update([]);
  for (const server of servers) await server.close();
  return {reply, arrivals: heads.length, heads};
}

interface Case {
  readonly name: string;
  readonly kind: RequestKind;
  readonly servers: readonly Behaviour[];
  readonly maxAttempts?: number;
  readonly arrivals: number;
  readonly expected: object;
}

// Guards against a wrong verdict for the caller: `not-run` is correct only if
// each server that received the request said so. Only then may a `once` request
// be sent again.
const CASES: readonly Case[] = [
  {
    name: 'answered',
    kind: 'once',
    servers: [answer],
    arrivals: 1,
    expected: {kind: 'answer', answer: {status: 200}},
  },
  {
    name: 'once, refused as not run: sent to another',
    kind: 'once',
    servers: [refuse, answer],
    arrivals: 2,
    expected: {kind: 'answer', answer: {status: 200}},
  },
  {
    name: 'once, connection lost: never sent again, may have run',
    kind: 'once',
    servers: [reset, answer],
    arrivals: 1,
    expected: {kind: 'failure', failure: {verdict: 'may-have-run'}},
  },
  {
    name: 'once, refused and then lost: may have run',
    kind: 'once',
    servers: [refuse, reset, answer],
    arrivals: 2,
    expected: {kind: 'failure', failure: {verdict: 'may-have-run'}},
  },
  {
    name: "once, failed by its server: the server's answer is returned",
    kind: 'once',
    servers: [fail, answer],
    arrivals: 1,
    expected: {kind: 'answer', answer: {status: 500}},
  },
  {
    name: 'once, a success not signed by the server: not returned',
    kind: 'once',
    servers: [unsigned, answer],
    arrivals: 1,
    expected: {kind: 'failure', failure: {verdict: 'ran'}},
  },
  {
    name: 'idempotent, connection lost: sent to another',
    kind: 'idempotent',
    servers: [reset, answer],
    arrivals: 2,
    expected: {kind: 'answer', answer: {status: 200}},
  },
  {
    name: 'idempotent, lost on the maximum number of servers',
    kind: 'idempotent',
    servers: [reset],
    arrivals: 2,
    expected: {kind: 'failure', failure: {verdict: 'may-have-run'}},
  },
  {
    name: 'idempotent, one attempt allowed',
    kind: 'idempotent',
    servers: [fail, answer],
    maxAttempts: 1,
    arrivals: 1,
    expected: {kind: 'answer', answer: {status: 500}},
  },
  {
    name: 'idempotent, silence of a slow server: not aborted at once',
    kind: 'idempotent',
    servers: [slow, answer],
    arrivals: 1,
    expected: {kind: 'answer', answer: {status: 200}},
  },
  {
    name: 'refused by all: not run, with a retry delay',
    kind: 'once',
    servers: [refuse],
    arrivals: 3,
    expected: {
      kind: 'failure',
      failure: {verdict: 'not-run', retryAfterMs: 150},
    },
  },
];

for (const {name, kind, servers, maxAttempts, arrivals, expected} of CASES) {
  void tap.test(name, async t => {
    const outcome = await send(kind, servers, maxAttempts);
    t.match(outcome.reply, expected);
    t.equal(outcome.arrivals, arrivals);
  });
}

// Guards against callers that come back while all servers still rest, because
// the last server's refusal also used up the retry budget.
void tap.test('all servers rest, and no retry is left', async t => {
  const {reply, arrivals} = await send('once', [rest], 2, TWO_RETRIES);
  t.equal(arrivals, 3);
  t.match(reply, {kind: 'failure', failure: {verdict: 'not-run'}});
  const {retryAfterMs} = (reply as Reply & {kind: 'failure'}).failure;
  t.ok(retryAfterMs! > 2_500, `${retryAfterMs} ms`);
});

void tap.test('time left and expected server are always sent', async t => {
  const {heads} = await send('once', [answer]);
  const [head] = heads;
  const deadlineMs = Number(/x-deadline: (\d+)/.exec(head!)?.[1]);
  t.ok(deadlineMs > 400 && deadlineMs <= 500, `${deadlineMs} ms`);
  t.match(head, /^POST \/holds\/7\?x=1 HTTP\/1\.1\r\n/);
  t.match(head, /x-expect: s\d/);
  t.match(head, /\r\n\r\nbed$/);
});
