import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createKeyOwners} from '@banyandrum/gateway/key-owners.js';
import {followLeader} from '@banyandrum/gateway/link-client.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import {createSlowClock} from '@banyandrum/standins/slow-clock.js';

/**
 * The followers of `startLeaderRig`, in a process apart, so that their work
 * isn't counted as the leader's. Arguments: the leader's address, the factor of
 * their clock, and the number of the first and after the last. All connect at the message `connect`; at
 * `report` the process tells its own longest delay since the last report.
 */
const [leader = '', factor = '1', first = '0', end = '0'] =
  process.argv.slice(2);
const DATA_CENTRES = 3;

function startFollower(at: number): void {
  const clock = createSlowClock(Number(factor));
  const emit = (): void => undefined;
  followLeader({
    ...{clock, emit, chosenAddress: () => leader},
    list: createServerList(clock, emit, 2_000),
    self: {
      address: `10.1.${at >> 7}.${at & 127}:7200`,
      room: {processors: 0.27 + (at % 7) / 100, linkMbps: 100},
      dataCentre: `dc${at % DATA_CENTRES}`,
    },
    owners: createKeyOwners(clock, emit),
    suspects: createSuspects(clock, emit),
    limits: createServerLimits({clock, emit}),
    isLeading: () => false,
    onLeadershipOffered: () => undefined,
    onLeaderLost: () => undefined,
    isGone: () => false,
    ownDeputies: () => [],
    unreachableCount: () => 0,
    termEpoch: () => null,
    onConfigCursor: () => undefined,
    applyConfig: () => undefined,
    confirmConfig: () => undefined,
    configPosition: () => null,
    applyPosition: () => true,
    setRouterCount: () => undefined,
  });
}

const delay = monitorEventLoopDelay({resolution: 5});

function connectAll(): void {
  for (let at = Number(first); at < Number(end); at++) startFollower(at);
}

function report(): void {
  process.send?.(Math.round(delay.max / 1e6));
  delay.reset();
}

delay.enable();
process.on('message', message => {
  if (message === 'connect') connectAll();
  else report();
});
process.once('disconnect', () => process.exit());
process.send?.('ready');
