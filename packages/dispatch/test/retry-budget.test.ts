import tap from 'tap';
import {createRetryBudget} from '@banyandrum/dispatch/retry-budget.js';

// Every router spends on its own; the sum over all of them must stay within
// what the deployment allows in any window.
void tap.test('all routers together stay within the allowance', async t => {
  const allowance = {ratio: 0.2, slack: 58};
  for (const routers of [1, 9, 12, 300]) {
    const requests = 3_000;
    let repeats = 0;
    for (let router = 0; router < routers; router++) {
      const budget = createRetryBudget(allowance, () => routers);
      const own = Math.floor(requests / routers);
      for (let sent = 0; sent < own; sent++) {
        budget.deposit('holds');
        while (budget.tryWithdraw('holds')) repeats++;
      }
    }
    const most = allowance.ratio * requests + allowance.slack;
    t.ok(repeats <= most, `${routers} routers: ${repeats} of ${most}`);
    t.ok(repeats > 0);
  }
});
