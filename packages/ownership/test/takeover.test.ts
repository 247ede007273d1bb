import tap from 'tap';
import {LOG} from './support/fake-log.js';
import type {CellHarness} from './support/scene.js';
import {createCellHarness, isolate} from './support/scene.js';
import type {FakeCluster} from './support/world.js';

interface Case {
  readonly name: string;
  /** Brings the fault about; may let time pass. */
  readonly fault: (scene: CellHarness) => Promise<void> | void;
  /** How long the test watches after that, in ms. */
  readonly watchMs: number;
  /** Longest time without an acting leader, in ms: least and most. */
  readonly gap: readonly [number, number];
  /** Who acts in the end. */
  readonly by: 'leader' | 'standby' | 'other' | 'nobody';
}

const HOSTS = ['a', 'b', 'c', 'd'];
const NONE = [0, 0] as const;

const cases: readonly Case[] = [
  // Requests of the cell fail until the standby has noticed the silence
  // (750 ms), tried a new connection (250 ms), claimed, and waited until the
  // leader, had it only been cut off, could not act any more (1030 ms).
  {
    name: 'leader lost',
    fault: ({cluster: world, leader}) => world.router(leader).process.kill(),
    watchMs: 8000,
    gap: [2000, 2500],
    by: 'standby',
  },
  // The standby takes over meanwhile. The old leader wakes up with its old
  // view still in memory, and must not act on it for a single step.
  {
    name: 'leader paused for 10 s',
    fault: ({cluster: world, leader}) => world.router(leader).process.pause(),
    watchMs: 10_000,
    gap: [2000, 2500],
    by: 'standby',
  },
  {
    name: 'leader paused for 10 s and back',
    fault: async ({cluster: world, leader}) => {
      world.router(leader).process.pause();
      await world.clock.advance(10_000);
      world.router(leader).process.resume();
    },
    watchMs: 5000,
    gap: NONE,
    by: 'standby',
  },
  // A pause too short for anybody to doubt: the leader goes on.
  {
    name: 'leader paused for 600 ms',
    fault: async ({cluster: world, leader}) => {
      world.router(leader).process.pause();
      await world.clock.advance(600);
      world.router(leader).process.resume();
    },
    watchMs: 5000,
    gap: NONE,
    by: 'leader',
  },
  // The standby wakes up and has heard nothing for seconds, since it read no
  // messages. By then it was replaced; it must not depose anybody.
  {
    name: 'standby paused for 5 s and back',
    fault: async ({cluster: world, standby}) => {
      world.router(standby).process.pause();
      await world.clock.advance(5000);
      world.router(standby).process.resume();
    },
    watchMs: 5000,
    gap: NONE,
    by: 'leader',
  },
  // The same with the log down, so that it was not replaced: its own pause
  // must not count as silence of the leader.
  {
    name: 'standby paused while the log is down for the leader',
    fault: async ({cluster: world, leader, standby}) => {
      world.network.cut(LOG, leader);
      world.router(standby).process.pause();
      await world.clock.advance(900);
      world.router(standby).process.resume();
    },
    watchMs: 8000,
    gap: [0, 300],
    by: 'leader',
  },
  // The leader cannot read the log, its standby can. It lives on consent.
  {
    name: 'leader split from the log',
    fault: ({cluster: world, leader}) => {
      world.network.cut(leader, LOG);
      world.network.cut(LOG, leader);
    },
    watchMs: 10_000,
    gap: NONE,
    by: 'leader',
  },
  // Both are well and read the log, but don't hear of each other. The leader
  // gives up earlier than the standby and takes another one.
  {
    name: 'leader and standby split from each other',
    fault: ({cluster: world, leader, standby}) => {
      world.network.cut(leader, standby);
      world.network.cut(standby, leader);
    },
    watchMs: 8000,
    gap: NONE,
    by: 'leader',
  },
  {
    name: 'messages from leader to standby lost',
    fault: ({cluster: world, leader, standby}) => world.network.cut(leader, standby),
    watchMs: 8000,
    gap: NONE,
    by: 'leader',
  },
  // The standby hears the questions, the leader gets no answers.
  {
    name: 'messages from standby to leader lost',
    fault: ({cluster: world, leader, standby}) => world.network.cut(standby, leader),
    watchMs: 8000,
    gap: NONE,
    by: 'leader',
  },
  // The leader reaches nobody at all. It stops by its own clock, and the
  // standby acts only after that.
  {
    name: 'leader split from everything',
    fault: ({cluster: world, leader}) => void isolate(world, [leader]),
    watchMs: 8000,
    gap: [500, 2500],
    by: 'standby',
  },
  {
    name: 'standby lost',
    fault: ({cluster: world, standby}) => world.router(standby).process.kill(),
    watchMs: 8000,
    gap: NONE,
    by: 'leader',
  },
  // Nothing can be claimed, nothing needs to be: consent carries the leader.
  {
    name: 'log down for 20 s',
    fault: ({cluster: world}) => void (world.faults.refuses = true),
    watchMs: 20_000,
    gap: NONE,
    by: 'leader',
  },
  // The way between the two fails for 2 s while the log is down. The leader
  // stops, but the standby must not withdraw: nobody could take over, and
  // the leader could not go on when the way is back.
  {
    name: 'log down, leader and standby split for 2 s',
    fault: async ({cluster: world, leader, standby}) => {
      world.faults.refuses = true;
      await world.clock.advance(3000);
      world.network.cut(leader, standby);
      await world.clock.advance(2000);
      world.network.heal();
    },
    watchMs: 8000,
    gap: [0, 500],
    by: 'leader',
  },
  // A read takes 1.4 s, longer than T, so nobody can trust the log any more;
  // consent carries the leader. That must not keep a standby from claiming
  // when the leader is lost, though its readings are old when they arrive.
  {
    name: 'log slow for 20 s',
    fault: ({cluster: world}) => slowDownLog(world),
    watchMs: 20_000,
    gap: NONE,
    by: 'leader',
  },
  {
    name: 'log slow and leader lost',
    fault: async ({cluster: world, leader}) => {
      slowDownLog(world);
      await world.clock.advance(5000);
      world.router(leader).process.kill();
    },
    watchMs: 10_000,
    gap: [2000, 5000],
    by: 'standby',
  },
  {
    name: 'log slow and standby lost',
    fault: async ({cluster: world, standby}) => {
      slowDownLog(world);
      await world.clock.advance(5000);
      world.router(standby).process.kill();
    },
    watchMs: 10_000,
    gap: [1000, 4000],
    by: 'leader',
  },
  // Nobody can agree on a new leader without the log.
  {
    name: 'log down and leader lost',
    fault: async ({cluster: world, leader}) => {
      world.faults.refuses = true;
      world.router(leader).process.kill();
      await world.clock.advance(2000);
    },
    watchMs: 10_000,
    gap: [10_000, 10_000],
    by: 'nobody',
  },
  {
    name: 'log down and leader lost, log back',
    fault: async ({cluster: world, leader}) => {
      world.faults.refuses = true;
      world.router(leader).process.kill();
      await world.clock.advance(10_000);
      world.faults.refuses = false;
    },
    watchMs: 5000,
    gap: [1000, 2500],
    by: 'standby',
  },
  // The standby withdraws with the log at hand, and then the log refuses its
  // claim for 5 s. The withdrawal stands, the claim is tried on.
  {
    name: 'log down right after the standby withdrew',
    fault: async ({cluster: world, leader, standby}) => {
      world.router(leader).process.kill();
      await world.waitUntil(() => world.withdrawals(standby) > 0, 2000);
      world.faults.refuses = true;
      await world.clock.advance(5000);
      world.faults.refuses = false;
    },
    watchMs: 6000,
    gap: [1000, 3500],
    by: 'standby',
  },
  // The claim is in the log, the claimant doesn't know. It reads it back.
  {
    name: "reply to the standby's claim lost",
    fault: ({cluster: world, leader}) => {
      world.faults.losesReplies = true;
      world.router(leader).process.kill();
    },
    watchMs: 8000,
    gap: [1000, 3500],
    by: 'standby',
  },
  // The first claim stays on its way for 5 s and arrives after a second one
  // of the same standby has won.
  {
    name: "standby's claim delivered late",
    fault: ({cluster: world, leader}) => {
      let claims = 0;
      world.faults.appendDelay = () => (claims++ === 0 ? 5000 : 0);
      world.router(leader).process.kill();
    },
    watchMs: 12_000,
    gap: [2000, 4500],
    by: 'standby',
  },
  // Nobody can tell "lost" from "cut off together": without proof, all wait.
  {
    name: 'leader and standby lost',
    fault: ({cluster: world, leader, standby}) => {
      world.router(leader).process.kill();
      world.router(standby).process.kill();
    },
    watchMs: 10_000,
    gap: [8000, 10_000],
    by: 'nobody',
  },
  // The new run answers at the old one's address: the old one is over.
  {
    name: 'leader and standby lost, standby restarted',
    fault: async ({cluster: world, leader, standby}) => {
      world.router(leader).process.kill();
      world.router(standby).process.kill();
      await world.clock.advance(5000);
      world.start(standby);
    },
    watchMs: 8000,
    gap: [1000, 4500],
    by: 'other',
  },
  {
    name: 'leader and standby lost, leader attested lost',
    fault: async ({cluster: world, leader, standby}) => {
      const {incarnation} = world.router(leader).process;
      world.router(leader).process.kill();
      world.router(standby).process.kill();
      await world.clock.advance(5000);
      world.attest(incarnation);
    },
    watchMs: 8000,
    gap: [1000, 4500],
    by: 'other',
  },
  // Planned stop: the leader stops acting, hands the table over, and the
  // standby need not wait for anything.
  {
    name: 'leader stopped as planned',
    fault: ({cluster: world, leader}) => void world.router(leader).ownership.stop(),
    watchMs: 8000,
    gap: [0, 250],
    by: 'standby',
  },
  {
    name: 'standby stopped as planned',
    fault: ({cluster: world, standby}) => void world.router(standby).ownership.stop(),
    watchMs: 8000,
    gap: NONE,
    by: 'leader',
  },
  {
    name: 'leader drained by an operator',
    fault: ({cluster: world, leader}) => world.drain(leader),
    watchMs: 8000,
    gap: [0, 250],
    by: 'standby',
  },
  // The resignation arrives, its answer does not: the old leader must not
  // take its right back, since the standby claims at once.
  {
    name: 'answer to the resignation lost',
    fault: ({cluster: world, leader, standby}) => {
      void world.router(leader).ownership.stop();
      world.network.cut(standby, leader);
    },
    watchMs: 8000,
    gap: [0, 250],
    by: 'standby',
  },
];

for (const {name, fault, watchMs, gap, by} of cases) {
  void tap.test(name, async t => {
    const scene = await createCellHarness(HOSTS);
    const {cluster: world} = scene;
    await fault(scene);
    const longest = await world.longestGap(watchMs);
    t.strictSame(world.violations, [], 'one holder at most, at any time');
    t.ok(longest >= gap[0] && longest <= gap[1], `nobody for ${longest} ms`);
    t.equal(roleOf(scene, world.activeLeader()?.host), by);
  });
}

function slowDownLog(world: FakeCluster): void {
  world.network.latency = (from, to) => (from === LOG || to === LOG ? 700 : 2);
}

function roleOf(
  {leader, standby}: CellHarness,
  host: string | undefined,
): Case['by'] {
  if (host === undefined) return 'nobody';
  if (host === leader) return 'leader';
  return host === standby ? 'standby' : 'other';
}
