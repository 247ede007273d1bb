import {setImmediate} from 'node:timers/promises';
import {failure, type Failure} from '@banyandrum/base/failure.js';
import {shardOfKey} from '@banyandrum/base/hash.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {
  EMPTY_BODY,
  type ServiceAnswer,
  type ServiceRequest,
} from '@banyandrum/base/request.js';
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import type {Rules} from '@banyandrum/config/rules.js';
import type {LedCell, Location, Owned} from '@banyandrum/ownership/led-cell.js';
import type {
  Dispatch,
  ServerClient,
  ServerRef,
} from '@banyandrum/servers/client.js';

export type Outcome = Result<ServiceAnswer, Failure>;

export const SHARDS = 16;
export const ANSWER: ServiceAnswer = {
  status: 200,
  headers: [],
  body: EMPTY_BODY,
};

export type TestRules = Pick<Rules, 'limits' | 'precedence' | 'timing'>;

export const RULES: TestRules = {
  limits: {
    maxBodyBytes: 1000,
    maxQueued: 100,
    maxQueuedBytes: 100_000,
    maxDeadlineMs: 60_000,
    retryPercent: 10,
  },
  precedence: [
    {name: 'holds', ageAfterMs: 0},
    {name: 'lookups', ageAfterMs: 10_000},
    {name: 'reports', ageAfterMs: 1000},
  ],
  timing: {
    renewMs: 500,
    leaseMs: 2000,
    authorityMs: 1000,
    suspicionMs: 750,
    driftPpm: 10_000,
  },
};

export function router(host: string, boot = 'a'): Incarnation {
  return {host, address: `${host}:1`, boot, dataCentre: 'dc1'};
}

export function server(name: string, slots = 2): ServerRef {
  const address = `${name}:1`;
  return {name, service: 'holds', address, slots, connections: 10};
}

let nextId = 0;

/** A request for key `k` with a deadline of 1 s on a clock that starts at 0. */
export function request(over: Partial<ServiceRequest> = {}): ServiceRequest {
  return {
    id: `r${nextId++}`,
    service: 'holds',
    key: 'k',
    method: 'POST',
    path: '',
    headers: [],
    body: EMPTY_BODY,
    deadline: 1000,
    once: false,
    precedence: 0,
    caller: 'c',
    signal: new AbortController().signal,
    ...over,
  };
}

/** A cell whose table the test controls. */
export interface FakeCell extends LedCell {
  acting: boolean;
  leaseEnd: number;
  /** Whether its servers stop requests when they lose their shard. */
  checksFences: boolean;
  /** Overrides the location of single shards. */
  readonly where: Map<string, Location>;
}

export function fakeCell(ref: ServerRef, cell = 'holds/0'): FakeCell {
  return {
    cell,
    epoch: 1,
    acting: true,
    leaseEnd: Infinity,
    checksFences: true,
    where: new Map(),
    mayAct() {
      return this.acting;
    },
    locate(key) {
      const shard = shardOfKey(key, SHARDS);
      return this.where.get(shard) ?? ownedBy(this, ref, shard);
    },
  };
}

function ownedBy(cell: FakeCell, ref: ServerRef, shard: string): Owned {
  const {leaseEnd, checksFences} = cell;
  const heldUntil = (): number => cell.leaseEnd;
  return {...owned(ref, shard, leaseEnd), checksFences, heldUntil};
}

export function owned(
  ref: ServerRef,
  shard: string,
  leaseEnd = Infinity,
): Owned {
  return {
    kind: 'owned',
    shard,
    server: ref,
    fence: {epoch: 1, sequence: 1},
    leaseEnd,
    checksFences: true,
    heldUntil: () => leaseEnd,
    toServerTime: ms => ({boot: ref.name, ms}),
  };
}

/** A request at a fake server, which the test answers. */
export interface Sent {
  readonly server: string;
  readonly dispatch: Dispatch;
  /** Whether `mayWrite` allowed it. */
  readonly written: boolean;
  answer(answer?: ServiceAnswer): Promise<void>;
  fail(failed: Failure): Promise<void>;
}

export interface FakeClient extends Pick<ServerClient, 'send'> {
  /** In the order of sending, including answered ones. */
  readonly sent: Sent[];
  /** Present and maximum number in flight, by server. */
  readonly inFlight: Map<string, number>;
  readonly peak: Map<string, number>;
  /** Answers automatically instead of waiting for the test. */
  answersAtOnce: boolean;
  /** Fails at once, as `cancelled`, when the request's signal aborts. */
  heedsSignals: boolean;
}

export function fakeClient(): FakeClient {
  const sent: Sent[] = [];
  const inFlight = new Map<string, number>();
  const peak = new Map<string, number>();
  const move = (name: string, by: number): void => {
    const count = (inFlight.get(name) ?? 0) + by;
    inFlight.set(name, count);
    peak.set(name, Math.max(count, peak.get(name) ?? 0));
  };
  return {
    sent,
    inFlight,
    peak,
    answersAtOnce: false,
    heedsSignals: false,
    send(ref, dispatch) {
      const written = dispatch.mayWrite();
      if (this.answersAtOnce) return Promise.resolve(Ok(ANSWER));
      move(ref.name, 1);
      return new Promise(resolve => {
        let open = true;
        const finish = async (outcome: Outcome): Promise<void> => {
          if (open) move(ref.name, -1);
          open = false;
          resolve(outcome);
          await settle();
        };
        const verdict = written ? 'may-have-run' : 'not-run';
        const cancelled = failure(verdict, 'cancelled', '');
        dispatch.req.signal.addEventListener('abort', () => {
          if (this.heedsSignals) void finish(Err(cancelled));
        });
        sent.push({
          server: ref.name,
          dispatch,
          written,
          answer: (answer = ANSWER) => finish(Ok(answer)),
          fail: failed => finish(Err(failed)),
        });
      });
    },
  };
}

/** Lets pending promises settle. */
export async function settle(): Promise<void> {
  await setImmediate();
  await setImmediate();
}

/** Tracks an outcome without waiting for it. */
export function watch(promise: Promise<Outcome>): {outcome: Outcome | null} {
  const seen: {outcome: Outcome | null} = {outcome: null};
  void promise.then(outcome => {
    seen.outcome = outcome;
  });
  return seen;
}

/** `ok`, `verdict code`, or `waiting`. */
export function told(seen: {readonly outcome: Outcome | null}): string {
  if (seen.outcome === null) return 'waiting';
  if (seen.outcome.ok) return 'ok';
  return `${seen.outcome.val.verdict} ${seen.outcome.val.code}`;
}
