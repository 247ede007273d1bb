import type {Clock} from '@banyandrum/base/clock.js';
import type {Failure} from '@banyandrum/base/failure.js';
import {
  EMPTY_BODY,
  type RequestHandler,
  type ServiceAnswer,
} from '@banyandrum/base/request.js';
import type {Result} from '@banyandrum/base/result.js';
import {SERVICE} from './experiment-cell.js';
import {createZipf, drawExponential, type Random} from './experiment-random.js';
import type {Load} from './experiment-scenario.js';

/** What became of one request, as its caller saw it. */
export interface Sample {
  readonly id: string;
  readonly key: string;
  readonly level: string;
  /** Virtual time in ms. */
  readonly startMs: number;
  readonly endMs: number;
  readonly deadlineMs: number;
  /** Null where it was answered. */
  readonly failed: Failure | null;
  /** Whether the answer was this request's own, and whole. */
  readonly isOwn: boolean;
  /** Attempts of the caller that came before this one. */
  readonly attempt: number;
}

export interface OfferOptions {
  readonly load: Load;
  /** Requests a second, at the time of the call. */
  readonly rate: () => number;
  readonly untilMs: number;
  /** Index of the load's level among the rules' levels. */
  readonly precedence: number;
  /** Handlers of the entries that callers come in through. */
  readonly entries: readonly RequestHandler[];
  readonly clock: Clock;
  readonly random: Random;
  readonly nextId: () => string;
  readonly done: (sample: Sample) => void;
}

/** How soon an impatient caller tries again, in ms. */
const AGAIN_MS = 20;

/**
 * Offers an open load: requests come whether or not earlier ones were
 * answered. Resolves nothing; samples come as requests end.
 *
 * @example
 * ```ts
 * offer({load, rate: () => 100, untilMs: 60_000, ...});
 * ```
 */
export function offer(options: OfferOptions): void {
  const {load, clock, random, rate, untilMs} = options;
  const pickKey = createKeyPicker(load);
  const ask = createCaller(options);
  const arrive = (): void => {
    const gapMs = drawExponential(random, 1000 / Math.max(0.1, rate()));
    if (clock.now() + gapMs > untilMs) return;
    clock.after(gapMs, () => {
      const caller = `c${Math.floor(random() * load.callers)}`;
      void ask(pickKey(random), caller);
      arrive();
    });
  };
  arrive();
}

function createKeyPicker(load: Load): (random: Random) => string {
  const pick = createZipf(load.keys, load.zipf);
  return random => {
    if (load.hot_share > 0 && random() < load.hot_share) return 'hot';
    return `key-${pick(random)}`;
  };
}

/** Asks, and where its caller is impatient, asks again. */
function createCaller(
  options: OfferOptions,
): (key: string, caller: string) => Promise<void> {
  const {load, clock, random, entries} = options;

  const attempt = async (
    key: string,
    caller: string,
    attempt: number,
  ): Promise<Sample> => {
    const id = options.nextId();
    const startMs = clock.now();
    const entry = entries[Math.floor(random() * entries.length)]!;
    const outcome = await entry({
      id,
      service: SERVICE,
      key,
      method: load.once ? 'POST' : 'GET',
      path: '',
      headers: [],
      body: EMPTY_BODY,
      deadline: startMs + load.deadline_ms,
      once: load.once,
      precedence: options.precedence,
      caller,
      signal: new AbortController().signal,
    });
    return {
      id,
      key,
      level: load.as ?? load.level,
      startMs,
      endMs: clock.now(),
      deadlineMs: load.deadline_ms,
      failed: outcome.err ? outcome.val : null,
      isOwn: isOwn(outcome, `${id} ${key}`),
      attempt,
    };
  };

  return async (key, caller) => {
    for (let turn = 0; turn <= load.retries; turn++) {
      const sample = await attempt(key, caller, turn);
      options.done(sample);
      if (sample.failed === null) return;
      await new Promise<void>(resolve => clock.after(AGAIN_MS, resolve));
    }
  };
}

function isOwn(
  outcome: Result<ServiceAnswer, Failure>,
  expected: string,
): boolean {
  if (outcome.err) return true;
  const {body} = outcome.val;
  return (
    body instanceof Uint8Array &&
    Buffer.from(body).equals(Buffer.from(expected))
  );
}
