import tap from 'tap';
import {LOG} from './support/fake-log.js';
import type {CellHarness} from './support/cell-harness.js';
import {createCellHarness, isolate} from './support/cell-harness.js';
import type {FakeCluster} from './support/fake-cluster.js';

interface Case {
  readonly name: string;
  /** Injects the fault; may advance the clock. */
  readonly fault: (harness: CellHarness) => Promise<void> | void;
  /** How long the test observes the cell after that, in ms. */
  readonly watchMs: number;
  /** Bounds of the longest time without an acting leader, in ms. */
  readonly gap: readonly [number, number];
  /** Which router acts in the end. */
  readonly by: 'leader' | 'standby' | 'other' | 'nobody';
}

const HOSTS = ['a', 'b', 'c', 'd'];
const NONE = [0, 0] as const;

const cases: readonly Case[] = [
  // Requests for the cell fail until the standby has noticed the silence
  // (750 ms), probed on a new connection (250 ms), claimed the cell, and waited
  // until a leader that was only disconnected could no longer act (1030 ms).
  {
    name: 'leader lost',
    fault: ({cluster, leader}) => cluster.router(leader).process.kill(),
    watchMs: 8000,
    gap: [2000, 2500],
    by: 'standby',
  },
  // The standby takes over meanwhile. The old leader resumes with its old view
  // in memory and must not act on it at all.
  {
    name: 'leader paused for 10 s',
    fault: ({cluster, leader}) => cluster.router(leader).process.pause(),
    watchMs: 10_000,
    gap: [2000, 2500],
    by: 'standby',
  },
  {
    name: 'leader paused for 10 s and back',
    fault: async ({cluster, leader}) => {
      cluster.router(leader).process.pause();
      await cluster.clock.advance(10_000);
      cluster.router(leader).process.resume();
    },
    watchMs: 5000,
    gap: NONE,
    by: 'standby',
  },
  // The pause is too short to be suspected: the leader continues.
  {
    name: 'leader paused for 600 ms',
    fault: async ({cluster, leader}) => {
      cluster.router(leader).process.pause();
      await cluster.clock.advance(600);
      cluster.router(leader).process.resume();
    },
    watchMs: 5000,
    gap: NONE,
    by: 'leader',
  },
  // The standby resumes after seconds without messages, because it read none
  // while paused. It was replaced by then and must not replace the leader.
  {
    name: 'standby paused for 5 s and back',
    fault: async ({cluster, standby}) => {
      cluster.router(standby).process.pause();
      await cluster.clock.advance(5000);
      cluster.router(standby).process.resume();
    },
    watchMs: 5000,
    gap: NONE,
    by: 'leader',
  },
  // As above, but the leader cannot reach the log, so the standby was not
  // replaced. Its own pause must not count as silence of the leader.
  {
    name: 'standby paused while the log is down for the leader',
    fault: async ({cluster, leader, standby}) => {
      cluster.network.cut(LOG, leader);
      cluster.router(standby).process.pause();
      await cluster.clock.advance(900);
      cluster.router(standby).process.resume();
    },
    watchMs: 8000,
    gap: [0, 300],
    by: 'leader',
  },
  // The leader cannot read the log, its standby can. Consent keeps it acting.
  {
    name: 'leader split from the log',
    fault: ({cluster, leader}) => {
      cluster.network.cut(leader, LOG);
      cluster.network.cut(LOG, leader);
    },
    watchMs: 10_000,
    gap: NONE,
    by: 'leader',
  },
  // Both run and read the log but receive nothing from each other. The leader
  // times out before the standby does and takes another standby.
  {
    name: 'leader and standby split from each other',
    fault: ({cluster, leader, standby}) => {
      cluster.network.cut(leader, standby);
      cluster.network.cut(standby, leader);
    },
    watchMs: 8000,
    gap: NONE,
    by: 'leader',
  },
  {
    name: 'messages from leader to standby lost',
    fault: ({cluster, leader, standby}) => cluster.network.cut(leader, standby),
    watchMs: 8000,
    gap: NONE,
    by: 'leader',
  },
  // The standby receives the requests, the leader gets no responses.
  {
    name: 'messages from standby to leader lost',
    fault: ({cluster, leader, standby}) => cluster.network.cut(standby, leader),
    watchMs: 8000,
    gap: NONE,
    by: 'leader',
  },
  // The leader reaches no other process. It stops acting by its own clock, and
  // the standby acts only after that.
  {
    name: 'leader split from everything',
    fault: ({cluster, leader}) => void isolate(cluster, [leader]),
    watchMs: 8000,
    gap: [500, 2500],
    by: 'standby',
  },
  {
    name: 'standby lost',
    fault: ({cluster, standby}) => cluster.router(standby).process.kill(),
    watchMs: 8000,
    gap: NONE,
    by: 'leader',
  },
  // No claim is possible and none is needed: consent keeps the leader acting.
  {
    name: 'log down for 20 s',
    fault: ({cluster}) => void (cluster.faults.refuses = true),
    watchMs: 20_000,
    gap: NONE,
    by: 'leader',
  },
  // The connection between the two fails for 2 s while the log is down. The
  // leader stops acting, but the standby must not withdraw: no router could
  // take over, and the leader could not continue after the connection returns.
  {
    name: 'log down, leader and standby split for 2 s',
    fault: async ({cluster, leader, standby}) => {
      cluster.faults.refuses = true;
      await cluster.clock.advance(3000);
      cluster.network.cut(leader, standby);
      await cluster.clock.advance(2000);
      cluster.network.heal();
    },
    watchMs: 8000,
    gap: [0, 500],
    by: 'leader',
  },
  // A read takes 1.4 s, longer than `authorityMs`, so no router can rely on the
  // log; consent keeps the leader acting. A standby must still be able to claim
  // when the leader is lost, although its readings are old on arrival.
  {
    name: 'log slow for 20 s',
    fault: ({cluster}) => slowDownLog(cluster),
    watchMs: 20_000,
    gap: NONE,
    by: 'leader',
  },
  {
    name: 'log slow and leader lost',
    fault: async ({cluster, leader}) => {
      slowDownLog(cluster);
      await cluster.clock.advance(5000);
      cluster.router(leader).process.kill();
    },
    watchMs: 10_000,
    gap: [2000, 5000],
    by: 'standby',
  },
  {
    name: 'log slow and standby lost',
    fault: async ({cluster, standby}) => {
      slowDownLog(cluster);
      await cluster.clock.advance(5000);
      cluster.router(standby).process.kill();
    },
    watchMs: 10_000,
    gap: [1000, 4000],
    by: 'leader',
  },
  // No new leader can be agreed on without the log.
  {
    name: 'log down and leader lost',
    fault: async ({cluster, leader}) => {
      cluster.faults.refuses = true;
      cluster.router(leader).process.kill();
      await cluster.clock.advance(2000);
    },
    watchMs: 10_000,
    gap: [10_000, 10_000],
    by: 'nobody',
  },
  {
    name: 'log down and leader lost, log back',
    fault: async ({cluster, leader}) => {
      cluster.faults.refuses = true;
      cluster.router(leader).process.kill();
      await cluster.clock.advance(10_000);
      cluster.faults.refuses = false;
    },
    watchMs: 5000,
    gap: [1000, 2500],
    by: 'standby',
  },
  // The standby withdraws while it can read the log, and then the log refuses
  // its claim for 5 s. The withdrawal stands and the claim is retried.
  {
    name: 'log down right after the standby withdrew',
    fault: async ({cluster, leader, standby}) => {
      cluster.router(leader).process.kill();
      await cluster.waitUntil(() => cluster.withdrawals(standby) > 0, 2000);
      cluster.faults.refuses = true;
      await cluster.clock.advance(5000);
      cluster.faults.refuses = false;
    },
    watchMs: 6000,
    gap: [1000, 3500],
    by: 'standby',
  },
  // The claim is in the log but the claimant does not know. It reads it later.
  {
    name: "reply to the standby's claim lost",
    fault: ({cluster, leader}) => {
      cluster.faults.losesReplies = true;
      cluster.router(leader).process.kill();
    },
    watchMs: 8000,
    gap: [1000, 3500],
    by: 'standby',
  },
  // The first claim is delayed for 5 s and arrives after a second claim by the
  // same standby has won.
  {
    name: "standby's claim delivered late",
    fault: ({cluster, leader}) => {
      let claims = 0;
      cluster.faults.appendDelay = () => (claims++ === 0 ? 5000 : 0);
      cluster.router(leader).process.kill();
    },
    watchMs: 12_000,
    gap: [2000, 4500],
    by: 'standby',
  },
  // Other routers cannot tell a lost pair from a disconnected one. Without
  // proof, they all wait.
  {
    name: 'leader and standby lost',
    fault: ({cluster, leader, standby}) => {
      cluster.router(leader).process.kill();
      cluster.router(standby).process.kill();
    },
    watchMs: 10_000,
    gap: [8000, 10_000],
    by: 'nobody',
  },
  // The new incarnation answers at the old one's address, which proves that the
  // old one has terminated.
  {
    name: 'leader and standby lost, standby restarted',
    fault: async ({cluster, leader, standby}) => {
      cluster.router(leader).process.kill();
      cluster.router(standby).process.kill();
      await cluster.clock.advance(5000);
      cluster.start(standby);
    },
    watchMs: 8000,
    gap: [1000, 4500],
    by: 'other',
  },
  {
    name: 'leader and standby lost, leader attested lost',
    fault: async ({cluster, leader, standby}) => {
      const {incarnation} = cluster.router(leader).process;
      cluster.router(leader).process.kill();
      cluster.router(standby).process.kill();
      await cluster.clock.advance(5000);
      cluster.attest(incarnation);
    },
    watchMs: 8000,
    gap: [1000, 4500],
    by: 'other',
  },
  // Planned stop: the leader stops acting and hands the table over, so the
  // standby does not have to wait.
  {
    name: 'leader stopped as planned',
    fault: ({cluster, leader}) => void cluster.router(leader).ownership.stop(),
    watchMs: 8000,
    gap: [0, 250],
    by: 'standby',
  },
  {
    name: 'standby stopped as planned',
    fault: ({cluster, standby}) =>
      void cluster.router(standby).ownership.stop(),
    watchMs: 8000,
    gap: NONE,
    by: 'leader',
  },
  {
    name: 'leader drained by an operator',
    fault: ({cluster, leader}) => cluster.drain(leader),
    watchMs: 8000,
    gap: [0, 250],
    by: 'standby',
  },
  // The resignation arrives, its response does not. The old leader must not
  // resume its authority, since the standby claims at once.
  {
    name: 'answer to the resignation lost',
    fault: ({cluster, leader, standby}) => {
      void cluster.router(leader).ownership.stop();
      cluster.network.cut(standby, leader);
    },
    watchMs: 8000,
    gap: [0, 250],
    by: 'standby',
  },
];

for (const {name, fault, watchMs, gap, by} of cases) {
  void tap.test(name, async t => {
    const harness = await createCellHarness(HOSTS);
    const {cluster} = harness;
    await fault(harness);
    const longest = await cluster.longestGap(watchMs);
    t.strictSame(
      cluster.violations,
      [],
      'at most one acting leader at any time',
    );
    t.ok(
      longest >= gap[0] && longest <= gap[1],
      `no acting leader for ${longest} ms`,
    );
    t.equal(roleOf(harness, cluster.activeLeader()?.host), by);
  });
}

function slowDownLog(cluster: FakeCluster): void {
  cluster.network.latency = (a, b) => (a === LOG || b === LOG ? 700 : 2);
}

function roleOf(
  {leader, standby}: CellHarness,
  host: string | undefined,
): Case['by'] {
  if (host === undefined) return 'nobody';
  if (host === leader) return 'leader';
  return host === standby ? 'standby' : 'other';
}
