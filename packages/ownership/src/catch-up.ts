import {sleep} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {OwnershipContext} from './context.js';
import type {Membership} from './membership.js';
import {incarnationKey} from './views.js';

/** Fetches newer state from peers while the log cannot be read. */
export interface CatchUp {
  /** Fetches the state of a peer that knows more than this process. */
  pull(from: Incarnation): void;
  /** Helps a start during an outage of the log; until everything ends. */
  run(): Promise<void>;
}

const START_RETRY_MS = 2000;

/**
 * Takes over the newer state of other routers. What they know comes from the
 * log as well, so it is as good as our own reading; it does not count as a
 * confirmed reading of the log's end, though.
 *
 * @example
 * ```ts
 * catchUp.pull(leader);
 * ```
 */
export function createCatchUp(
  ctx: OwnershipContext,
  membership: Membership,
): CatchUp {
  const {store, peers, clock, timing, signal} = ctx;
  const pulling = new Set<string>();

  const pullOnce = async (from: Incarnation): Promise<void> => {
    const key = incarnationKey(from);
    if (pulling.has(key)) return;
    pulling.add(key);
    const ask = {next: store.current().next};
    const res = await peers.ask(from, 'state', ask, timing.authorityMs);
    pulling.delete(key);
    if (!res.ok || res.val.encoded === null || signal.aborted) return;
    const isTaken = store.adopt(res.val.encoded);
    if (isTaken) ctx.log.info('took over the state of a peer', {from: key});
  };

  return {
    pull: from => void pullOnce(from),
    async run() {
      await sleep(clock, timing.authorityMs, signal);
      while (!signal.aborted && store.confirmedAt() === -Infinity) {
        const found = await membership.findOthers();
        await Promise.all(found.map(pullOnce));
        await sleep(clock, START_RETRY_MS * (0.5 + ctx.random()), signal);
      }
    },
  };
}
