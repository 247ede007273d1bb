import tap from 'tap';
import {createFairShares} from '@banyandrum/queueing/fair-shares.js';
import {createFlows} from '@banyandrum/queueing/flows.js';

const COST_MS = 100;

// Guards against limiting a flow although there is free capacity.
void tap.test('a flow may take what nobody else asks for', async t => {
  const shares = createFairShares();
  for (let now = 0; now < 4_000; now += 50) {
    shares.ask('busy', COST_MS, now);
    shares.charge('busy', COST_MS, now);
  }
  shares.ask('idle', COST_MS, 4_000);
  t.equal(shares.standing('busy', COST_MS, 3, 4_000), 'asks-less');
});

// Guards against equal parts for all, of which flows that ask for less would
// leave some unused.
void tap.test('flows get the max-min share', async t => {
  const shares = createFairShares();
  const now = 1_000;
  for (let i = 0; i < 10; i++) shares.ask('small', COST_MS, now);
  for (let i = 0; i < 200; i++) shares.ask('large', COST_MS, now);
  // Of two slots in 2 s, 1 s is asked for by the small flow, 3 s are left.
  for (let i = 0; i < 25; i++) shares.charge('large', COST_MS, now);
  t.equal(shares.standing('small', COST_MS, 2, now), 'asks-less');
  t.equal(shares.standing('large', COST_MS, 2, now), 'got-less');
  for (let i = 0; i < 20; i++) shares.charge('large', COST_MS, now);
  t.equal(shares.standing('large', COST_MS, 2, now), 'got-more');
  for (let i = 0; i < 20; i++) shares.refund('large', COST_MS, now);
  t.equal(shares.standing('large', COST_MS, 2, now), 'got-less', 'refunded');
});

// Guards against memory that grows with the number of names that callers use.
void tap.test('idle flows are forgotten', async t => {
  const shares = createFairShares();
  const flows = createFlows({forgivenLead: Infinity});
  let now = 0;
  for (let i = 0; i < 20_000; i++) {
    now += 20;
    shares.ask(`caller ${i}`, COST_MS, now);
    flows.reserveTurn(`caller ${i}`, 0, COST_MS);
    flows.leave(`caller ${i}`, true, 0, COST_MS);
  }
  t.ok(shares.largest(Infinity, now).length < 2_000);
  t.equal(flows.active(), 0);
});

// Guards against charging long and short requests alike.
void tap.test('turns are charged by service time', async t => {
  const flows = createFlows();
  t.equal(flows.reserveTurn('slow', 0, 400), 0);
  t.equal(flows.reserveTurn('slow', 0, 400), 400);
  t.equal(flows.reserveTurn('fast', 0, 100), 0);
  t.equal(flows.reserveTurn('fast', 0, 100), 100);
  flows.leave('slow', false, 0, 400);
  t.equal(flows.reserveTurn('slow', 0, 400), 400, 'a released turn is reused');
});
