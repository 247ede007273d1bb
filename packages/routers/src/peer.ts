import {sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {Logger} from '@banyandrum/base/logger.js';
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import type {Timing} from './limits.js';
import type {Link} from './link.js';
import type {ControlKinds, PeerError} from './peers.js';

/** The way to one run of another router, over whichever stream works. */
export interface Peer<M extends ControlKinds> {
  /** The open stream, or the opening of one; openings are shared. */
  link(): Link<M> | Promise<Result<Link<M>, PeerError>>;
  close(): void;
}

export interface PeerOptions<M extends ControlKinds> {
  readonly to: Incarnation;
  readonly clock: Clock;
  readonly log: Logger;
  readonly timing: Timing;
  readonly open: (
    onSilent: (link: Link<M>) => void,
    onEnd: (link: Link<M>) => void,
  ) => Promise<Result<Link<M>, PeerError>>;
}

/**
 * Keeps one stream open. A silent stream is not trusted nor cut at once: a
 * new connection is tried next to it, because a single broken connection
 * must not count as the loss of the router.
 */
export function createPeer<M extends ControlKinds>(
  options: PeerOptions<M>,
): Peer<M> {
  const {to, clock, log, timing, open} = options;
  const end = new AbortController();
  const links = new Set<Link<M>>();
  let current: Link<M> | null = null;
  let opening: Promise<Result<Link<M>, PeerError>> | null = null;
  let failed: {readonly at: number; readonly error: PeerError} | null = null;

  const connect = async (): Promise<Result<Link<M>, PeerError>> => {
    const opened = await open(onSilent, onEnd).finally(() => (opening = null));
    if (opened.err) {
      failed = {at: clock.now(), error: opened.val};
      return opened;
    }
    if (end.signal.aborted) {
      opened.val.cut(CLOSED.detail);
      return Err(CLOSED);
    }
    failed = null;
    current = opened.val;
    links.add(current);
    return opened;
  };

  const onEnd = (link: Link<M>): void => {
    links.delete(link);
    if (current === link) current = null;
  };

  const onSilent = (link: Link<M>): void => {
    if (current === link) void replace(link);
    else link.cut(SILENT);
  };

  const replace = async (old: Link<M>): Promise<void> => {
    log.warn('stream is silent, trying a new one', {host: to.host});
    current = null;
    opening ??= connect();
    const opened = await opening;
    if (opened.ok) {
      log.info('moved to a new stream', {host: to.host});
      old.retire();
      await sleep(clock, timing.silentMs, end.signal);
      if (old.isSilent()) old.cut(SILENT);
    } else if (old.isOpen() && !old.isSilent()) {
      current ??= old;
    } else {
      log.warn('no new stream', {host: to.host, ...opened.val, found: null});
      old.cut(SILENT);
    }
  };

  return {
    link() {
      if (current !== null) return current;
      if (end.signal.aborted) return Promise.resolve(Err(CLOSED));
      if (opening !== null) return opening;
      if (failed !== null && clock.now() - failed.at < timing.reopenMs) {
        return Promise.resolve(Err(failed.error));
      }
      opening = connect();
      return opening;
    },
    close() {
      end.abort();
      for (const link of [...links]) link.cut(CLOSED.detail);
    },
  };
}

const SILENT = 'stream is silent';
const CLOSED: PeerError = {kind: 'unreachable', detail: 'closed here'};

/** Settles as `opening` does, or with `late` once `ms` have passed. */
export async function withinTime<T>(
  opening: Promise<Result<T, PeerError>>,
  clock: Clock,
  ms: number,
  signal?: AbortSignal,
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
