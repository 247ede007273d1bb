import {fork} from 'node:child_process';
import {startFollowers, type FollowerView} from './leader-followers.js';
import type {LeaderWork} from './leader-rig.js';

/** What a leader did in a period, and what its followers saw. */
export interface LoadPeriod extends LeaderWork, FollowerView {}

/** A leader in a process of its own, with followers in this one. */
export interface LeaderLoad {
  /** Requests slots for `ms` and reports that time. */
  run(perSecond: number, ms: number): Promise<LoadPeriod>;
  /** Limits the leader's processor time, as a share of one processor. */
  limitProcessor(share: number): Promise<void>;
  stop(): void;
}

/** Size of a group under load. */
export interface LeaderLoadOptions {
  readonly followers: number;
  readonly slotsPerServer: number;
  /** Options of the leader's Node.js process, such as `--cpu-prof`. */
  readonly execArgv?: readonly string[];
}

const CONNECT_MS = 2_500;

/**
 * Starts a leader and its followers.
 *
 * @example
 * ```ts
 * const load = await startLeaderLoad({followers: 90, slotsPerServer: 3});
 * const {cpuMs, asks} = await load.run(1_200, 5_000);
 * ```
 */
export async function startLeaderLoad({
  followers,
  slotsPerServer,
  execArgv = [],
}: LeaderLoadOptions): Promise<LeaderLoad> {
  const child = fork(
    new URL('leader-process.js', import.meta.url),
    [`${slotsPerServer}`],
    {execArgv: [...execArgv]},
  );
  const receive = <T>(): Promise<T> =>
    new Promise(resolve => child.once('message', each => resolve(each as T)));
  const takeWork = (share?: number): Promise<LeaderWork> => {
    const work = receive<LeaderWork>();
    child.send(share === undefined ? {} : {share});
    return work;
  };
  const {address} = await receive<{readonly address: string}>();
  const load = startFollowers(address, followers);
  await sleepMs(CONNECT_MS);
  return {
    async run(perSecond, ms) {
      await takeWork();
      load.take();
      load.setRate(perSecond);
      await sleepMs(ms);
      const view = load.take();
      return {...(await takeWork()), ...view};
    },
    async limitProcessor(share) {
      await takeWork(share);
    },
    stop() {
      load.stop();
      child.disconnect();
    },
  };
}

function sleepMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
