import tap from 'tap';
import {runSchedule} from './random-schedule.js';

const SEEDS = 12;
const STEPS = 60;

// Random concurrent faults: servers hang, restart and lose orders, leaders
// pause, lose their authority or stop, and keys become hot. At no time may two
// servers hold a lease on the same key, or a leader locate a key at a server
// that doesn't own it. After all faults have ended, every key is served again.
void tap.test('random faults, servers check fences', async t => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const result = await runSchedule(seed, true, STEPS);
    t.same(result.violations, [], `seed ${seed}`);
    t.equal(result.served, result.shards, `seed ${seed}: all served`);
  }
});
