import {startLeaderLoad} from './leader-load.js';

/**
 * Prints what requests cost a leader, by hand:
 * `node build/test/gateway/test/leader-load-table.js`.
 */
const RATES = [0, 600, 1_200, 2_000];
const PERIOD_MS = 6_000;
const profile = process.argv.includes('--profile');

for (const followers of profile ? [90] : [10, 30, 90]) {
  const load = await startLeaderLoad({
    ...{followers, slotsPerServer: 3},
    execArgv: profile ? ['--cpu-prof', '--cpu-prof-dir=build/profile'] : [],
  });
  for (const rate of profile ? [1_200, 1_200, 1_200] : RATES) {
    await load.run(rate, 2_000);
    const period = await load.run(rate, PERIOD_MS);
    const {cpuMs, asks} = period;
    const cpuMsEach = asks === 0 ? 0 : cpuMs / asks;
    console.log(JSON.stringify({rate, cpuMsEach, ...period}));
  }
  load.stop();
}
process.exit();
