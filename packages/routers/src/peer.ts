import type {CancelSignal} from '@banyandrum/base/cancel.js';
import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import type {Timing} from './limits.js';
import type {Link} from './link.js';
import type {ControlKinds, PeerError} from './peers.js';

/** The way to one run of another router, over whichever stream works. */
export interface Peer<M extends ControlKinds> {
  /** The open stream, or the opening of one, which all askers share. */
  link(): Link<M> | Promise<Result<Link<M>, PeerError>>;
}

export interface PeerOptions<M extends ControlKinds> {
  readonly to: Incarnation;
  readonly clock: Clock;
  readonly log: Logger;
  readonly timing: Timing;
  /** Ends it, with all its streams. */
  readonly signal: AbortSignal;
  readonly open: () => Promise<Result<Link<M>, PeerError>>;
}

/**
 * Keeps one stream open, from first use. A silent stream is neither trusted
 * nor cut at once: a new connection is tried next to it, because a single
 * broken connection must not count as the loss of the router.
 */
export function createPeer<M extends ControlKinds>(
  options: PeerOptions<M>,
): Peer<M> {
  const {to, clock, log, timing, signal, open} = options;
  const asked = createAskers<M>(signal);
  let current: Link<M> | null = null;
  let failed: PeerError | null = null;

  const run = async (): Promise<void> => {
    while (!signal.aborted) {
      await asked.some();
      let link = await openNext();
      while (link !== null) link = await follow(link);
      if (failed !== null) await sleep(clock, timing.reopenMs, signal);
      failed = null;
    }
    asked.answer(Err(CLOSED));
  };

  const openNext = async (): Promise<Link<M> | null> => {
    if (signal.aborted) return null;
    const opened = await open();
    if (opened.ok) current = opened.val;
    else failed = opened.val;
    asked.answer(opened);
    return current;
  };

  /** Waits for trouble, and returns the stream to go on with. */
  const follow = async (link: Link<M>): Promise<Link<M> | null> => {
    const trouble = await link.trouble();
    current = null;
    if (trouble === 'ended') return null;
    log.warn('stream is silent, trying a new one', {host: to.host});
    const next = await openNext();
    if (next !== null) {
      log.info('moved to a new stream', {host: to.host});
      void retire(link);
      return next;
    }
    if (link.isOpen() && !link.isSilent()) {
      current = link;
      return link;
    }
    log.warn('no new stream', {host: to.host, detail: failed?.detail});
    link.cut(SILENT);
    return null;
  };

  /** Lets a replaced stream finish its requests, if it is heard again. */
  const retire = async (old: Link<M>): Promise<void> => {
    old.retire();
    await sleep(clock, timing.silentMs, signal);
    if (!old.isSilent()) await old.trouble();
    old.cut(SILENT);
  };

  void run();
  return {
    link() {
      if (current?.isOpen()) return current;
      if (signal.aborted) return Promise.resolve(Err(CLOSED));
      if (failed !== null) return Promise.resolve(Err(failed));
      return asked.wait();
    },
  };
}

const SILENT = 'stream is silent';
const CLOSED: PeerError = {kind: 'unreachable', detail: 'closed here'};

/** Those who wait for a stream. */
interface Askers<M extends ControlKinds> {
  wait(): Promise<Result<Link<M>, PeerError>>;
  /** Resolves once somebody waits, or at the end. */
  some(): Promise<void>;
  answer(result: Result<Link<M>, PeerError>): void;
}

function createAskers<M extends ControlKinds>(signal: AbortSignal): Askers<M> {
  let waiting: ((result: Result<Link<M>, PeerError>) => void)[] = [];
  let wake = (): void => {};
  signal.addEventListener('abort', () => wake());
  return {
    wait() {
      return new Promise(resolve => {
        waiting.push(resolve);
        wake();
      });
    },
    async some() {
      if (waiting.length > 0 || signal.aborted) return;
      await new Promise<void>(resolve => (wake = resolve));
    },
    answer(result) {
      const all = waiting;
      waiting = [];
      for (const resolve of all) resolve(result);
    },
  };
}

/**
 * Settles as `opening` does, or with an error once `ms` have passed or
 * `signal` aborts.
 */
export async function withinTime<T>(
  opening: Promise<Result<T, PeerError>>,
  clock: Clock,
  ms: number,
  signal?: CancelSignal,
): Promise<Result<T, PeerError>> {
  const done = new AbortController();
  const giveUp = (): void => done.abort();
  signal?.addEventListener('abort', giveUp);
  const late = sleep(clock, ms, done.signal).then(() => null);
  const first = await Promise.race([opening, late]);
  done.abort();
  signal?.removeEventListener('abort', giveUp);
  if (first === null) {
    return Err({kind: 'unreachable', detail: `not open within ${ms} ms`});
  }
  return first.ok ? Ok(first.val) : first;
}
