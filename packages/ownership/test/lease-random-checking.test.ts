import tap from 'tap';
import {runSchedule} from './random-schedule.js';

const SEEDS = 12;
const STEPS = 60;

// Servers freeze, restart and lose orders, leaders pause, are deposed or stop,
// keys get hot, all at random and at once. At no moment may two servers
// believe that they own a key, nor a leader send a key elsewhere than to its
// owner. Once everything has healed, every key is served again.
void tap.test('random faults, servers check fences', async t => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const result = await runSchedule(seed, true, STEPS);
    t.same(result.violations, [], `seed ${seed}`);
    t.equal(result.served, result.shards, `seed ${seed}: all served`);
  }
});
