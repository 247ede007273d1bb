import tap from 'tap';
import {
  hasTooManyRequests,
  maxForwarded,
  parseAllowance,
} from '@banyandrum/gateway/parse-allowance.js';

const IDLE = {onConnection: 0, isReceiving: false, total: 0, maxTotal: 1_000};

void tap.test(
  'a connection may have many requests open, but not all',
  async t => {
    t.equal(parseAllowance({...IDLE, onConnection: 100}), 1_024);
    t.equal(parseAllowance({...IDLE, onConnection: 256}), 0);
  },
);

// Guards against a body that is never read to its end, since its own request and
// those before it are open.
void tap.test('a body is read whatever is open', async t => {
  const open = {onConnection: 300, total: 5_000, maxTotal: 1_000};
  t.ok(parseAllowance({...open, isReceiving: true}) > 0);
});

// Guards against many connections with a few requests each that exhaust the
// memory together, and against connections that get none any more.
void tap.test('with too many open, each connection has one', async t => {
  const full = {...IDLE, total: 1_000};
  t.ok(parseAllowance(full) > 0);
  t.equal(parseAllowance({...full, onConnection: 1}), 0);
  t.notOk(hasTooManyRequests(2_000, 1_000));
  t.ok(hasTooManyRequests(2_001, 1_000));
});

// Guards against callers that pipeline and take the slots from all others.
void tap.test('with many open, one of a connection is forwarded', async t => {
  t.equal(maxForwarded(10, 1_000), 4);
  t.equal(maxForwarded(100, 1_000), 1);
});
